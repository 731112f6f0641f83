#pragma once

#include "laburnumspar/gateway.h"
#include "net/io.h"

#include <string>
#include <string_view>

namespace laburnumspar::detail {

using CallerMessage = http::request<http::string_body>;
using UpstreamMessage = http::response<http::string_body>;

/// A request of a caller, ready to be sent on.
struct ForwardedRequest {
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string headers; ///< lines of all headers that are sent on unchanged
    std::string body;
    bool sendsLength = false;
    TimePoint arrived;
    TimePoint deadline; ///< of the caller
};

/// An answer for a caller.
struct CallerAnswer {
    unsigned status = 503;
    std::string reason;
    std::string headers;
    std::string body;
    std::string contentLength; ///< as the upstream gave it, for an answer without a body; else the size of the body
};

/// Deadline of a caller that names none.
constexpr Milliseconds DefaultDeadline{30'000};

ForwardedRequest makeForwardedRequest(CallerMessage message, const ForwardingHeaders &names, TimePoint now);
/// Head of the request as one upstream gets it. `left`: time that it is given.
std::string upstreamHead(const ForwardedRequest &request,
                         const ForwardingHeaders &names,
                         const std::string &identity,
                         Milliseconds left);
/// The answer of an upstream, without what concerns its connection only.
CallerAnswer makeCallerAnswer(UpstreamMessage message, bool headOnly, const ForwardingHeaders &names);
/// An answer that the instance gives by itself. `retryAfter`: 0 for none.
CallerAnswer makeLocalAnswer(http::status status,
                             std::string_view detail,
                             std::string_view requestId,
                             const ForwardingHeaders &names,
                             Milliseconds retryAfter);
/// Head of an answer as it is written to the caller.
std::string callerHead(const CallerAnswer &answer, bool close);

} // namespace laburnumspar::detail
