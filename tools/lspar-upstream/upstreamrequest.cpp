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

/// Largest padding of an answer, in bytes.
constexpr double PaddingMax = 4 << 20;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

http::status statusOf(WorkEnd end)
{
    switch (end) {
    case WorkEnd::Finished:
        return http::status::ok;
    case WorkEnd::Failed:
        return http::status::internal_server_error;
    case WorkEnd::DeadlineDuring:
        return http::status::gateway_timeout;
    default:
        return http::status::service_unavailable;
    }
}

const char *notRunReason(WorkEnd end)
{
    switch (end) {
    case WorkEnd::Shed:
        return "shed";
    case WorkEnd::Draining:
        return "draining";
    case WorkEnd::DeadlineBefore:
        return "deadline";
    default:
        return nullptr;
    }
}

std::string bodyOf(const Work &work, WorkEnd end, const UpstreamState &state)
{
    if (work.probe || end != WorkEnd::Finished) {
        return end == WorkEnd::Finished ? "ok\n" : "failed\n";
    }
    boost::json::object body{
        {"request", work.requestId},
        {"key", work.key},
        {"upstream", state.address},
        {"body_hash", work.bodyHash},
        {"pad", std::string(work.padding, 'x')},
    };
    return boost::json::serialize(body);
}

} // namespace

Work readWork(const HttpRequest &request, TimePoint now)
{
    const auto target = view(request.target());
    Work work;
    work.probe = targetPath(target) == "/health";
    work.requestId = std::string(view(request["X-Request-Id"]));
    work.key = queryValue(target, "key").value_or(work.requestId);
    if (const double runMs = queryNumber(target, "run_ms", -1); runMs >= 0) {
        work.runMs = runMs;
    }
    work.padding = static_cast<std::size_t>(std::clamp(queryNumber(target, "size", 0), 0.0, PaddingMax));
    if (const auto text = std::string(view(request["X-Deadline-Ms"])); !text.empty()) {
        work.deadline = now + Milliseconds(std::atoll(text.c_str()));
    }
    work.bodyHash = bodyDigest(request.body());
    return work;
}

HttpResponse makeAnswer(const Work &work, WorkEnd end, const UpstreamState &state)
{
    HttpResponse answer(statusOf(end), 11);
    if (!work.requestId.empty()) {
        answer.set("X-Request-Id", work.requestId);
    }
    answer.set("X-Load", std::to_string(state.inFlight) + "/" + std::to_string(state.slots));
    answer.set("X-Phase", name(state.phase));
    if (const auto *reason = notRunReason(end)) {
        answer.set("X-Not-Run", reason);
    }
    answer.body() = bodyOf(work, end, state);
    answer.set("X-Body-Digest", bodyDigest(answer.body()));
    answer.prepare_payload();
    return answer;
}

void swapIdentity(HttpResponse &answer, const Work &work, const std::string &other)
{
    Work foreign = work;
    foreign.requestId = other;
    foreign.key = other;
    foreign.bodyHash = bodyDigest(other);
    answer.set("X-Request-Id", other);
    answer.body() = bodyOf(foreign, WorkEnd::Finished, {});
    answer.set("X-Body-Digest", bodyDigest(answer.body()));
    answer.prepare_payload();
}

void corruptBody(HttpResponse &answer)
{
    auto &body = answer.body();
    if (!body.empty()) {
        body[body.size() / 2] ^= 1;
    }
}

} // namespace laburnumspar::tools
