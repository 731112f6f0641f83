#pragma once

#include "fault.h"

#include "laburnumspar/types.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>

namespace laburnumspar::tools {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Properties of a request that determine how a simulated upstream handles it.
struct UpstreamRequest {
    bool probe = false; ///< GET /health
    std::string requestId;
    std::string key; ///< key of ExecutionCounts: query parameter `key`, or the request identifier without it
    std::optional<double> runMs; ///< execution time: query parameter `run_ms`
    std::size_t padding = 0; ///< bytes added to the response: query parameter `size`
    TimePoint deadline = TimePoint::max();
    std::string bodyHash; ///< digest of the request body
};

/// Outcome of a request.
enum class RequestOutcome {
    Finished,
    Failed, ///< simulated error of the upstream
    Shed, ///< rejected because of overload
    Draining, ///< rejected because the upstream is draining
    DeadlineBeforeStart, ///< the deadline passed before the execution started
    DeadlineDuringExecution, ///< the deadline ended the execution
    CallerGone, ///< the caller disconnected; there is no response
};

UpstreamRequest parseRequest(const HttpRequest &httpRequest, TimePoint now);

/// State of the upstream that a response reports.
struct UpstreamState {
    std::string address;
    std::size_t inFlight = 0; ///< not including the request of this response
    unsigned slots = 0;
    UpstreamPhase phase = UpstreamPhase::Serving;
    std::optional<double> pauseSeconds{}; ///< sent with rejections
    std::optional<double> requestRate{}; ///< requests per second that it names as its limit
};

HttpResponse makeResponse(const UpstreamRequest &request, RequestOutcome outcome, const UpstreamState &state);

/// Turns the response into one for the request identifier `other`, as an upstream that mixes up responses sends it.
void replaceIdentity(HttpResponse &response, const UpstreamRequest &request, const std::string &other);

/// Changes the body without updating its digest.
void corruptBody(HttpResponse &response);

} // namespace laburnumspar::tools
