#pragma once

#include "laburnumspar/types.h"
#include "laburnumspar/upstreamconstraints.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumspar {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request to an upstream.
struct UpstreamRequest {
    std::string method;
    std::string path; ///< including the query
    std::string requestId;
    std::string team;
    std::string contentType;
    std::string body;
    Milliseconds remaining{0}; ///< time left until the deadline
};

/// HTTP message, independent of the HTTP library.
struct HttpMessage {
    std::string method; ///< requests only
    std::string target; ///< requests only
    unsigned status = 0; ///< answers only
    HttpHeaders headers;
    std::string body;
};

/// Decoded answer of an upstream.
struct UpstreamAnswer {
    Reason fault = Reason::None; ///< WrongAnswer, UpstreamError, Shed, Leaving, DeadlineTooShort or None
    bool notRun = false; ///< the upstream reports that it has not run the request
    unsigned status = 0;
    std::string contentType;
    std::string body;
    std::optional<unsigned> inFlight; ///< reported number of requests in flight, including this one
    std::optional<UpstreamPhase> phase; ///< reported phase
    UpstreamNotice notice; ///< pause and request rate that the upstream asks for; a departure is a phase
};

/// HTTP protocol of the upstreams: names of headers and endpoints. Implementations are stateless plug-ins.
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    /// Returns the message that carries `request` to an upstream.
    virtual HttpMessage encode(const UpstreamRequest &request) const = 0;
    /// Returns the request of a health probe.
    virtual HttpMessage probe() const = 0;
    /// Decodes an answer. The fault is WrongAnswer if the body is damaged or the answer does not belong to `requestId`;
    /// an empty `requestId` skips the second check.
    virtual UpstreamAnswer decode(const HttpMessage &answer, const std::string &requestId) const = 0;
};

} // namespace laburnumspar
