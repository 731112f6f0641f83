#pragma once

#include "fault.h"

#include "laburnumspar/types.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace laburnumspar::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// What one request asks of a simulated upstream.
struct Work {
    bool probe = false;
    std::string requestId;
    std::string key; ///< what its executions are counted by: query parameter `key`, else the request identifier
    std::optional<double> runMs; ///< query parameter `run_ms`
    std::size_t padding = 0; ///< query parameter `size`
    TimePoint deadline = TimePoint::max();
    std::string bodyHash;
};

/// How a request ended.
enum class WorkEnd {
    Finished,
    Failed, ///< the upstream's own error
    Shed,
    Draining,
    DeadlineBefore, ///< the deadline passed before it started
    DeadlineDuring, ///< stopped by the deadline
    Closed, ///< the caller has gone; no answer
};

Work readWork(const HttpRequest &request, TimePoint now);

/// What the answer says about the upstream.
struct UpstreamState {
    std::string address;
    std::size_t inFlight = 0; ///< without the answered request
    unsigned slots = 0;
    UpstreamPhase phase = UpstreamPhase::Serving;
};

HttpResponse makeAnswer(const Work &work, WorkEnd end, const UpstreamState &state);

/// Replaces the answer's identity by that of `other`, as an upstream that mixes up its answers does.
void swapIdentity(HttpResponse &answer, const Work &work, const std::string &other);

/// Changes the body but not its digest.
void corruptBody(HttpResponse &answer);

} // namespace laburnumspar::tools
