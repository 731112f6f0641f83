#include "net/replyfailure.h"

#include <algorithm>
#include <array>

namespace laburnumspar::detail {

namespace {

/// Statuses of a server, or of a proxy before it, that is busy or cannot be reached.
constexpr std::array<unsigned, 5> UnavailableStatuses{408, 429, 502, 503, 504};

} // namespace

ReplyFailure readFailure(error_code ec, bool headRead)
{
    if (!ec) {
        return ReplyFailure::None;
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return ReplyFailure::TooLarge;
    }
    if (ec == beast::error::timeout) {
        return headRead ? ReplyFailure::TooSlow : ReplyFailure::Unavailable;
    }
    const bool brokenOff = ec == http::error::end_of_stream || ec == http::error::partial_message;
    const bool invalid = ec.category() == error_code(http::error::bad_method).category() && !brokenOff;
    return invalid ? ReplyFailure::Malformed : ReplyFailure::Unavailable;
}

ReplyFailure statusFailure(unsigned status)
{
    const bool unavailable
        = std::find(UnavailableStatuses.begin(), UnavailableStatuses.end(), status) != UnavailableStatuses.end();
    return unavailable ? ReplyFailure::Unavailable : ReplyFailure::UnexpectedStatus;
}

bool isPersistent(ReplyFailure failure)
{
    return failure == ReplyFailure::TooLarge || failure == ReplyFailure::Malformed
        || failure == ReplyFailure::UnexpectedStatus;
}

} // namespace laburnumspar::detail
