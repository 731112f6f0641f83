#pragma once

#include "net/io.h"

#include "laburnumspar/types.h"

#include <string>

namespace laburnumspar::soak {

/// Creates a request as callers of the platform send it.
detail::http::request<detail::http::string_body>
makeRequest(detail::http::verb method, const std::string &target, const std::string &id, Milliseconds deadline);

/// Whether the status tells the caller that its request has not run.
bool impliesNotRun(unsigned status);

} // namespace laburnumspar::soak
