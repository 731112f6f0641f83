#pragma once

#include "laburnumspar/types.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumspar {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request as it goes to an upstream.
struct UpstreamRequest {
    std::string method;
    std::string path; ///< with the query
    std::string requestId;
    std::string team;
    std::string contentType;
    std::string body;
    Milliseconds remaining{0}; ///< time left until the deadline
};

/// HTTP message independent of the library that carries it.
struct HttpMessage {
    std::string method; ///< requests only
    std::string target; ///< requests only
    unsigned status = 0; ///< answers only
    HttpHeaders headers;
    std::string body;
};

/// What an upstream said in one answer.
struct UpstreamAnswer {
    Reason fault = Reason::None; ///< WrongAnswer, UpstreamError, Shed or Leaving
    bool notRun = false; ///< the upstream says that it has not run the request
    unsigned status = 0;
    std::string contentType;
    std::string body;
    std::optional<unsigned> inFlight; ///< reported load, with this request
    std::optional<UpstreamPhase> phase;
};

/// Names of headers and endpoints that the upstreams of a user speak.
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    virtual HttpMessage encode(const UpstreamRequest &request) const = 0;
    virtual HttpMessage probe() const = 0;
    /// Checks that the answer is whole and belongs to `requestId`; an empty one skips the check of identity.
    virtual UpstreamAnswer decode(const HttpMessage &answer, const std::string &requestId) const = 0;
};

} // namespace laburnumspar
