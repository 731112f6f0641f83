#pragma once

#include "net/io.h"

#include "laburnumspar/types.h"

namespace laburnumspar::detail {

/// Why a reply over HTTP cannot be used.
enum class ReplyFailure : std::uint8_t {
    None,
    Unavailable, ///< no reply has arrived, or one that says that the server is unavailable
    TooSlow, ///< only the begin of the reply has arrived in time
    TooLarge, ///< the head or the body exceeds its limit
    Malformed, ///< not HTTP, or a content that cannot be decoded
    UnexpectedStatus, ///< an HTTP status that has no meaning for the request
};

/// Classifies an error of reading a reply. `headRead`: whether the head had arrived completely.
ReplyFailure readFailure(error_code ec, bool headRead);
/// Classifies an HTTP status that is not a successful one.
ReplyFailure statusFailure(unsigned status);
/// Whether the server can be reached, but the same request would fail in the same way.
bool isPersistent(ReplyFailure failure);

} // namespace laburnumspar::detail

namespace laburnumspar {

template <>
struct EnumNames<detail::ReplyFailure> {
    static constexpr std::array<std::string_view, 6> Names{
        "none", "unavailable", "too-slow", "too-large", "malformed", "unexpected-status"};
};

} // namespace laburnumspar
