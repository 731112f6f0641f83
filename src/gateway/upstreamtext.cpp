#include "gateway/upstreamtext.h"

#include <charconv>

namespace laburnumspar::detail {

namespace {

std::string_view text(beast::string_view value)
{
    return {value.data(), value.size()};
}

} // namespace

std::optional<ReportedLoad> parseLoad(beast::string_view value)
{
    ReportedLoad load;
    const char *at = value.data();
    const char *end = at + value.size();
    for (unsigned *number : {&load.running, &load.waiting, &load.slots}) {
        const auto [next, ec] = std::from_chars(at, end, *number);
        if (ec != std::errc()) {
            return std::nullopt;
        }
        at = next < end && *next == ',' ? next + 1 : next;
    }
    return load;
}

UpstreamNotice parseNotice(const UpstreamMessage &message, const ForwardingHeaders &names)
{
    UpstreamNotice notice;
    notice.leaving = message[names.leaving] == "1";
    notice.requestRate = parseRequestRate(text(message[names.requestRate]));
    if (message.result() == http::status::service_unavailable) {
        notice.pause = parsePause(text(message[http::field::retry_after]));
    }
    return notice;
}

bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace laburnumspar::detail
