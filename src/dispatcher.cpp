#include "detail/dispatcherprivate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace laburnumspar {

namespace {

constexpr std::size_t MaxRecentDecisions = 64;
// Deadlines further away are treated as this one, because larger values would overflow the arithmetic of the queue.
constexpr std::chrono::hours MaxDeadline{24};
// Margin on the number of requests ahead of a new one. Estimated waits are means, so a queue filled up to the mean
// would miss about half of its deadlines when execution times vary.
constexpr double WaitMargin = 1.1;
// A more urgent request is inserted ahead of admitted ones only if these still meet their deadlines with this margin on
// the time between two starts.
constexpr double InsertMargin = 1.05;
// In a lasting overload, the wait of a team is limited to the larger of TargetWaitUs, which covers the interval between
// two polls, and TargetWaitExecutions mean slot times. This keeps the slots busy between two arrivals.
constexpr double TargetWaitUs = 25'000;
constexpr double TargetWaitExecutions = 4;
// The target wait is not enforced while a team has fewer queued requests. A team with a small share can thus always
// queue one, however long the execution takes.
constexpr std::size_t MinQueuedRequests = 1;
// Share of the time left until the deadline that a request may wait even if the upper bound of its execution time
// leaves less. Only the typical execution time may reduce it.
constexpr double MinWaitShare = 0.3;

std::size_t index(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

Microseconds microseconds(Clock::duration duration)
{
    return std::chrono::duration_cast<Microseconds>(duration);
}

detail::SlotTable::Options slotOptions(
    double longShare, LongPlacement placement, AdmissionHook hook, const std::string &policy, std::uint64_t seed)
{
    return {longShare, placement, std::move(hook), Registry<DispatchPolicy>::global().make(policy), seed};
}

} // namespace

Dispatcher::Private::Private(const Builder &builder)
    : m_service(builder.m_service)
    , m_queueLimit(builder.m_queueLimit)
    , m_slots(slotOptions(
          builder.m_longShare, builder.m_longPlacement, builder.m_admissionHook, builder.m_policy, builder.m_seed))
    , m_queue(builder.m_teamShares)
    , m_estimator(builder.m_maxRoutes)
    , m_recentDecisions(MaxRecentDecisions)
{
}

/// Updates the limits and returns the time to use, which never decreases: threads may acquire the lock in another order
/// than they read the clock.
TimePoint Dispatcher::Private::advance(TimePoint now, bool force)
{
    m_now = std::max(m_now, now);
    m_slots.refresh(m_now, force);
    m_usableSlots.set(m_slots.slots(), m_now);
    return m_now;
}

void Dispatcher::Private::setUpstreams(std::vector<UpstreamCapacity> upstreams, TimePoint now)
{
    m_slots.setUpstreams(std::move(upstreams));
    advance(now, true);
}

void Dispatcher::Private::setLimits(DispatcherLimits limits, TimePoint now)
{
    m_queueLimit = limits.queueLimit;
    m_queue.setShares(std::move(limits.teamShares));
    m_slots.setLongShare(limits.longShare);
    advance(now, true);
}

Dispatcher::Private::Decisions Dispatcher::Private::submit(DispatchRequest request, TimePoint now)
{
    now = advance(now);
    Decisions decisions;
    const std::uint64_t ticket = request.ticket;
    const auto [it, added] = m_entries.try_emplace(ticket);
    requireInvariant(added, "a submitted ticket is not already in use");
    Entry &entry = it->second;
    entry.request = std::move(request);
    entry.requestClass = m_estimator.classify(entry.request.route, entry.request.requestClass);
    entry.team = &m_queue.team(entry.request.team);
    entry.key = {std::min(entry.request.deadline, now + MaxDeadline), m_nextSequence++};
    entry.submittedAt = now;

    Reason reason = admit(entry, now);
    if (reason == Reason::None && m_queue.size() >= m_queueLimit && !m_slots.hasFreeSlot(entry.requestClass)
        && !evictForTeam(*entry.team, now, decisions)) {
        reason = m_queue.activeTeams() > 1 ? Reason::TeamShareExceeded : Reason::QueueFull;
    }
    if (reason != Reason::None) {
        refuse(it, reason, now, decisions);
        return decisions;
    }
    m_queue.push(*entry.team, entry.requestClass, entry.key, ticket);
    startQueued(now, decisions);
    return decisions;
}

Reason Dispatcher::Private::admit(Entry &entry, TimePoint now)
{
    if (entry.request.deadline <= now) {
        return Reason::DeadlinePassed;
    }
    if (!m_slots.hasUsableUpstream(entry.request.exclude)) {
        return Reason::NoUpstream;
    }
    if (refusalReason(entry, now) != Reason::None) {
        entry.trial = m_estimator.allowTrial(entry.request.route, now);
        return entry.trial ? Reason::None : Reason::DeadlineTooShort;
    }
    const bool waits = m_queue.size(entry.requestClass) > 0 || !m_slots.hasFreeSlot(entry.requestClass);
    const Reason reason = waits ? admitToQueue(entry, now) : Reason::None;
    const bool exceeds = waits && exceedsTargetWait(*entry.team, entry.requestClass, now);
    const bool enforced = entry.team->overload[index(entry.requestClass)].shouldEnforceTarget(exceeds, now);
    return reason == Reason::None && enforced ? Reason::DeadlineTooShort : reason;
}

/// True if the team has more queued requests than a lasting overload allows.
bool Dispatcher::Private::exceedsTargetWait(const detail::Team &team, RequestClass requestClass, TimePoint now) const
{
    const std::size_t waiting = team.queues[index(requestClass)].size();
    const double targetUs = std::max(TargetWaitUs, TargetWaitExecutions * m_queue.slotTime(team, requestClass));
    return waiting >= MinQueuedRequests && double(waiting) * drainRate(team, requestClass, now).perRequestUs > targetUs;
}

/// Refuses a request that could not finish before its deadline, or that would make queued ones miss theirs. The wait is
/// estimated from the queued requests of the same team and class with earlier deadlines.
Reason Dispatcher::Private::admitToQueue(const Entry &entry, TimePoint now) const
{
    const auto &queue = entry.team->queues[index(entry.requestClass)];
    const auto &runTime = m_estimator.runTime(entry.request.route, entry.requestClass);
    const double leftUs = double(microseconds(entry.request.deadline - now).count());
    detail::DrainRate rate = drainRate(*entry.team, entry.requestClass, now);
    rate.runTimeUs = std::min(runTime.upperBound(), std::max(runTime.typical(), leftUs * (1 - MinWaitShare)));
    const double ahead = double(queue.countAhead(entry.request.deadline) + 1);
    if (rate.finishTime(ahead * WaitMargin) > entry.request.deadline) {
        return Reason::DeadlineTooShort;
    }
    // A request with an earlier deadline must not push admitted ones past their deadlines.
    rate.runTimeUs = runTime.typical();
    rate.perRequestUs *= InsertMargin;
    return queue.toleratesInsert(entry.request.deadline, rate) ? Reason::None : Reason::DeadlineTooShort;
}

/// If the team is below its share of the full queue, refuses the request with the latest deadline of the team that has
/// the most queued requests relative to its weight. True if a request was refused.
bool Dispatcher::Private::evictForTeam(const detail::Team &team, TimePoint now, Decisions &decisions)
{
    if (m_queue.overQueueShare(team, m_queueLimit)) {
        return false;
    }
    const detail::Team *largest = m_queue.teamWithLargestQueue();
    if (!largest || largest == &team) {
        return false;
    }
    const auto &longQueue = largest->queues[index(RequestClass::Long)];
    const auto &shortQueue = largest->queues[index(RequestClass::Short)];
    const auto &queue = shortQueue.size() >= longQueue.size() ? shortQueue : longQueue;
    refuse(m_entries.find(queue.last()), Reason::TeamShareExceeded, now, decisions);
    return true;
}

/// Number of slots that serve the class: long requests have their share, short ones the slots that long ones leave.
double Dispatcher::Private::classSlots(RequestClass requestClass, TimePoint now) const
{
    if (requestClass == RequestClass::Long) {
        return m_slots.longLimit();
    }
    // The average smooths out the short drop of the limit after an upstream shed a request; queued requests can wait
    // that long.
    const double slots = std::max<double>(m_slots.slots(), m_usableSlots.average(now));
    return std::max(1.0, slots - m_queue.averageHeld(RequestClass::Long, now));
}

detail::DrainRate
Dispatcher::Private::drainRate(const detail::Team &team, RequestClass requestClass, TimePoint now) const
{
    return {now, m_queue.startInterval(team, requestClass, classSlots(requestClass, now), now), 0};
}

Dispatcher::Private::Decisions
Dispatcher::Private::finish(std::uint64_t ticket, const Completion &completion, TimePoint now)
{
    now = advance(now);
    Decisions decisions;
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.upstream) {
        return decisions;
    }
    const Entry &entry = it->second;
    const Microseconds held = microseconds(now - entry.startedAt);
    m_slots.finish(*entry.upstream, entry.requestClass, completion, now);
    m_queue.finish(*entry.team, entry.requestClass, entry.costUs, double(held.count()), now);
    m_startedShort.erase({entry.startedAt, ticket});
    recordCompletion(entry, completion, held, now);
    m_entries.erase(it);
    m_slots.refresh(now, false);
    startQueued(now, decisions);
    return decisions;
}

void Dispatcher::Private::recordCompletion(const Entry &entry,
                                           const Completion &completion,
                                           Microseconds held,
                                           TimePoint now)
{
    const Microseconds runTime = completion.runTime.count() > 0 ? completion.runTime : held;
    const DispatchRequest &request = entry.request;
    if (completion.outcome == Outcome::NotRun) {
        return;
    }
    m_queue.recordSlotTime(*entry.team, entry.requestClass, double(held.count()), now);
    if (completion.outcome == Outcome::Answered && completion.reason == Reason::None && !entry.cancelled) {
        m_estimator.record(request.route, request.requestClass, entry.requestClass, runTime, now);
    } else {
        m_estimator.recordAtLeast(request.route, request.requestClass, entry.requestClass, runTime, now);
    }
}

Dispatcher::Private::Decisions Dispatcher::Private::cancel(std::uint64_t ticket, TimePoint now)
{
    now = advance(now);
    Decisions decisions;
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end()) {
        return decisions;
    }
    if (it->second.upstream) {
        it->second.cancelled = true;
    } else {
        refuse(it, Reason::Cancelled, now, decisions);
    }
    return decisions;
}

Dispatcher::Private::Decisions Dispatcher::Private::poll(TimePoint now)
{
    now = advance(now, true);
    Decisions decisions;
    reclassifyOverruns(now);
    refuseWithoutUpstream(now, decisions);
    refuseExpired(now, decisions);
    startQueued(now, decisions);
    refuseInfeasible(now, decisions);
    m_queue.dropIdleTeams(now);
    return decisions;
}

Dispatcher::Dispatcher(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setUpstreams(std::vector<UpstreamCapacity> upstreams, TimePoint now)
{
    m_d->setUpstreams(std::move(upstreams), now);
}

void Dispatcher::setLimits(DispatcherLimits limits, TimePoint now)
{
    m_d->setLimits(std::move(limits), now);
}

std::vector<Decision> Dispatcher::submit(DispatchRequest request, TimePoint now)
{
    return m_d->submit(std::move(request), now);
}

std::vector<Decision> Dispatcher::finish(std::uint64_t ticket, const Completion &completion, TimePoint now)
{
    return m_d->finish(ticket, completion, now);
}

std::vector<Decision> Dispatcher::cancel(std::uint64_t ticket, TimePoint now)
{
    return m_d->cancel(ticket, now);
}

std::vector<Decision> Dispatcher::poll(TimePoint now)
{
    return m_d->poll(now);
}

DispatcherLoad Dispatcher::load() const
{
    return m_d->load();
}

bool Dispatcher::retriesAllowed() const
{
    return m_d->retriesAllowed();
}

DispatcherDump Dispatcher::dump() const
{
    return m_d->dump();
}

} // namespace laburnumspar
