#include "net/serviceruntime.h"

#include "laburnumspar/log.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

using std::chrono::duration_cast;

constexpr unsigned MaxAttempts = 3;
// An idempotent short request at a suspect or ejected upstream is retried at another one after this multiple of the
// typical run time. The run time alone is no sign of a fault: a long request on a route not yet known as long takes as
// much at a healthy upstream.
constexpr double AbandonFactor = 4;
constexpr Milliseconds MinAbandonTime{60};
// Requests are sent only to upstreams whose phase was checked at most this long ago. A draining upstream must receive
// no new requests later than 3 s after it first reported that phase, not even from an instance that was paused or
// partitioned.
constexpr Milliseconds MaxPhaseAge{2000};
constexpr Milliseconds ProbeTimeout{500};
constexpr Milliseconds ProbeInterval{1250}; // a probe takes 25 ms of a slot, so probing takes 2% of one slot
constexpr Milliseconds EvaluationInterval{50};
/// Share of an upstream's request rate while this instance is isolated: instances that it cannot reach may dispatch to
/// the same upstream. Otherwise it is the only one that does.
constexpr double IsolatedRateShare = 0.5;
constexpr double TypicalTimeWeight = 0.05; // of the newest run time in the moving average

double rateShare(bool isolated)
{
    return isolated ? IsolatedRateShare : 1;
}

} // namespace

std::optional<EvidenceKind> toEvidenceKind(const AttemptResult &result)
{
    switch (result.reason) {
    case Reason::None:
        return EvidenceKind::Success;
    case Reason::Timeout:
        return EvidenceKind::Timeout;
    case Reason::ConnectFailed:
        return EvidenceKind::ConnectFailed;
    case Reason::ConnectionLost:
    case Reason::UpstreamError:
        return EvidenceKind::Error;
    case Reason::TruncatedAnswer:
        return EvidenceKind::Truncated;
    case Reason::WrongAnswer:
        return EvidenceKind::Wrong;
    case Reason::Shed:
    case Reason::DeadlineTooShort:
        return EvidenceKind::Shed;
    default:
        return std::nullopt;
    }
}

ServiceRuntime::ServiceRuntime(Context context, std::shared_ptr<const ServiceSettings> settings)
    : m_context(context)
    , m_service(settings->service)
    , m_state(LockRank::Service)
    , m_attempts(context.metrics.counter("lspar_attempts_total", {{"service", m_service}}))
    , m_refused(context.metrics.counter("lspar_refused_total", {{"service", m_service}}))
    , m_retries(context.metrics.counter("lspar_retries_total", {{"service", m_service}}))
    , m_attemptTime(context.metrics.distribution("lspar_attempt_seconds", {{"service", m_service}}))
{
    m_state.with([&](State &state) {
        state.settings = settings;
        state.health = std::make_unique<HealthEvaluator>(HealthEvaluator::Builder()
                                                             .floor(settings->floor)
                                                             .slots(settings->slots)
                                                             .rampTime(settings->rampTime)
                                                             .seed(context.seed)
                                                             .build());
        // The dispatcher calls the hook from its own functions, so the lock of the state is already held.
        state.dispatcher
            = std::make_unique<Dispatcher>(Dispatcher::Builder()
                                               .service(m_service)
                                               .longShare(settings->longShare)
                                               .queueLimit(settings->queueLimit)
                                               .teamShares(settings->teamShares)
                                               .seed(context.seed)
                                               .admissionHook([this, &state](const UpstreamId &id, TimePoint now) {
                                                   return rateLimitedAdmission(state, id, now);
                                               })
                                               .build());
        state.retryBudget = RetryBudget(settings->retryBudget);
    });
}

awaitable<CallResult> ServiceRuntime::execute(const CallRequest &call, CancellationPtr cancellation)
{
    std::vector<UpstreamId> tried;
    std::optional<CallResult> earlier;
    m_state.with([](State &state) { state.retryBudget.recordFirstAttempt(Clock::now()); });
    for (unsigned attempts = 1;; ++attempts) {
        const auto ticket = m_state.with([](State &state) { return state.nextTicket++; });
        const auto decision = co_await admit(call, ticket, tried, cancellation);
        if (decision.kind == Decision::Kind::Refuse) {
            m_refused.add();
            // An earlier attempt may have run the request, so its result is reported rather than the refusal.
            if (earlier) {
                co_return std::move(*earlier);
            }
            co_return CallResult{Outcome::NotRun, decision.reason, 0, {}, {}, {}, {}};
        }
        auto result = co_await attempt(call, decision, cancellation);
        if (earlier && earlier->outcome == Outcome::MayHaveRun && result.outcome == Outcome::NotRun) {
            result.outcome = Outcome::MayHaveRun;
        }
        if (!shouldRetry(call, result, attempts, cancellation)) {
            co_return result;
        }
        m_retries.add();
        tried.push_back(decision.upstream);
        earlier = std::move(result);
    }
}

awaitable<Decision> ServiceRuntime::admit(const CallRequest &call,
                                          std::uint64_t ticket,
                                          std::vector<UpstreamId> exclude,
                                          CancellationPtr cancellation)
{
    OneShot<Decision> pendingDecision;
    const auto decisions = m_state.with([&](State &state) {
        state.waiting.emplace(ticket, pendingDecision);
        DispatchRequest request{
            ticket, call.team, call.route, call.requestClass, call.deadline, call.idempotent, std::move(exclude)};
        return state.dispatcher->submit(std::move(request), Clock::now());
    });
    deliverDecisions(decisions);
    CancellationScope scope(cancellation, [this, ticket] {
        deliverDecisions(m_state.with([&](State &state) { return state.dispatcher->cancel(ticket, Clock::now()); }));
    });
    co_return co_await pendingDecision.wait();
}

awaitable<CallResult> ServiceRuntime::attempt(const CallRequest &call, Decision decision, CancellationPtr cancellation)
{
    const auto sentAt = Clock::now();
    // The process may have been paused since the decision was made.
    if (sentAt >= call.deadline) {
        releaseSlot(decision.ticket, Reason::DeadlinePassed);
        co_return CallResult{Outcome::NotRun, Reason::DeadlinePassed, 0, {}, {}, decision.upstream, {}};
    }
    auto attemptCancellation = std::make_shared<Cancellation>();
    CancellationScope scope(cancellation, [attemptCancellation] { attemptCancellation->cancel(); });
    const bool allowed = m_state.with([&](State &state) {
        state.attempts[decision.ticket]
            = {decision.upstream, decision.requestClass, sentAt, call.idempotent ? attemptCancellation : nullptr};
        if (admission(state, decision.upstream, sentAt).slots == 0) {
            return false;
        }
        state.constraints.recordRequest(toString(decision.upstream), rateShare(state.isolated), sentAt);
        return true;
    });
    if (!allowed) {
        releaseSlot(decision.ticket, Reason::Leaving);
        co_return CallResult{Outcome::NotRun, Reason::Leaving, 0, {}, {}, decision.upstream, {}};
    }
    m_attempts.add();
    UpstreamRequest request{call.method,
                            call.path,
                            call.requestId,
                            call.team,
                            call.contentType,
                            call.body,
                            duration_cast<Milliseconds>(call.deadline - sentAt)};
    auto result = co_await m_context.client.call(
        decision.upstream, std::move(request), maxConnections(), call.deadline, attemptCancellation);
    // Cancelled by recordOverdue(), not by the caller.
    const bool abandoned = result.reason == Reason::Cancelled && !(cancellation && cancellation->isCancelled());
    if (abandoned) {
        result.reason = Reason::Timeout;
    }
    recordAttempt(decision, result, sentAt);
    CallResult callResult{result.outcome, result.reason, 0, {}, {}, decision.upstream, {}};
    if (result.outcome == Outcome::Answered) {
        callResult.status = result.answer.status;
        callResult.contentType = std::move(result.answer.contentType);
        callResult.body = std::move(result.answer.body);
    }
    co_return callResult;
}

void ServiceRuntime::recordAttempt(const Decision &decision, const AttemptResult &result, TimePoint sentAt)
{
    const auto now = Clock::now();
    const auto runTime = duration_cast<Microseconds>(now - sentAt);
    m_attemptTime.record(std::chrono::duration<double>(runTime).count(), now);
    const auto decisions = m_state.with([&](State &state) {
        state.attempts.erase(decision.ticket);
        if (const auto kind = toEvidenceKind(result)) {
            state.health->record(
                {decision.upstream, *kind, decision.requestClass, runTime, sentAt, now, decision.ticket});
        }
        if (result.reason == Reason::None && decision.requestClass == RequestClass::Short) {
            auto &typical = state.typicalShortUs;
            typical = typical == 0 ? runTime.count() : typical + TypicalTimeWeight * (runTime.count() - typical);
        }
        recordPhase(state, decision.upstream, result.answer, now);
        recordNotice(state, decision.upstream, result, now);
        Completion completion{runTime, result.outcome, result.reason, std::nullopt};
        completion.reportedInFlight = result.answer.inFlight;
        return state.dispatcher->finish(decision.ticket, completion, now);
    });
    deliverDecisions(decisions);
}

/// Applies what the upstream asks for with its own, undamaged answer.
void ServiceRuntime::recordNotice(State &state, const UpstreamId &upstream, const AttemptResult &result, TimePoint now)
{
    if (result.answer.status == 0 || result.reason == Reason::WrongAnswer) {
        return;
    }
    const auto &notice = result.answer.notice;
    if (state.constraints.apply(toString(upstream), 0, notice, now)) {
        const bool limited = notice.requestRate != UpstreamNotice::Unlimited;
        logEvent(LogLevel::Info,
                 "upstream.notice",
                 {{"service", m_service},
                  {"upstream", toString(upstream)},
                  {"pause_ms", notice.pause.count()},
                  {"requests_per_second", limited ? std::to_string(notice.requestRate) : "unlimited"}});
    }
}

void ServiceRuntime::recordPhase(State &state, const UpstreamId &upstream, const UpstreamAnswer &answer, TimePoint now)
{
    if (!answer.phase) {
        return;
    }
    auto &phase = state.phases[upstream];
    phase.checkedAt = now;
    const bool draining = *answer.phase == UpstreamPhase::Draining;
    if (draining != phase.draining) {
        phase.draining = draining;
        logEvent(LogLevel::Info,
                 draining ? "upstream.draining" : "upstream.serving",
                 {{"service", m_service}, {"upstream", toString(upstream)}});
    }
}

bool ServiceRuntime::shouldRetry(const CallRequest &call,
                                 const CallResult &result,
                                 unsigned attempts,
                                 CancellationPtr cancellation)
{
    const bool failed = result.outcome != Outcome::Answered || result.reason == Reason::UpstreamError;
    const bool safe = result.outcome == Outcome::NotRun || call.idempotent;
    const auto now = Clock::now();
    if (!failed || !safe || attempts >= MaxAttempts || now >= call.deadline || result.reason == Reason::Cancelled
        || (cancellation && cancellation->isCancelled())) {
        return false;
    }
    return m_state.with(
        [&](State &state) { return state.dispatcher->retriesAllowed() && state.retryBudget.trySpend(now); });
}

void ServiceRuntime::deliverDecisions(const std::vector<Decision> &decisions)
{
    for (const auto &decision : decisions) {
        const auto waiting = m_state.with([&](State &state) {
            auto node = state.waiting.extract(decision.ticket);
            return node.empty() ? std::nullopt : std::optional(node.mapped());
        });
        if (waiting) {
            waiting->set(decision);
        }
    }
}

void ServiceRuntime::releaseSlot(std::uint64_t ticket, Reason reason)
{
    deliverDecisions(m_state.with([&](State &state) {
        state.attempts.erase(ticket);
        Completion completion{Microseconds(0), Outcome::NotRun, reason, std::nullopt};
        return state.dispatcher->finish(ticket, completion, Clock::now());
    }));
}

Admission ServiceRuntime::admission(State &state, const UpstreamId &upstream, TimePoint now) const
{
    const auto phase = state.phases.find(upstream);
    if (phase == state.phases.end() || phase->second.draining || now - phase->second.checkedAt > MaxPhaseAge
        || state.constraints.isPaused(toString(upstream), now)) {
        return {};
    }
    auto admission = state.health->admission(upstream, now);
    admission.slots = state.isolated ? std::min(admission.slots, 1U) : admission.slots;
    return admission;
}

Admission ServiceRuntime::rateLimitedAdmission(State &state, const UpstreamId &upstream, TimePoint now) const
{
    auto result = admission(state, upstream, now);
    const double allowed = state.constraints.requestsAllowed(toString(upstream), rateShare(state.isolated), now);
    if (result.slots == 0 || allowed >= double(result.slots)) {
        return result;
    }
    const auto running = std::count_if(
        state.attempts.begin(), state.attempts.end(), [&](const auto &it) { return it.second.upstream == upstream; });
    result.slots = std::min(result.slots, unsigned(running) + unsigned(allowed));
    return result;
}

void ServiceRuntime::setIsolated(bool isolated)
{
    const bool changed
        = m_state.with([&](State &state) { return std::exchange(state.isolated, isolated) != isolated; });
    if (changed) {
        logEvent(LogLevel::Warning, isolated ? "service.isolated" : "service.rejoined", {{"service", m_service}});
    }
}

std::shared_ptr<const ServiceSettings> ServiceRuntime::settings() const
{
    return m_state.with([](State &state) { return state.settings; });
}

void ServiceRuntime::setSettings(std::shared_ptr<const ServiceSettings> settings, TimePoint now)
{
    m_state.with([&](State &state) {
        if (*state.settings == *settings) {
            return;
        }
        state.settings = settings;
        state.health->setSettings({settings->floor, settings->slots, settings->rampTime}, now);
        state.retryBudget = RetryBudget(settings->retryBudget);
        state.dispatcher->setLimits({settings->longShare, settings->queueLimit, settings->teamShares}, now);
    });
}

void ServiceRuntime::setUpstreams(const std::vector<UpstreamEntry> &all,
                                  const std::vector<UpstreamId> &owned,
                                  TimePoint now)
{
    const auto slotsEach = settings()->slots;
    std::vector<PoolMember> pool;
    std::vector<UpstreamCapacity> capacities;
    std::map<UpstreamId, unsigned> slots;
    for (const auto &entry : all) {
        const bool isOwned = std::find(owned.begin(), owned.end(), entry.id) != owned.end();
        pool.push_back({entry.id, entry.zone, slotsEach, entry.phase, isOwned});
        if (isOwned) {
            capacities.push_back({entry.id, slotsEach});
            slots[entry.id] = slotsEach;
        }
    }
    m_state.with([&](State &state) {
        state.health->setPool(pool, now);
        if (slots != state.owned) {
            state.owned = slots;
            state.dispatcher->setUpstreams(capacities, now);
        }
        std::erase_if(state.phases, [&](const auto &phase) { return !slots.contains(phase.first); });
        state.constraints.prune(now);
    });
}

void ServiceRuntime::tick(TimePoint now)
{
    std::vector<HealthChange> changes;
    std::vector<UpstreamId> probes;
    std::vector<CancellationPtr> abandoned;
    const auto decisions = m_state.with([&](State &state) {
        if (now - state.evaluatedAt >= EvaluationInterval) {
            state.evaluatedAt = now;
            abandoned = recordOverdue(state, now);
            changes = state.health->evaluate(now);
        }
        probes = dueProbes(state, now);
        return state.dispatcher->poll(now);
    });
    deliverDecisions(decisions);
    for (const auto &attempt : abandoned) {
        attempt->cancel();
    }
    for (const auto &change : changes) {
        logEvent(LogLevel::Info,
                 "upstream.health",
                 {{"service", m_service},
                  {"upstream", toString(change.upstream)},
                  {"from", name(change.from)},
                  {"to", name(change.to)},
                  {"reason", name(change.reason)}});
    }
    for (const auto &upstream : probes) {
        spawn(m_context.io, "upstream.probe", [this, upstream] { return probe(upstream); });
    }
}

std::vector<CancellationPtr> ServiceRuntime::recordOverdue(State &state, TimePoint now)
{
    std::vector<CancellationPtr> abandoned;
    const auto limit
        = std::max<Clock::duration>(MinAbandonTime, Microseconds(std::llround(state.typicalShortUs * AbandonFactor)));
    for (auto &[ticket, attempt] : state.attempts) {
        const auto runTime = duration_cast<Microseconds>(now - attempt.sentAt);
        if (runTime >= state.health->overdueThreshold(attempt.requestClass)) {
            state.health->record(
                {attempt.upstream, EvidenceKind::Overdue, attempt.requestClass, runTime, attempt.sentAt, now, ticket});
        }
        const auto healthState = state.health->state(attempt.upstream);
        const bool failing = healthState == HealthState::Suspect || healthState == HealthState::Ejected;
        if (failing && attempt.abandon && attempt.requestClass == RequestClass::Short && runTime > limit) {
            abandoned.push_back(std::exchange(attempt.abandon, nullptr));
        }
    }
    return abandoned;
}

std::vector<UpstreamId> ServiceRuntime::dueProbes(State &state, TimePoint now)
{
    auto due = state.health->probesDue(now);
    for (const auto &[upstream, slots] : state.owned) {
        const auto &phase = state.phases[upstream];
        // Without requests only a probe can find out whether the upstream is still serving.
        const bool needsProbe = phase.draining || now - phase.checkedAt > MaxPhaseAge / 2;
        if (needsProbe && std::find(due.begin(), due.end(), upstream) == due.end()) {
            due.push_back(upstream);
        }
    }
    std::erase_if(due, [&](const UpstreamId &id) { return std::exchange(state.phases[id].probing, true); });
    return due;
}

awaitable<void> ServiceRuntime::probe(UpstreamId upstream)
{
    const auto sentAt = Clock::now();
    const auto result = co_await m_context.client.probe(upstream, maxConnections(), sentAt + ProbeTimeout);
    const auto now = Clock::now();
    const bool ok = result.outcome == Outcome::Answered && result.reason == Reason::None;
    m_state.with([&](State &state) {
        const auto kind = ok ? EvidenceKind::ProbeOk : EvidenceKind::ProbeFailed;
        state.health->record(
            {upstream, kind, RequestClass::Short, duration_cast<Microseconds>(now - sentAt), sentAt, now, 0});
        recordPhase(state, upstream, result.answer, now);
        // Set even if the probe failed: a faulty health endpoint must not take a working upstream out of service.
        state.phases[upstream].checkedAt = now;
    });
    co_await sleepFor(ProbeInterval - (now - sentAt));
    m_state.with([&](State &state) { state.phases[upstream].probing = false; });
}

void ServiceRuntime::recordPause(TimePoint from, TimePoint to)
{
    m_state.with([&](State &state) { state.health->recordPause(from, to); });
}

unsigned ServiceRuntime::maxConnections() const
{
    return std::max(1U, settings()->connections / m_context.maxInstances);
}

ServiceLoad ServiceRuntime::load() const
{
    return m_state.with([](State &state) { return state.dispatcher->load(); });
}

std::vector<UpstreamId> ServiceRuntime::unreachable() const
{
    return m_state.with([](State &state) { return state.health->unreachable(); });
}

DispatcherDump ServiceRuntime::dispatcherDump() const
{
    return m_state.with([](State &state) { return state.dispatcher->dump(); });
}

HealthDump ServiceRuntime::healthDump(TimePoint now) const
{
    return m_state.with([&](State &state) { return state.health->dump(now); });
}

std::size_t ServiceRuntime::attemptsInFlight() const
{
    return m_state.with([](State &state) { return state.attempts.size(); });
}

} // namespace laburnumspar::detail
