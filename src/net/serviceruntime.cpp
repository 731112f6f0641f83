#include "net/serviceruntime.h"

#include "laburnumspar/log.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

using std::chrono::duration_cast;

constexpr unsigned MaxAttempts = 3;
// An idempotent request on an upstream that is judged to fail is tried elsewhere after this many usual times. The time
// alone says nothing: long work on a route that is not known as long takes that much on a healthy upstream too.
constexpr double AbandonFactor = 4;
constexpr Milliseconds MinAbandonTime{60};
// Requests go only to upstreams whose phase is known to be at most this old: an upstream that is leaving must not
// get new work 3 s after its first sign, also not from an instance that was paused or partitioned.
constexpr Milliseconds MaxSignAge{2000};
constexpr Milliseconds ProbeTimeout{500};
constexpr Milliseconds ProbeInterval{1250}; // 25 ms of a slot each: 2% of one slot
constexpr Milliseconds EvaluationInterval{50};
constexpr double UsualWeight = 0.05;

} // namespace

std::optional<EvidenceKind> evidenceOf(const AttemptResult &result)
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
    , m_table(LockRank::Service)
    , m_started(context.metrics.counter("lspar_attempts_total", {{"service", m_service}}))
    , m_refused(context.metrics.counter("lspar_refused_total", {{"service", m_service}}))
    , m_retries(context.metrics.counter("lspar_retries_total", {{"service", m_service}}))
    , m_attemptTime(context.metrics.distribution("lspar_attempt_seconds", {{"service", m_service}}))
{
    m_table.with([&](Table &table) {
        table.settings = settings;
        table.health = std::make_unique<HealthEvaluator>(HealthEvaluator::Builder()
                                                             .floor(settings->floor)
                                                             .slots(settings->slots)
                                                             .rampTime(settings->rampTime)
                                                             .seed(context.seed)
                                                             .build());
        // The hook runs inside of calls to the dispatcher, so under the lock of the table.
        table.dispatcher
            = std::make_unique<Dispatcher>(Dispatcher::Builder()
                                               .service(m_service)
                                               .longShare(settings->longShare)
                                               .queueLimit(settings->queueLimit)
                                               .teamShares(settings->teamShares)
                                               .seed(context.seed)
                                               .admissionHook([this, &table](const UpstreamId &id, TimePoint now) {
                                                   return admission(table, id, now);
                                               })
                                               .build());
        table.retryBudget = RetryBudget(settings->retryBudget);
    });
}

awaitable<CallResult> ServiceRuntime::execute(const CallRequest &call, CancellationPtr cancellation)
{
    std::vector<UpstreamId> tried;
    std::optional<CallResult> earlier;
    m_table.with([](Table &table) { table.retryBudget.recordFirstAttempt(Clock::now()); });
    for (unsigned attempts = 1;; ++attempts) {
        const auto ticket = m_table.with([](Table &table) { return table.nextTicket++; });
        const auto decision = co_await admit(call, ticket, tried, cancellation);
        if (decision.kind == Decision::Kind::Refuse) {
            m_refused.add();
            // What an earlier attempt may have done stays true.
            if (earlier) {
                co_return std::move(*earlier);
            }
            co_return CallResult{Outcome::NotRun, decision.reason, 0, {}, {}, {}, {}};
        }
        auto result = co_await attempt(call, decision, cancellation);
        if (earlier && earlier->outcome == Outcome::MayHaveRun && result.outcome == Outcome::NotRun) {
            result.outcome = Outcome::MayHaveRun;
        }
        if (!mayRetry(call, result, attempts, cancellation)) {
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
    OneShot<Decision> decided;
    const auto decisions = m_table.with([&](Table &table) {
        table.waiting.emplace(ticket, decided);
        DispatchRequest request{
            ticket, call.team, call.route, call.workClass, call.deadline, call.idempotent, std::move(exclude)};
        return table.dispatcher->submit(std::move(request), Clock::now());
    });
    carryOut(decisions);
    CancellationScope scope(cancellation, [this, ticket] {
        carryOut(m_table.with([&](Table &table) { return table.dispatcher->cancel(ticket, Clock::now()); }));
    });
    co_return co_await decided.wait();
}

awaitable<CallResult> ServiceRuntime::attempt(const CallRequest &call, Decision start, CancellationPtr cancellation)
{
    const auto sentAt = Clock::now();
    // The decision may be old: this process can have been paused since.
    if (sentAt >= call.deadline) {
        release(start.ticket, Reason::DeadlinePassed);
        co_return CallResult{Outcome::NotRun, Reason::DeadlinePassed, 0, {}, {}, start.upstream, {}};
    }
    auto own = std::make_shared<Cancellation>();
    CancellationScope scope(cancellation, [own] { own->cancel(); });
    const bool allowed = m_table.with([&](Table &table) {
        table.attempts[start.ticket] = {start.upstream, start.workClass, sentAt, call.idempotent ? own : nullptr};
        return admission(table, start.upstream, sentAt).slots > 0;
    });
    if (!allowed) {
        release(start.ticket, Reason::Leaving);
        co_return CallResult{Outcome::NotRun, Reason::Leaving, 0, {}, {}, start.upstream, {}};
    }
    m_started.add();
    UpstreamRequest request{call.method,
                            call.path,
                            call.requestId,
                            call.team,
                            call.contentType,
                            call.body,
                            duration_cast<Milliseconds>(call.deadline - sentAt)};
    auto result
        = co_await m_context.client.call(start.upstream, std::move(request), maxConnections(), call.deadline, own);
    const bool abandoned = result.reason == Reason::Cancelled && !(cancellation && cancellation->isCancelled());
    if (abandoned) {
        result.reason = Reason::Timeout;
    }
    recordAttempt(start, result, sentAt);
    CallResult outcome{result.outcome, result.reason, 0, {}, {}, start.upstream, {}};
    if (result.outcome == Outcome::Answered) {
        outcome.status = result.answer.status;
        outcome.contentType = std::move(result.answer.contentType);
        outcome.body = std::move(result.answer.body);
    }
    co_return outcome;
}

void ServiceRuntime::recordAttempt(const Decision &start, const AttemptResult &result, TimePoint sentAt)
{
    const auto now = Clock::now();
    const auto runTime = duration_cast<Microseconds>(now - sentAt);
    m_attemptTime.record(std::chrono::duration<double>(runTime).count(), now);
    const auto decisions = m_table.with([&](Table &table) {
        table.attempts.erase(start.ticket);
        if (const auto kind = evidenceOf(result)) {
            table.health->record({start.upstream, *kind, start.workClass, runTime, sentAt, now, start.ticket});
        }
        if (result.reason == Reason::None && start.workClass == WorkClass::Short) {
            auto &usual = table.usualShortUs;
            usual = usual == 0 ? runTime.count() : usual + UsualWeight * (runTime.count() - usual);
        }
        notePhase(table, start.upstream, result.answer, now);
        Completion completion{runTime, result.outcome, result.reason, std::nullopt};
        completion.reportedInFlight = result.answer.inFlight;
        return table.dispatcher->finish(start.ticket, completion, now);
    });
    carryOut(decisions);
}

void ServiceRuntime::notePhase(Table &table, const UpstreamId &upstream, const UpstreamAnswer &answer, TimePoint now)
{
    if (!answer.phase) {
        return;
    }
    auto &sign = table.signs[upstream];
    sign.seenAt = now;
    const bool draining = *answer.phase == UpstreamPhase::Draining;
    if (draining != sign.draining) {
        sign.draining = draining;
        logEvent(LogLevel::Info,
                 draining ? "upstream.draining" : "upstream.serving",
                 {{"service", m_service}, {"upstream", toString(upstream)}});
    }
}

bool ServiceRuntime::mayRetry(const CallRequest &call,
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
    return m_table.with(
        [&](Table &table) { return table.dispatcher->retriesAllowed() && table.retryBudget.trySpend(now); });
}

void ServiceRuntime::carryOut(const std::vector<Decision> &decisions)
{
    for (const auto &decision : decisions) {
        const auto waiting = m_table.with([&](Table &table) {
            auto node = table.waiting.extract(decision.ticket);
            return node.empty() ? std::nullopt : std::optional(node.mapped());
        });
        if (waiting) {
            waiting->set(decision);
        }
    }
}

void ServiceRuntime::release(std::uint64_t ticket, Reason reason)
{
    carryOut(m_table.with([&](Table &table) {
        table.attempts.erase(ticket);
        Completion completion{Microseconds(0), Outcome::NotRun, reason, std::nullopt};
        return table.dispatcher->finish(ticket, completion, Clock::now());
    }));
}

Admission ServiceRuntime::admission(Table &table, const UpstreamId &upstream, TimePoint now) const
{
    const auto sign = table.signs.find(upstream);
    if (sign == table.signs.end() || sign->second.draining || now - sign->second.seenAt > MaxSignAge) {
        return {};
    }
    auto admission = table.health->admission(upstream, now);
    admission.slots = table.reserve ? std::min(admission.slots, 1U) : admission.slots;
    return admission;
}

void ServiceRuntime::setReserve(bool reserve)
{
    const bool changed = m_table.with([&](Table &table) { return std::exchange(table.reserve, reserve) != reserve; });
    if (changed) {
        logEvent(LogLevel::Warning, reserve ? "service.isolated" : "service.rejoined", {{"service", m_service}});
    }
}

std::shared_ptr<const ServiceSettings> ServiceRuntime::settings() const
{
    return m_table.with([](Table &table) { return table.settings; });
}

void ServiceRuntime::setSettings(std::shared_ptr<const ServiceSettings> settings, TimePoint now)
{
    m_table.with([&](Table &table) {
        if (*table.settings == *settings) {
            return;
        }
        table.settings = settings;
        table.health->setSettings({settings->floor, settings->slots, settings->rampTime}, now);
        table.retryBudget = RetryBudget(settings->retryBudget);
        table.dispatcher->setLimits({settings->longShare, settings->queueLimit, settings->teamShares}, now);
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
    m_table.with([&](Table &table) {
        table.health->setPool(pool, now);
        if (slots != table.owned) {
            table.owned = slots;
            table.dispatcher->setUpstreams(capacities, now);
        }
        std::erase_if(table.signs, [&](const auto &sign) { return !slots.contains(sign.first); });
    });
}

void ServiceRuntime::tick(TimePoint now)
{
    std::vector<HealthChange> changes;
    std::vector<UpstreamId> probes;
    std::vector<CancellationPtr> abandoned;
    const auto decisions = m_table.with([&](Table &table) {
        if (now - table.evaluatedAt >= EvaluationInterval) {
            table.evaluatedAt = now;
            abandoned = recordOverdue(table, now);
            changes = table.health->evaluate(now);
        }
        probes = dueProbes(table, now);
        return table.dispatcher->poll(now);
    });
    carryOut(decisions);
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

std::vector<CancellationPtr> ServiceRuntime::recordOverdue(Table &table, TimePoint now)
{
    std::vector<CancellationPtr> abandoned;
    const auto limit
        = std::max<Clock::duration>(MinAbandonTime, Microseconds(std::llround(table.usualShortUs * AbandonFactor)));
    for (auto &[ticket, attempt] : table.attempts) {
        const auto runTime = duration_cast<Microseconds>(now - attempt.sentAt);
        if (runTime >= table.health->overdueThreshold(attempt.workClass)) {
            table.health->record(
                {attempt.upstream, EvidenceKind::Overdue, attempt.workClass, runTime, attempt.sentAt, now, ticket});
        }
        const auto state = table.health->state(attempt.upstream);
        const bool failing = state == HealthState::Suspect || state == HealthState::Ejected;
        if (failing && attempt.abandon && attempt.workClass == WorkClass::Short && runTime > limit) {
            abandoned.push_back(std::exchange(attempt.abandon, nullptr));
        }
    }
    return abandoned;
}

std::vector<UpstreamId> ServiceRuntime::dueProbes(Table &table, TimePoint now)
{
    auto due = table.health->probesDue(now);
    for (const auto &[upstream, slots] : table.owned) {
        const auto &sign = table.signs[upstream];
        // Without work only the upstream itself can say whether it is still serving.
        const bool unsure = sign.draining || now - sign.seenAt > MaxSignAge / 2;
        if (unsure && std::find(due.begin(), due.end(), upstream) == due.end()) {
            due.push_back(upstream);
        }
    }
    std::erase_if(due, [&](const UpstreamId &id) { return std::exchange(table.signs[id].probing, true); });
    return due;
}

awaitable<void> ServiceRuntime::probe(UpstreamId upstream)
{
    const auto sentAt = Clock::now();
    const auto result = co_await m_context.client.probe(upstream, maxConnections(), sentAt + ProbeTimeout);
    const auto now = Clock::now();
    const bool ok = result.outcome == Outcome::Answered && result.reason == Reason::None;
    m_table.with([&](Table &table) {
        const auto kind = ok ? EvidenceKind::ProbeOk : EvidenceKind::ProbeFailed;
        table.health->record(
            {upstream, kind, WorkClass::Short, duration_cast<Microseconds>(now - sentAt), sentAt, now, 0});
        notePhase(table, upstream, result.answer, now);
        // A health endpoint that fails must not keep an upstream out that does its work.
        table.signs[upstream].seenAt = now;
    });
    co_await sleepFor(ProbeInterval - (now - sentAt));
    m_table.with([&](Table &table) { table.signs[upstream].probing = false; });
}

void ServiceRuntime::notePause(TimePoint from, TimePoint to)
{
    m_table.with([&](Table &table) { table.health->recordPause(from, to); });
}

unsigned ServiceRuntime::maxConnections() const
{
    return std::max(1U, settings()->connections / m_context.instancesMax);
}

ServiceLoad ServiceRuntime::load() const
{
    return m_table.with([](Table &table) { return table.dispatcher->load(); });
}

std::vector<UpstreamId> ServiceRuntime::unreachable() const
{
    return m_table.with([](Table &table) { return table.health->unreachable(); });
}

DispatcherDump ServiceRuntime::dispatcherDump() const
{
    return m_table.with([](Table &table) { return table.dispatcher->dump(); });
}

HealthDump ServiceRuntime::healthDump(TimePoint now) const
{
    return m_table.with([&](Table &table) { return table.health->dump(now); });
}

std::size_t ServiceRuntime::attemptsInFlight() const
{
    return m_table.with([](Table &table) { return table.attempts.size(); });
}

} // namespace laburnumspar::detail
