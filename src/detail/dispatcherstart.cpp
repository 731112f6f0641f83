#include "detail/dispatcherprivate.h"

#include <algorithm>
#include <limits>

namespace laburnumspar {

namespace {

// Only retries exclude upstreams, so an item that fits a free slot is almost always among the first ones.
constexpr std::size_t ItemsTried = 8;
constexpr std::size_t TeamsTried = 16;
constexpr std::size_t All = std::numeric_limits<std::size_t>::max();
constexpr WorkClass Classes[] = {WorkClass::Long, WorkClass::Short};

std::size_t index(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

} // namespace

void Dispatcher::Private::startWaiting(TimePoint now, Decisions &decisions)
{
    while (m_queue.size() > 0 && decideNext(now, decisions)) {
    }
}

/// Starts, refuses or reclassifies one waiting item; false if there is nothing to do.
bool Dispatcher::Private::decideNext(TimePoint now, Decisions &decisions)
{
    struct Turn {
        detail::Team *team;
        WorkClass workClass;
    };
    std::vector<Turn> turns;
    for (const WorkClass workClass : Classes) {
        if (m_queue.size(workClass) > 0 && m_slots.hasFree(workClass)) {
            for (detail::Team *team : m_queue.backlogged(workClass, TeamsTried)) {
                turns.push_back({team, workClass});
            }
        }
    }
    // Long work of a team comes before its short work: it is limited to its share of the slots, short work is not.
    std::stable_sort(turns.begin(), turns.end(), [](const Turn &a, const Turn &b) {
        return std::pair(a.team->virtualTime, a.team->number) < std::pair(b.team->virtualTime, b.team->number);
    });
    return std::any_of(turns.begin(), turns.end(), [&](const Turn &turn) {
        return decideFor(*turn.team, turn.workClass, now, decisions);
    });
}

bool Dispatcher::Private::decideFor(detail::Team &team, WorkClass workClass, TimePoint now, Decisions &decisions)
{
    for (const std::uint64_t ticket : team.queues[index(workClass)].head(ItemsTried)) {
        const auto it = m_entries.find(ticket);
        requireInvariant(it != m_entries.end() && !it->second.slot, "a queued item waits");
        if (followClass(it->second)) {
            return true;
        }
        const Reason reason = hopeless(it->second, now);
        if (reason != Reason::None) {
            refuse(it, reason, now, decisions);
            return true;
        }
        detail::Slot *slot = m_slots.choose(workClass, it->second.item.exclude, it->second.item.idempotent);
        if (slot) {
            start(it->second, *slot, now, decisions);
            return true;
        }
        if (!m_slots.usable(it->second.item.exclude)) {
            refuse(it, Reason::NoUpstream, now, decisions);
            return true;
        }
    }
    return false;
}

/// Moves a waiting item to the queue of the class that its route has been learned as since; true if it moved.
bool Dispatcher::Private::followClass(Entry &entry)
{
    const WorkClass learned = m_estimator.classify(entry.item.route, entry.item.workClass);
    if (learned == entry.workClass) {
        return false;
    }
    m_queue.erase(*entry.team, entry.workClass, entry.key);
    entry.workClass = learned;
    m_queue.push(*entry.team, entry.workClass, entry.key, entry.item.ticket);
    return true;
}

/// Why the item must not start any more; None if it may.
Reason Dispatcher::Private::hopeless(const Entry &entry, TimePoint now) const
{
    if (entry.item.deadline <= now) {
        return Reason::DeadlinePassed;
    }
    const double usualUs = m_estimator.runTime(entry.item.route, entry.workClass).usual();
    const bool tooLong = detail::DrainRate{now, 0, usualUs}.end(0) > entry.item.deadline;
    return tooLong && !entry.trial ? Reason::DeadlineTooShort : Reason::None;
}

void Dispatcher::Private::start(Entry &entry, detail::Slot &slot, TimePoint now, Decisions &decisions)
{
    requireInvariant(entry.item.deadline > now, "work starts before its deadline");
    m_queue.erase(*entry.team, entry.workClass, entry.key);
    m_slots.start(slot, entry.workClass);
    entry.slot = &slot;
    entry.startedAt = now;
    entry.costUs = std::max(1.0, m_estimator.runTime(entry.item.route, entry.workClass).mean());
    m_queue.start(*entry.team, entry.workClass, entry.costUs, now);
    if (entry.workClass == WorkClass::Short) {
        m_startedShort.emplace(now, entry.item.ticket);
    }
    note(entry, {Decision::Kind::Start, entry.item.ticket, slot.id, Reason::None, entry.workClass}, now, decisions);
}

void Dispatcher::Private::refuse(Entries::iterator it, Reason reason, TimePoint now, Decisions &decisions)
{
    requireInvariant(!it->second.slot, "started work is not refused");
    const Entry &entry = it->second;
    m_queue.erase(*entry.team, entry.workClass, entry.key);
    note(entry, {Decision::Kind::Refuse, entry.item.ticket, {}, reason, entry.workClass}, now, decisions);
    m_entries.erase(it);
}

void Dispatcher::Private::note(const Entry &entry, const Decision &decision, TimePoint now, Decisions &decisions)
{
    decisions.push_back(decision);
    m_recent.push_back({now,
                        decision,
                        entry.item.team,
                        entry.item.route,
                        entry.workClass,
                        std::chrono::duration_cast<Microseconds>(now - entry.submittedAt)});
}

/// Short work that ran far beyond the usual time is long work that was not declared.
void Dispatcher::Private::countOverruns(TimePoint now)
{
    const Microseconds usual = m_estimator.usual(WorkClass::Short);
    if (usual.count() == 0) {
        return;
    }
    const auto limit = std::chrono::duration_cast<Clock::duration>(usual * detail::ClassEstimator::OverrunFactor);
    while (!m_startedShort.empty() && now - m_startedShort.begin()->first > limit) {
        Entry &entry = m_entries.at(m_startedShort.begin()->second);
        m_startedShort.erase(m_startedShort.begin());
        entry.workClass = WorkClass::Long;
        m_slots.reclassify(*entry.slot);
        m_queue.reclassify(*entry.team, now);
        const auto soFar = std::chrono::duration_cast<Microseconds>(now - entry.startedAt);
        m_estimator.noteOverrun(entry.item.route, entry.slot->id, m_slots.all().size() == 1, soFar, now);
    }
}

void Dispatcher::Private::refuseUnusable(TimePoint now, Decisions &decisions)
{
    if (m_slots.usable({})) {
        return;
    }
    for (const WorkClass workClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(workClass, All)) {
            for (const std::uint64_t ticket : team->queues[index(workClass)].head(All)) {
                refuse(m_entries.find(ticket), Reason::NoUpstream, now, decisions);
            }
        }
    }
}

void Dispatcher::Private::refuseExpired(TimePoint now, Decisions &decisions)
{
    for (const WorkClass workClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(workClass, All)) {
            const auto &queue = team->queues[index(workClass)];
            while (!queue.empty()) {
                const auto it = m_entries.find(queue.first());
                const Reason reason = hopeless(it->second, now);
                if (reason == Reason::None) {
                    break;
                }
                refuse(it, reason, now, decisions);
            }
        }
    }
}

/// If service has become slower, tells callers early instead of letting every item wait until it is about to expire.
void Dispatcher::Private::refuseSurplus(TimePoint now, Decisions &decisions)
{
    for (const WorkClass workClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(workClass, All)) {
            detail::DrainRate rate = drainRate(*team, workClass, now);
            rate.runTimeUs = m_queue.slotTime(*team, workClass);
            for (const std::uint64_t ticket : team->queues[index(workClass)].surplus(rate)) {
                refuse(m_entries.find(ticket), Reason::DeadlineTooShort, now, decisions);
            }
        }
    }
}

} // namespace laburnumspar
