#include "gateway/forwarding.h"

#include "gateway/requestreport.h"
#include "laburnumspar/log.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// A queued request is refused when less time is left than this quantile of the route's latencies.
constexpr double MinTimeLeftQuantile = 0.3;
/// An expected wait up to this is never a reason to refuse a request.
constexpr Milliseconds MinRefusedWait{50};
/// Trials of upstreams that may be faulty are allowed only while the retry budget holds at least this many retries, so
/// that the others remain for requests that fail without being trials.
constexpr double MinRetriesForTrials = 4;
/// An answer is sent this long before the caller's deadline, so that it arrives in time.
constexpr Milliseconds AnswerMargin{20};
constexpr Milliseconds MaxRetryAfter{2000};
constexpr std::string_view CrashesUpstreams = "upstreams have crashed under this request";
/// While the instance stops, it takes only requests that will probably be answered before it ends: this share of the
/// route's requests takes no longer than the time that is left.
constexpr double StopQuantile = 0.95;
/// Weight of an organisation without a quota, in requests per second.
constexpr double DefaultWeight = 10;
constexpr std::string_view Leaving = "leaving";
constexpr std::string_view UpstreamFailed = "upstream failed";

unsigned priorityOf(const Organisation *organisation, const Route &route)
{
    return organisation != nullptr ? organisation->priority.value_or(route.priority) : route.priority;
}

/// Organisations share the room of a service by what they may send.
RequestQueue::Owner ownerOf(const Organisation *organisation)
{
    if (organisation == nullptr) {
        return {};
    }
    return {organisation->name, organisation->quota.isLimited() ? organisation->quota.rate : DefaultWeight};
}

} // namespace

Forwarding::Forwarding(Forwarder &forwarder,
                       ForwardedRequest request,
                       std::shared_ptr<const RouteTable> table,
                       const Route &route,
                       std::string service,
                       Forwarder::Handler handler)
    : m_forwarder(forwarder)
    , m_request(std::move(request))
    , m_table(std::move(table))
    , m_route(route)
    , m_priority(priorityOf(m_table->access(route, m_request.key).organisation, route))
    , m_owner(ownerOf(m_table->access(route, m_request.key).organisation))
    , m_quotaOwner(route.isPublic ? std::string() : m_request.organisation)
    , m_service(forwarder.m_serviceRegistry.service(service))
    , m_latency(forwarder.m_serviceRegistry.latency(route))
    , m_handler(std::move(handler))
    , m_deadlineTimer(forwarder.m_context)
    , m_hedgeTimer(forwarder.m_context)
    , m_deadline(route.timeout.count() > 0
                     ? std::min(m_request.deadline - AnswerMargin, m_request.arrived + route.timeout)
                     : m_request.deadline - AnswerMargin)
    , m_digest(requestDigest(service, m_request.method, m_request.host, m_request.target, *m_request.body))
    , m_active(forwarder.m_active)
{
    m_active->insert(this);
}

Forwarding::~Forwarding()
{
    m_active->erase(this);
}

void Forwarding::start()
{
    if (!m_handler) {
        return;
    }
    const auto now = Clock::now();
    m_service.budget.recordFirstAttempt(now);
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->onDeadline();
        }
    });
    // Requests that are queued already are started first.
    if (m_service.queue.size() > 0) {
        enqueue(now);
        m_forwarder.dispatchQueued(m_service);
    } else if (!tryStart(now)) {
        enqueue(now);
    }
}

bool Forwarding::isFinalAttempt() const
{
    return !m_route.idempotent || m_runs + 1 >= m_route.attempts;
}

/// The key may have been withdrawn, or given to another organisation, while the request was queued.
bool Forwarding::refuseWithoutAccess(TimePoint now)
{
    const auto &newest = m_forwarder.m_serviceRegistry.routes();
    if (newest == m_table || newest->organisations() == nullptr) {
        return false;
    }
    const auto access = newest->access(m_route, m_request.key);
    if (access.granted) {
        identify(m_request, *newest, access);
        return false;
    }
    answer(makeLocalAnswer(
               http::status::unauthorized, Forwarder::UnknownKey, m_request.id, m_forwarder.m_headers, Milliseconds(0)),
           Outcome::NotRun,
           Forwarder::UnknownKey,
           now);
    return true;
}

bool Forwarding::tryStart(TimePoint now)
{
    if (!m_firstAttemptAt && refuseWithoutAccess(now)) {
        return true;
    }
    if (const auto until = m_forwarder.m_crashSuspects.blockedUntil(m_digest, now)) {
        refuseUntil(*until, CrashesUpstreams, now);
        return true;
    }
    if (mayOutlastStop(now)) {
        refuse(Leaving, now);
        return true;
    }
    const auto choice = m_service.pool.startAttempt(
        {&m_latency, isFinalAttempt(), m_service.budget.remaining(now) >= MinRetriesForTrials, m_triedUpstreams}, now);
    if (!choice) {
        return false;
    }
    dequeue();
    m_service.queue.recordStart(now, m_owner);
    m_forwarder.m_crashSuspects.recordStart(m_digest, now);
    startAttempt(*choice, now);
    return true;
}

void Forwarding::enqueue(TimePoint now)
{
    if (refuseWithoutUpstream(now) || m_queueEntry) {
        return;
    }
    const auto objective
        = m_route.objective.count() > 0 ? m_request.arrived + m_route.objective : TimePoint(m_deadline);
    const auto startBy = objective - m_latency.quantile(0.5);
    m_queueEntry = RequestQueue::makeEntry(m_priority, startBy, m_forwarder.m_nextTicket++);
    m_service.queue.add(*m_queueEntry, m_owner);
    m_forwarder.m_queued[m_queueEntry->ticket] = weak_from_this();
    // A request that is expected to start too late is refused at once, while its caller can still retry elsewhere.
    if (now + expectedWait(now) > std::max(startBy, now + MinRefusedWait)) {
        refuse("line is too long", now);
    }
}

/// Refuses the request if no upstream may receive it in time. Returns whether it did.
bool Forwarding::refuseWithoutUpstream(TimePoint now)
{
    if (mayOutlastStop(now)) {
        refuse(Leaving, now);
        return true;
    }
    const auto usableFrom = m_service.pool.usableFrom(now);
    const auto latestStart = latestEnd() - m_latency.quantile(MinTimeLeftQuantile);
    if (usableFrom && *usableFrom <= std::max(latestStart, now)) {
        return false;
    }
    refuse(usableFrom ? "all upstreams have asked for a pause" : "no upstream known", now);
    return true;
}

void Forwarding::dequeue()
{
    if (m_queueEntry) {
        m_service.queue.remove(*m_queueEntry, m_owner);
        m_forwarder.m_queued.erase(m_queueEntry->ticket);
        m_queueEntry.reset();
    }
}

void Forwarding::refuseIfLate(TimePoint now)
{
    if (!m_queueEntry || refuseWithoutUpstream(now)) {
        return;
    }
    // Requests past their latest start are overtaken by all others, so their expected wait counts twice; the expected
    // wait of the others does not count.
    const auto expected = expectedWait(now) * (m_queueEntry->startBy < now ? 2 : 0);
    if (now + expected + m_latency.quantile(MinTimeLeftQuantile) > latestEnd()) {
        refuse("no slot within the deadline", now);
    }
}

/// Estimates the time until all requests ahead in the queue have been started.
Milliseconds Forwarding::expectedWait(TimePoint now) const
{
    const auto requestsAhead
        = m_queueEntry ? m_service.queue.countAhead(*m_queueEntry, m_owner, now) : m_service.queue.size();
    // The start rate of the last second, but not below the rate at which running attempts are expected to free slots.
    const double completionRate = double(m_service.pool.inFlight(now)) / std::max(m_latency.meanSeconds(), 0.001);
    const double rate = std::max({m_service.queue.startRate(now), completionRate, 1.0});
    return Milliseconds(std::int64_t(1000 * double(requestsAhead) / rate));
}

Milliseconds Forwarding::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - now);
}

bool Forwarding::mayOutlastStop(TimePoint now) const
{
    const auto end = m_forwarder.m_endsAt;
    return end && now + m_latency.quantile(StopQuantile) > *end;
}

TimePoint Forwarding::latestEnd() const
{
    return std::min(m_deadline, m_forwarder.m_endsAt.value_or(m_deadline));
}

void Forwarding::onDeadline()
{
    const auto now = Clock::now();
    if (!m_handler) {
        endAttempts(now);
        return;
    }
    if (m_runs == 0) {
        refuse("no slot within the deadline", now);
        return;
    }
    if (m_failureAnswer) {
        answer(std::move(*m_failureAnswer), Outcome::MayHaveRun, UpstreamFailed, now);
        return;
    }
    giveUp(http::status::gateway_timeout, "no answer of the upstream in time", now);
}

void Forwarding::refuse(std::string_view detail, TimePoint now)
{
    const auto usableFrom = m_service.pool.usableFrom(now).value_or(now);
    const auto pause = std::chrono::ceil<Milliseconds>(usableFrom - now);
    refuseUntil(now + std::max(pause, std::clamp(expectedWait(now), MinRetryAfter, MaxRetryAfter)), detail, now);
}

void Forwarding::refuseUntil(TimePoint until, std::string_view detail, TimePoint now)
{
    const auto retryAfter = std::chrono::ceil<Milliseconds>(until - now);
    answer(makeLocalAnswer(http::status::service_unavailable, detail, m_request.id, m_forwarder.m_headers, retryAfter),
           Outcome::NotRun,
           detail,
           now);
}

void Forwarding::giveUp(http::status status, std::string_view detail, TimePoint now)
{
    answer(makeLocalAnswer(status, detail, m_request.id, m_forwarder.m_headers, Milliseconds(0)),
           Outcome::MayHaveRun,
           detail,
           now);
}

void Forwarding::answer(CallerAnswer answer, Outcome outcome, std::string_view detail, TimePoint now)
{
    dequeue();
    endAttempts(now);
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    const auto handler = std::exchange(m_handler, nullptr);
    if (!handler) {
        return;
    }
    m_service.pool.recordOutcome(answer.status < 400, now);
    if (outcome == Outcome::NotRun && !m_quotaOwner.empty()) {
        m_forwarder.m_quotas.refund(m_quotaOwner, now);
    }
    report(RequestReport{m_request.id,
                         m_service.name,
                         &m_route,
                         m_table->version(),
                         outcome,
                         answer.status,
                         detail,
                         m_runs,
                         m_firstAttemptAt.value_or(now) - m_request.arrived,
                         now - m_request.arrived},
           m_forwarder.m_metrics);
    handler(std::move(answer));
}

void Forwarding::abandon()
{
    if (!m_handler) {
        return;
    }
    const auto now = Clock::now();
    logEvent(LogLevel::Info, "request.abandoned", {{"request", m_request.id}, {"runs", m_runs}});
    m_handler = nullptr;
    dequeue();
    m_hedgeTimer.cancel();
    // A non-idempotent request is not cancelled, because its effect is wanted although nobody reads the answer.
    if (m_route.idempotent) {
        m_deadlineTimer.cancel();
        endAttempts(now);
        m_forwarder.dispatchQueued(m_service);
    }
}

void Forwarding::onCallerClosed()
{
    if (!m_handler) {
        return;
    }
    m_callerClosed = true;
    const auto now = Clock::now();
    const auto self = shared_from_this(); // the handler releases this object
    if (m_attempts.empty()) {
        m_runs == 0 ? refuse(CallerClosed, now) : giveUp(http::status::gateway_timeout, CallerClosed, now);
    } else if (m_route.idempotent) {
        giveUp(http::status::gateway_timeout, CallerClosed, now);
        m_forwarder.dispatchQueued(m_service);
    }
}

void Forwarding::end(TimePoint now)
{
    if (m_runs == 0) {
        refuse(Leaving, now);
    } else if (m_failureAnswer) {
        answer(std::move(*m_failureAnswer), Outcome::MayHaveRun, UpstreamFailed, now);
    } else {
        giveUp(http::status::gateway_timeout, Leaving, now);
    }
}

void Forwarding::release()
{
    m_handler = nullptr;
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    for (const auto &attempt : std::exchange(m_attempts, {})) {
        attempt.exchange->cancel();
    }
}

} // namespace laburnumspar::detail
