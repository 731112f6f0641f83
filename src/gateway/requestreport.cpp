#include "gateway/requestreport.h"

#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

double milliseconds(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double seconds(Clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::string text(std::string_view value)
{
    return std::string(value);
}

} // namespace

void report(const UnroutedRequest &request, MetricsRegistry &metrics)
{
    logEvent(LogLevel::Info,
             "request.refused",
             {{"request", request.id},
              {"target", request.target},
              {"routes", request.routesVersion},
              {"status", request.status},
              {"reason", request.reason}});
    metrics.counter("lspar_requests_refused_total", {{"reason", text(request.reason)}}).add();
}

void report(const AttemptReport &attempt, MetricsRegistry &metrics)
{
    logEvent(LogLevel::Info,
             "attempt.done",
             {{"request", attempt.requestId},
              {"upstream", attempt.upstream},
              {"fault_probability", attempt.faultProbability},
              {"end", name(attempt.outcome)},
              {"status", attempt.status},
              {"detail", attempt.detail},
              {"ms", milliseconds(attempt.took)}});
    metrics
        .histogram("lspar_upstream_seconds", {{"service", text(attempt.service)}, {"end", text(name(attempt.outcome))}})
        .record(seconds(attempt.took));
}

void report(const LostAttempt &attempt, MetricsRegistry &metrics)
{
    logEvent(LogLevel::Info,
             "attempt.lost",
             {{"request", attempt.requestId},
              {"upstream", attempt.upstream},
              {"method", attempt.method},
              {"host", attempt.host},
              {"target", attempt.target},
              {"failure", attempt.failure}});
    metrics.counter("lspar_attempts_lost_total").add();
}

void report(const RequestReport &request, MetricsRegistry &metrics)
{
    logEvent(LogLevel::Info,
             "request.done",
             {{"request", request.requestId},
              {"route", request.route->name},
              {"routes", request.routesVersion},
              {"service", request.service},
              {"outcome", name(request.outcome)},
              {"status", request.status},
              {"reason", request.reason},
              {"runs", request.runs},
              {"queue_ms", milliseconds(request.queued)},
              {"ms", milliseconds(request.took)}});
    const auto service = text(request.service);
    const std::string kind = request.route->idempotent ? "idempotent" : "once";
    const auto outcome = text(name(request.outcome));
    metrics
        .counter("lspar_requests_total",
                 {{"service", service}, {"kind", kind}, {"outcome", outcome}, {"reason", text(request.reason)}})
        .add();
    metrics.histogram("lspar_request_seconds", {{"service", service}, {"kind", kind}, {"outcome", outcome}})
        .record(seconds(request.took));
    metrics.histogram("lspar_queue_seconds", {{"service", service}, {"kind", kind}}).record(seconds(request.queued));
}

void report(const std::string &upstream, const UpstreamNotice &notice)
{
    const bool limited = notice.requestRate != UpstreamNotice::Unlimited;
    logEvent(LogLevel::Info,
             "upstream.notice",
             {{"upstream", upstream},
              {"leaving", notice.leaving},
              {"pause_ms", notice.pause.count()},
              {"requests_per_second", limited ? std::to_string(notice.requestRate) : "unlimited"}});
}

} // namespace laburnumspar::detail
