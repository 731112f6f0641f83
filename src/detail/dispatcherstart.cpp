#include "detail/dispatcherprivate.h"

#include <algorithm>
#include <limits>

namespace laburnumspar {

namespace {

// Limits of the search for a request to start. Only retries exclude upstreams, so a request that fits a free slot is
// almost always among the first ones.
constexpr std::size_t MaxRequestsTried = 8;
constexpr std::size_t MaxTeamsTried = 16;
constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();
constexpr RequestClass Classes[] = {RequestClass::Long, RequestClass::Short};

std::size_t index(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

void Dispatcher::Private::startQueued(TimePoint now, Decisions &decisions)
{
    while (m_queue.size() > 0 && decideNext(now, decisions)) {
    }
}

/// Starts, refuses or reclassifies one queued request; false if there is none to process.
bool Dispatcher::Private::decideNext(TimePoint now, Decisions &decisions)
{
    struct Candidate {
        detail::Team *team;
        RequestClass requestClass;
    };
    std::vector<Candidate> candidates;
    for (const RequestClass requestClass : Classes) {
        if (m_queue.size(requestClass) > 0 && m_slots.hasFreeSlot(requestClass)) {
            for (detail::Team *team : m_queue.backlogged(requestClass, MaxTeamsTried)) {
                candidates.push_back({team, requestClass});
            }
        }
    }
    // The stable sort keeps the long requests of a team before its short ones, because only long requests are limited
    // to a share of the slots.
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::pair(a.team->virtualTime, a.team->number) < std::pair(b.team->virtualTime, b.team->number);
    });
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return decideFor(*candidate.team, candidate.requestClass, now, decisions);
    });
}

bool Dispatcher::Private::decideFor(detail::Team &team, RequestClass requestClass, TimePoint now, Decisions &decisions)
{
    for (const std::uint64_t ticket : team.queues[index(requestClass)].head(MaxRequestsTried)) {
        const auto it = m_entries.find(ticket);
        requireInvariant(it != m_entries.end() && !it->second.upstream, "a queued request exists and has not started");
        if (updateClass(it->second)) {
            return true;
        }
        const Reason reason = refusalReason(it->second, now);
        if (reason != Reason::None) {
            refuse(it, reason, now, decisions);
            return true;
        }
        detail::UpstreamSlots *upstream
            = m_slots.choose(requestClass, it->second.request.exclude, it->second.request.idempotent);
        if (upstream) {
            start(it->second, *upstream, now, decisions);
            return true;
        }
        if (!m_slots.hasUsableUpstream(it->second.request.exclude)) {
            refuse(it, Reason::NoUpstream, now, decisions);
            return true;
        }
    }
    return false;
}

/// Moves a queued request to the queue of its class if the learned class of its route has changed; true if it moved.
bool Dispatcher::Private::updateClass(Entry &entry)
{
    const RequestClass learned = m_estimator.classify(entry.request.route, entry.request.requestClass);
    if (learned == entry.requestClass) {
        return false;
    }
    m_queue.erase(*entry.team, entry.requestClass, entry.key);
    entry.requestClass = learned;
    m_queue.push(*entry.team, entry.requestClass, entry.key, entry.request.ticket);
    return true;
}

/// Why the request must not start any more; None if it may.
Reason Dispatcher::Private::refusalReason(const Entry &entry, TimePoint now) const
{
    if (entry.request.deadline <= now) {
        return Reason::DeadlinePassed;
    }
    const double typicalUs = m_estimator.runTime(entry.request.route, entry.requestClass).typical();
    const bool tooLong = detail::DrainRate{now, 0, typicalUs}.finishTime(0) > entry.request.deadline;
    return tooLong && !entry.trial ? Reason::DeadlineTooShort : Reason::None;
}

void Dispatcher::Private::start(Entry &entry, detail::UpstreamSlots &upstream, TimePoint now, Decisions &decisions)
{
    requireInvariant(entry.request.deadline > now, "a request starts before its deadline");
    m_queue.erase(*entry.team, entry.requestClass, entry.key);
    m_slots.start(upstream, entry.requestClass);
    entry.upstream = &upstream;
    entry.startedAt = now;
    entry.costUs = std::max(1.0, m_estimator.runTime(entry.request.route, entry.requestClass).mean());
    m_queue.start(*entry.team, entry.requestClass, entry.costUs, now);
    if (entry.requestClass == RequestClass::Short) {
        m_startedShort.emplace(now, entry.request.ticket);
    }
    recordDecision(entry,
                   {Decision::Kind::Start, entry.request.ticket, upstream.id, Reason::None, entry.requestClass},
                   now,
                   decisions);
}

void Dispatcher::Private::refuse(Entries::iterator it, Reason reason, TimePoint now, Decisions &decisions)
{
    requireInvariant(!it->second.upstream, "a started request is not refused");
    const Entry &entry = it->second;
    m_queue.erase(*entry.team, entry.requestClass, entry.key);
    recordDecision(
        entry, {Decision::Kind::Refuse, entry.request.ticket, {}, reason, entry.requestClass}, now, decisions);
    m_entries.erase(it);
}

void Dispatcher::Private::recordDecision(const Entry &entry,
                                         const Decision &decision,
                                         TimePoint now,
                                         Decisions &decisions)
{
    decisions.push_back(decision);
    m_recentDecisions.push_back({now,
                                 decision,
                                 entry.request.team,
                                 entry.request.route,
                                 entry.requestClass,
                                 std::chrono::duration_cast<Microseconds>(now - entry.submittedAt)});
}

/// Reclassifies short requests as long that run for OverrunFactor times the typical time: long requests that were not
/// declared as such.
void Dispatcher::Private::reclassifyOverruns(TimePoint now)
{
    const Microseconds typical = m_estimator.typicalRunTime(RequestClass::Short);
    if (typical.count() == 0) {
        return;
    }
    const auto limit = std::chrono::duration_cast<Clock::duration>(typical * detail::ClassEstimator::OverrunFactor);
    while (!m_startedShort.empty() && now - m_startedShort.begin()->first > limit) {
        Entry &entry = m_entries.at(m_startedShort.begin()->second);
        m_startedShort.erase(m_startedShort.begin());
        entry.requestClass = RequestClass::Long;
        m_slots.reclassify(*entry.upstream);
        m_queue.reclassify(*entry.team, now);
        const auto elapsed = std::chrono::duration_cast<Microseconds>(now - entry.startedAt);
        m_estimator.recordOverrun(
            entry.request.route, entry.upstream->id, m_slots.upstreams().size() == 1, elapsed, now);
    }
}

void Dispatcher::Private::refuseWithoutUpstream(TimePoint now, Decisions &decisions)
{
    if (m_slots.hasUsableUpstream({})) {
        return;
    }
    for (const RequestClass requestClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(requestClass, NoLimit)) {
            for (const std::uint64_t ticket : team->queues[index(requestClass)].head(NoLimit)) {
                refuse(m_entries.find(ticket), Reason::NoUpstream, now, decisions);
            }
        }
    }
}

void Dispatcher::Private::refuseExpired(TimePoint now, Decisions &decisions)
{
    for (const RequestClass requestClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(requestClass, NoLimit)) {
            const auto &queue = team->queues[index(requestClass)];
            while (!queue.empty()) {
                const auto it = m_entries.find(queue.first());
                const Reason reason = refusalReason(it->second, now);
                if (reason == Reason::None) {
                    break;
                }
                refuse(it, reason, now, decisions);
            }
        }
    }
}

/// Refuses queued requests that can no longer finish in time because execution has become slower. The callers learn
/// this early, not only when each request is about to expire.
void Dispatcher::Private::refuseInfeasible(TimePoint now, Decisions &decisions)
{
    for (const RequestClass requestClass : Classes) {
        for (detail::Team *team : m_queue.backlogged(requestClass, NoLimit)) {
            detail::DrainRate rate = drainRate(*team, requestClass, now);
            rate.runTimeUs = m_queue.slotTime(*team, requestClass);
            for (const std::uint64_t ticket : team->queues[index(requestClass)].infeasible(rate)) {
                refuse(m_entries.find(ticket), Reason::DeadlineTooShort, now, decisions);
            }
        }
    }
}

} // namespace laburnumspar
