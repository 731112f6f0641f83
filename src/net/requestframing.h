#pragma once

#include "net/io.h"

#include <optional>

namespace laburnumspar::detail {

/// Status with which a request has to be refused because its Transfer-Encoding leaves the end of its body unknown or
/// has a coding other than chunked; empty for a proper request. The connection has to be closed after the refusal: what
/// follows may be the body, and must not be taken for a request (RFC 9112, section 6.3).
std::optional<http::status> framingError(const http::request_header<> &head);

} // namespace laburnumspar::detail
