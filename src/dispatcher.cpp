#include "detail/dispatcherprivate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace laburnumspar {

namespace {

constexpr std::size_t RecentDecisions = 64;
// Deadlines beyond this are all alike; larger ones would overflow the arithmetic of the queue.
constexpr std::chrono::hours MaxDeadline{24};
// Estimated waits are means; a queue filled up to the mean would miss half of its deadlines when service is uneven.
constexpr double WaitMargin = 1.1;
// Admitted items give way to more urgent ones only as long as the estimate leaves them this margin.
constexpr double InsertMargin = 1.05;
// In a lasting overload a team waits for a few executions, or for as long as a poll takes to notice changes. That is
// enough to keep the slots busy between two arrivals.
constexpr double TargetWaitUs = 25'000;
constexpr double TargetWaitExecutions = 4;
// A team with a small share may always have this many items waiting, however long they take.
constexpr std::size_t MinWaitItems = 1;
// Of a deadline that is short against the execution time, waiting may still use this share.
constexpr double MinWaitShare = 0.3;

std::size_t index(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
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
    , m_recent(RecentDecisions)
{
}

/// Time never goes back, whatever the order in which threads reach the lock.
TimePoint Dispatcher::Private::advance(TimePoint now, bool force)
{
    m_now = std::max(m_now, now);
    m_slots.refresh(m_now, force);
    m_slotMeter.set(m_slots.slots(), m_now);
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

Dispatcher::Private::Decisions Dispatcher::Private::submit(DispatchRequest item, TimePoint now)
{
    now = advance(now);
    Decisions decisions;
    const std::uint64_t ticket = item.ticket;
    const auto [it, added] = m_entries.try_emplace(ticket);
    requireInvariant(added, "a ticket is submitted once");
    Entry &entry = it->second;
    entry.item = std::move(item);
    entry.workClass = m_estimator.classify(entry.item.route, entry.item.workClass);
    entry.team = &m_queue.team(entry.item.team);
    entry.key = {std::min(entry.item.deadline, now + MaxDeadline), m_sequence++};
    entry.submittedAt = now;

    Reason reason = admit(entry, now);
    if (reason == Reason::None && m_queue.size() >= m_queueLimit && !m_slots.hasFree(entry.workClass)
        && !makeRoom(*entry.team, now, decisions)) {
        reason = m_queue.activeTeams() > 1 ? Reason::TeamShareExceeded : Reason::QueueFull;
    }
    if (reason != Reason::None) {
        refuse(it, reason, now, decisions);
        return decisions;
    }
    m_queue.push(*entry.team, entry.workClass, entry.key, ticket);
    startWaiting(now, decisions);
    return decisions;
}

Reason Dispatcher::Private::admit(Entry &entry, TimePoint now)
{
    if (entry.item.deadline <= now) {
        return Reason::DeadlinePassed;
    }
    if (!m_slots.usable(entry.item.exclude)) {
        return Reason::NoUpstream;
    }
    if (hopeless(entry, now) != Reason::None) {
        entry.trial = m_estimator.takeTrial(entry.item.route, now);
        return entry.trial ? Reason::None : Reason::DeadlineTooShort;
    }
    const bool waits = m_queue.size(entry.workClass) > 0 || !m_slots.hasFree(entry.workClass);
    const Reason reason = waits ? admitToQueue(entry, now) : Reason::None;
    const bool beyond = waits && beyondTarget(*entry.team, entry.workClass, now);
    const bool limited = entry.team->overload[index(entry.workClass)].mustStayShort(beyond, now);
    return reason == Reason::None && limited ? Reason::DeadlineTooShort : reason;
}

/// True if the team has more waiting items than a lasting overload allows.
bool Dispatcher::Private::beyondTarget(const detail::Team &team, WorkClass workClass, TimePoint now) const
{
    const std::size_t waiting = team.queues[index(workClass)].size();
    const double targetUs = std::max(TargetWaitUs, TargetWaitExecutions * m_queue.slotTime(team, workClass));
    return waiting >= MinWaitItems && double(waiting) * drainRate(team, workClass, now).perItemUs > targetUs;
}

/// Estimates the wait behind the items of the same team and class that are due earlier.
Reason Dispatcher::Private::admitToQueue(const Entry &entry, TimePoint now) const
{
    const auto &queue = entry.team->queues[index(entry.workClass)];
    const auto &runTime = m_estimator.runTime(entry.item.route, entry.workClass);
    const double leftUs = double(microseconds(entry.item.deadline - now).count());
    detail::DrainRate rate = drainRate(*entry.team, entry.workClass, now);
    rate.runTimeUs = std::min(runTime.upper(), std::max(runTime.usual(), leftUs * (1 - MinWaitShare)));
    const double ahead = double(queue.countAhead(entry.item.deadline) + 1);
    if (rate.end(ahead * WaitMargin) > entry.item.deadline) {
        return Reason::DeadlineTooShort;
    }
    // An urgent item must not push admitted ones past their deadlines.
    rate.runTimeUs = runTime.usual();
    rate.perItemUs *= InsertMargin;
    return queue.toleratesInsert(entry.item.deadline, rate) ? Reason::None : Reason::DeadlineTooShort;
}

/// With a full queue, a team below its share of it takes the place of the item due last of the team that is most over.
bool Dispatcher::Private::makeRoom(const detail::Team &team, TimePoint now, Decisions &decisions)
{
    if (m_queue.overQueueShare(team, m_queueLimit)) {
        return false;
    }
    const detail::Team *most = m_queue.mostQueued();
    if (!most || most == &team) {
        return false;
    }
    const auto &longQueue = most->queues[index(WorkClass::Long)];
    const auto &shortQueue = most->queues[index(WorkClass::Short)];
    const auto &queue = shortQueue.size() >= longQueue.size() ? shortQueue : longQueue;
    refuse(m_entries.find(queue.last()), Reason::TeamShareExceeded, now, decisions);
    return true;
}

/// Slots that serve the class: long work has its share, short work what long work leaves.
double Dispatcher::Private::classSlots(WorkClass workClass, TimePoint now) const
{
    if (workClass == WorkClass::Long) {
        return m_slots.longLimit();
    }
    // The average bridges the moment in which an upstream sheds: the queue can wait that long.
    const double slots = std::max<double>(m_slots.slots(), m_slotMeter.average(now));
    return std::max(1.0, slots - m_queue.averageHeld(WorkClass::Long, now));
}

detail::DrainRate Dispatcher::Private::drainRate(const detail::Team &team, WorkClass workClass, TimePoint now) const
{
    return {now, m_queue.startInterval(team, workClass, classSlots(workClass, now), now), 0};
}

Dispatcher::Private::Decisions
Dispatcher::Private::finish(std::uint64_t ticket, const Completion &completion, TimePoint now)
{
    now = advance(now);
    Decisions decisions;
    const auto it = m_entries.find(ticket);
    if (it == m_entries.end() || !it->second.slot) {
        return decisions;
    }
    const Entry &entry = it->second;
    const Microseconds held = microseconds(now - entry.startedAt);
    m_slots.finish(*entry.slot, entry.workClass, completion, now);
    m_queue.finish(*entry.team, entry.workClass, entry.costUs, double(held.count()), now);
    m_startedShort.erase({entry.startedAt, ticket});
    learn(entry, completion, held, now);
    m_entries.erase(it);
    m_slots.refresh(now, false);
    startWaiting(now, decisions);
    return decisions;
}

void Dispatcher::Private::learn(const Entry &entry, const Completion &completion, Microseconds held, TimePoint now)
{
    const Microseconds runTime = completion.runTime.count() > 0 ? completion.runTime : held;
    const DispatchRequest &item = entry.item;
    if (completion.outcome == Outcome::NotRun) {
        return;
    }
    m_queue.learnSlotTime(*entry.team, entry.workClass, double(held.count()), now);
    if (completion.outcome == Outcome::Answered && completion.reason == Reason::None && !entry.cancelled) {
        m_estimator.record(item.route, item.workClass, entry.workClass, runTime, now);
    } else {
        m_estimator.recordAtLeast(item.route, item.workClass, entry.workClass, runTime, now);
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
    if (it->second.slot) {
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
    countOverruns(now);
    refuseUnusable(now, decisions);
    refuseExpired(now, decisions);
    startWaiting(now, decisions);
    refuseSurplus(now, decisions);
    m_queue.dropIdle(now);
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

std::vector<Decision> Dispatcher::submit(DispatchRequest item, TimePoint now)
{
    return m_d->submit(std::move(item), now);
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
