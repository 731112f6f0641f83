#include "upstreamrequest.h"

#include "detail/bodydigest.h"
#include "query.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace laburnumspar::tools {

namespace {

namespace http = boost::beast::http;
using namespace laburnumspar::detail;

/// Maximum padding of a response, in bytes.
constexpr double MaxPaddingBytes = 4 << 20;

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

http::status statusOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Finished:
        return http::status::ok;
    case RequestOutcome::Failed:
        return http::status::internal_server_error;
    case RequestOutcome::DeadlineDuringExecution:
        return http::status::gateway_timeout;
    default:
        return http::status::service_unavailable;
    }
}

const char *notRunReason(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Shed:
        return "shed";
    case RequestOutcome::Draining:
        return "draining";
    case RequestOutcome::DeadlineBeforeStart:
        return "deadline";
    default:
        return nullptr;
    }
}

std::string bodyOf(const UpstreamRequest &request, RequestOutcome outcome, const UpstreamState &state)
{
    if (request.probe || outcome != RequestOutcome::Finished) {
        return outcome == RequestOutcome::Finished ? "ok\n" : "failed\n";
    }
    boost::json::object body{
        {"request", request.requestId},
        {"key", request.key},
        {"upstream", state.address},
        {"body_hash", request.bodyHash},
        {"pad", std::string(request.padding, 'x')},
    };
    return boost::json::serialize(body);
}

} // namespace

UpstreamRequest parseRequest(const HttpRequest &httpRequest, TimePoint now)
{
    const auto target = toStringView(httpRequest.target());
    UpstreamRequest request;
    request.probe = targetPath(target) == "/health";
    request.requestId = std::string(toStringView(httpRequest["X-Request-Id"]));
    request.key = queryValue(target, "key").value_or(request.requestId);
    if (const double runMs = queryNumber(target, "run_ms", -1); runMs >= 0) {
        request.runMs = runMs;
    }
    request.padding = static_cast<std::size_t>(std::clamp(queryNumber(target, "size", 0), 0.0, MaxPaddingBytes));
    if (const auto text = std::string(toStringView(httpRequest["X-Deadline-Ms"])); !text.empty()) {
        request.deadline = now + Milliseconds(std::atoll(text.c_str()));
    }
    request.bodyHash = bodyDigest(httpRequest.body());
    return request;
}

HttpResponse makeResponse(const UpstreamRequest &request, RequestOutcome outcome, const UpstreamState &state)
{
    HttpResponse response(statusOf(outcome), 11);
    if (!request.requestId.empty()) {
        response.set("X-Request-Id", request.requestId);
    }
    response.set("X-Load", std::to_string(state.inFlight) + "/" + std::to_string(state.slots));
    response.set("X-Phase", name(state.phase));
    if (const auto *reason = notRunReason(outcome)) {
        response.set("X-Not-Run", reason);
    }
    if (state.pauseSeconds && outcome == RequestOutcome::Shed) {
        response.set(http::field::retry_after, std::to_string(*state.pauseSeconds));
    }
    if (state.requestRate) {
        response.set("X-Request-Rate", std::to_string(*state.requestRate));
    }
    response.body() = bodyOf(request, outcome, state);
    response.set("X-Body-Digest", bodyDigest(response.body()));
    response.prepare_payload();
    return response;
}

void replaceIdentity(HttpResponse &response, const UpstreamRequest &request, const std::string &other)
{
    UpstreamRequest otherRequest = request;
    otherRequest.requestId = other;
    otherRequest.key = other;
    otherRequest.bodyHash = bodyDigest(other);
    response.set("X-Request-Id", other);
    response.body() = bodyOf(otherRequest, RequestOutcome::Finished, {});
    response.set("X-Body-Digest", bodyDigest(response.body()));
    response.prepare_payload();
}

void corruptBody(HttpResponse &response)
{
    auto &body = response.body();
    if (!body.empty()) {
        body[body.size() / 2] ^= 1;
    }
}

} // namespace laburnumspar::tools
