// Attempts of a forwarded request at upstreams: their results, retries and hedges.

#include "gateway/forwarding.h"
#include "gateway/requestreport.h"
#include "gateway/upstreamtext.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// A hedged attempt starts once the running one has taken longer than this quantile of the route's latencies.
constexpr double HedgeQuantile = 0.9;
/// Used instead of HedgeQuantile for an upstream whose fault probability exceeds SuspectFaultProbability.
constexpr double SuspectHedgeQuantile = 0.75;
constexpr double SuspectFaultProbability = 0.25;
/// Interval at which a hedged attempt that could not be started is tried again, for example for lack of a free slot.
constexpr Milliseconds HedgeRetryInterval{60};
/// Hedged attempts are allowed only while the retry budget holds at least this many retries: a slow request is usually
/// answered without one, a failed request is lost.
constexpr double MinRetriesForHedges = 4;
/// An attempt that is cancelled before this quantile of the route's latencies does not count against its upstream.
constexpr double TimeoutQuantile = 0.9;

} // namespace

void Forwarding::startAttempt(const UpstreamPool::Choice &choice, TimePoint now)
{
    const auto &upstream = choice.upstream;
    UpstreamConnections::Request upstreamRequest;
    upstreamRequest.address = upstream.address;
    upstreamRequest.identity = upstream.id;
    upstreamRequest.head = upstreamHead(m_request, m_forwarder.m_headers, upstream.id, timeLeft(now));
    upstreamRequest.body = m_request.body;
    upstreamRequest.requestId = m_request.id;
    upstreamRequest.headOnly = m_request.method == "HEAD";
    upstreamRequest.idempotent = m_route.idempotent;
    ++m_runs;
    m_firstAttemptAt = m_firstAttemptAt.value_or(now);
    m_triedUpstreams.push_back(upstream.id);
    // The handler keeps this object alive, so that the answer to a non-idempotent request is read even after its caller
    // has disconnected.
    auto exchange = m_forwarder.m_connections.send(
        std::move(upstreamRequest), [self = shared_from_this(), id = choice.attempt](ExchangeResult result) {
            self->onResult(id, std::move(result));
        });
    m_attempts.push_back({choice.attempt, upstream, now, choice.faultProbability, std::move(exchange)});
    armHedgeTimer(choice.faultProbability, now);
}

void Forwarding::onResult(UpstreamPool::AttemptId id, ExchangeResult result)
{
    const auto now = Clock::now();
    const auto it
        = std::find_if(m_attempts.begin(), m_attempts.end(), [id](const Attempt &attempt) { return attempt.id == id; });
    if (it == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(*it);
    m_attempts.erase(it);
    const auto &names = m_forwarder.m_headers;
    auto &message = result.message;
    const auto status = message.result_int();
    const auto load = result.outcome == ExchangeOutcome::Answered ? parseLoad(message[names.load]) : std::nullopt;
    const auto finishAttempt = [&](AttemptOutcome outcome, std::string_view detail) {
        m_service.pool.finishAttempt(id, outcome, load, now);
        reportAttempt(attempt, outcome, status, detail, now);
    };
    recordHealth(attempt, result, now);
    // An answer with status 421 comes from another upstream at the same address.
    if (result.outcome == ExchangeOutcome::Answered && status != 421) {
        const auto notice = parseNotice(message, names);
        if (m_service.pool.receiveNotice(attempt.upstream, notice, now)) {
            report(attempt.upstream.id, notice);
        }
    }
    if (result.outcome == ExchangeOutcome::NotSent) {
        finishAttempt(AttemptOutcome::Unreachable, result.failure);
        onNotRun(attempt, AttemptOutcome::Unreachable, now);
    } else if (result.outcome == ExchangeOutcome::Lost) {
        finishAttempt(AttemptOutcome::Failure, result.failure);
        report(
            LostAttempt{
                m_request.id, attempt.upstream.id, m_request.method, m_request.host, m_request.target, result.failure},
            m_forwarder.m_metrics);
        onFailed(now);
    } else if ((message.find(names.notRun) != message.end() || status == 421)
               && (result.identified || result.firstOnConnection)) {
        const auto outcome = status == 503 || status == 429 ? AttemptOutcome::Full : AttemptOutcome::Refused;
        finishAttempt(outcome, "not run");
        if (status == 421) {
            m_forwarder.m_serviceRegistry.removeFromPools(attempt.upstream.id);
            m_forwarder.m_connections.closeIdle(attempt.upstream.id);
        }
        onNotRun(attempt, outcome, now);
    } else if (!result.identified || message.find(names.signature) == message.end()
               || message.find(http::field::content_encoding) != message.end()) {
        finishAttempt(AttemptOutcome::Failure, "answer is not the upstream's own");
        onFailed(now);
    } else if (status >= 500 || impliesNotRun(status)) {
        finishAttempt(AttemptOutcome::Failure, "upstream failed");
        // These statuses tell the caller that nothing ran, which is certain only with the not-run header.
        m_failureAnswer = impliesNotRun(status)
            ? makeLocalAnswer(http::status::bad_gateway, "upstream failed", m_request.id, names, Milliseconds(0))
            : makeCallerAnswer(std::move(message), m_request.method == "HEAD", names);
        onFailed(now);
    } else {
        finishAttempt(AttemptOutcome::Success, "");
        m_latency.record(now - attempt.started);
        answer(makeCallerAnswer(std::move(message), m_request.method == "HEAD", names), Outcome::Answered, "", now);
    }
    m_forwarder.dispatchQueued(m_service);
}

void Forwarding::recordHealth(const Attempt &attempt, const ExchangeResult &result, TimePoint now)
{
    auto &suspects = m_forwarder.m_crashSuspects;
    const auto process = processDigest(attempt.upstream);
    if (result.closedByUpstream) {
        suspects.recordCrash(m_digest, process, now);
        return;
    }
    const auto status = result.message.result_int();
    if (result.outcome != ExchangeOutcome::Answered || !result.identified || status == 421) {
        return;
    }
    suspects.recordAlive(process, attempt.started, now);
    if (result.message.find(m_forwarder.m_headers.notRun) == result.message.end()) {
        suspects.recordAnswer(m_digest, now);
    }
}

void Forwarding::onNotRun(const Attempt &attempt, AttemptOutcome outcome, TimePoint now)
{
    --m_runs;
    if (outcome == AttemptOutcome::Full) {
        // The upstream may have a free slot later.
        std::erase(m_triedUpstreams, attempt.upstream.id);
    }
    if (!m_handler || !m_attempts.empty()) {
        return;
    }
    if (m_runs > 0) {
        onFailed(now);
        return;
    }
    if (m_callerClosed) {
        refuse(CallerClosed, now);
        return;
    }
    // An unreachable upstream has not counted the request, so sending it elsewhere takes nothing from the retry budget.
    if (outcome != AttemptOutcome::Unreachable && !m_service.budget.trySpend(now)) {
        refuse("repeat budget is spent", now);
    } else if (!tryStart(now)) {
        enqueue(now);
    }
}

void Forwarding::onFailed(TimePoint now)
{
    if (!m_handler || !m_attempts.empty() || startRetry(1, now)) {
        return;
    }
    if (m_failureAnswer) {
        answer(std::move(*m_failureAnswer), Outcome::MayHaveRun, "upstream failed", now);
    } else {
        giveUp(http::status::bad_gateway, "no whole answer of the upstream", now);
    }
}

bool Forwarding::startRetry(double minRetries, TimePoint now)
{
    if (!m_route.idempotent || m_runs >= m_route.attempts || timeLeft(now) <= MinRetryAfter
        || m_forwarder.m_crashSuspects.blockedUntil(m_digest, now) || mayOutlastStop(now)) {
        return false;
    }
    // A retry is taken from the budget only if an upstream takes it: a hedge that finds none is tried again soon.
    if (m_service.pool.freeSlots(now) < 1 || m_service.budget.remaining(now) < minRetries || !tryStart(now)) {
        return false;
    }
    m_service.budget.trySpend(now);
    return true;
}

void Forwarding::armHedgeTimer(double faultProbability, TimePoint now)
{
    if (!m_route.idempotent || m_runs >= m_route.attempts) {
        return;
    }
    m_hedgeTimer.expires_at(
        now + m_latency.quantile(faultProbability > SuspectFaultProbability ? SuspectHedgeQuantile : HedgeQuantile));
    m_hedgeTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_handler) {
            self->onHedgeTimer();
        }
    });
}

void Forwarding::onHedgeTimer()
{
    const auto now = Clock::now();
    if (m_attempts.empty() || m_runs >= m_route.attempts) {
        return;
    }
    // A request that may crash upstreams runs on one of them at a time.
    const bool suspect = m_forwarder.m_crashSuspects.crashes(m_digest, now) > 0;
    if (!suspect && startRetry(MinRetriesForHedges, now)) {
        return;
    }
    m_hedgeTimer.expires_at(now + HedgeRetryInterval);
    m_hedgeTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_handler) {
            self->onHedgeTimer();
        }
    });
}

void Forwarding::endAttempts(TimePoint now)
{
    auto attempts = std::exchange(m_attempts, {});
    for (const auto &attempt : attempts) {
        const bool late = now - attempt.started > m_latency.quantile(TimeoutQuantile);
        const bool timedOut = now >= m_deadline && late;
        const auto outcome = timedOut ? AttemptOutcome::Timeout : AttemptOutcome::Abandoned;
        m_service.pool.finishAttempt(attempt.id, outcome, std::nullopt, now);
        attempt.exchange->cancel();
        reportAttempt(attempt, outcome, 0, timedOut ? "no answer in time" : "answered elsewhere or caller gone", now);
    }
}

void Forwarding::reportAttempt(
    const Attempt &attempt, AttemptOutcome outcome, unsigned status, std::string_view detail, TimePoint now) const
{
    report(AttemptReport{m_request.id,
                         m_service.name,
                         attempt.upstream.id,
                         attempt.faultProbability,
                         outcome,
                         status,
                         detail,
                         now - attempt.started},
           m_forwarder.m_metrics);
}

} // namespace laburnumspar::detail
