#pragma once

#include "gateway/messagebody.h"
#include "laburnumspar/gateway.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

using CallerMessage = http::request<BudgetedBody>;
using UpstreamMessage = http::response<BudgetedBody>;

/// A caller's request, prepared for forwarding.
struct ForwardedRequest {
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string headers; ///< header lines that are forwarded unchanged
    std::string identityHeaders; ///< those about an organisation, forwarded only if the fleet serves no organisations
    std::optional<KeyDigest> key; ///< of the only key in the headers, if it is valid
    std::string organisation; ///< named to the upstream; empty: none
    std::shared_ptr<const MessageBody> body = std::make_shared<MessageBody>(); ///< shared by all attempts
    bool hasBody = false; ///< the caller has sent a body, which may be empty
    TimePoint arrived;
    TimePoint deadline; ///< by which the caller needs the answer
};

/// An answer to a caller.
struct CallerAnswer {
    unsigned status = 503;
    std::string reason;
    std::string headers;
    MessageBody body;
    std::string contentLength; ///< Content-Length of the upstream's answer to HEAD; empty: the size of the body
};

/// Deadline of a request that names no valid one.
constexpr Milliseconds DefaultDeadline{30'000};

ForwardedRequest makeForwardedRequest(CallerMessage message, const ForwardingHeaders &names, TimePoint now);
/// Sets what upstreams are told about the organisation of the caller by a configuration that grants access.
void identify(ForwardedRequest &request, const RouteTable &table, const Access &access);
/// Returns the request line and headers for an upstream. `timeLeft` is sent to it as the deadline.
std::string upstreamHead(const ForwardedRequest &request,
                         const ForwardingHeaders &names,
                         const std::string &identity,
                         Milliseconds timeLeft);
/// Converts the answer of an upstream, without its hop-by-hop headers.
CallerAnswer makeCallerAnswer(UpstreamMessage message, bool headOnly, const ForwardingHeaders &names);
/// Creates an answer of the instance itself. A `retryAfter` of 0 sends no Retry-After header.
CallerAnswer makeLocalAnswer(http::status status,
                             std::string_view detail,
                             std::string_view requestId,
                             const ForwardingHeaders &names,
                             Milliseconds retryAfter);
/// Returns the status line and headers of an answer to a caller.
std::string callerHead(const CallerAnswer &answer, bool close);

} // namespace laburnumspar::detail
