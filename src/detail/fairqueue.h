#pragma once

#include "detail/classestimator.h"
#include "detail/deadlinequeue.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Number of slots held, averaged over recent time.
class SlotMeter
{
public:
    void add(int slots, TimePoint now);
    void set(unsigned slots, TimePoint now)
    {
        add(int(slots) - m_held, now);
    }
    unsigned held() const
    {
        return unsigned(m_held);
    }
    double average(TimePoint now) const;

private:
    int m_held = 0;
    double m_average = 0;
    TimePoint m_at;
};

/// Mean time for which items hold their slots, over many items: the error of a long wait is that of this mean.
class SlotTimeAverage
{
public:
    void add(double us, TimePoint now);
    double mean() const
    {
        return m_average.mean();
    }
    unsigned samples() const
    {
        return m_average.samples();
    }

private:
    RunTimeAverage m_average;
    TimePoint m_at;
};

/// Tells a lasting overload from a burst. A burst may fill the queue up to the deadlines; in a lasting overload a long
/// queue only delays every request, because a short one keeps the slots as busy.
class OverloadDetector
{
public:
    /// Notes whether a new item would wait longer than the target; true if it must not wait longer.
    bool shouldEnforceTarget(bool exceedsTarget, TimePoint now);

private:
    std::optional<TimePoint> m_withinTargetAt; // last time with a wait within the target
    std::optional<TimePoint> m_enforcedAt; // last time that the target was enforced
};

/// Queues and slot use of one calling team.
struct Team {
    std::string name;
    std::uint64_t number = 0; ///< order of arrival; breaks ties
    double weight = 1;
    double virtualTime = 0; ///< slot time used, divided by the weight
    std::array<DeadlineQueue, 2> queues; ///< by class
    std::array<SlotMeter, 2> meters; ///< by class
    std::array<SlotTimeAverage, 2> slotTime; ///< by class
    std::array<OverloadDetector, 2> overload; ///< by class
    bool active = false; ///< has waiting or started items
    TimePoint lastStart;

    std::size_t queued() const
    {
        return queues[0].size() + queues[1].size();
    }
    unsigned running() const
    {
        return meters[0].held() + meters[1].held();
    }
};

/// Weighted fair queueing of slot time between teams (start-time fair queueing), earliest deadline first within a team.
class FairQueue
{
public:
    explicit FairQueue(std::map<std::string, double> shares);

    Team &team(const std::string &name);
    /// Takes over changed weights, also for teams that have work.
    void setShares(std::map<std::string, double> shares);
    void push(Team &team, WorkClass workClass, const QueueKey &key, std::uint64_t ticket);
    void erase(Team &team, WorkClass workClass, const QueueKey &key);

    /// Charges an item that starts; `costUs` is the time for which it should hold its slot.
    void start(Team &team, WorkClass workClass, double costUs, TimePoint now);
    /// Ends an item that held its slot for `heldUs`.
    void finish(Team &team, WorkClass workClass, double costUs, double heldUs, TimePoint now);
    void learnSlotTime(Team &team, WorkClass workClass, double heldUs, TimePoint now);
    void reclassify(Team &team, TimePoint now);

    /// Teams with waiting items of the class, the one that is due first in front.
    std::vector<Team *> backlogged(WorkClass workClass, std::size_t limit) const;
    /// Microseconds between the starts of two items of the team, given the slots that serve the class.
    double startInterval(const Team &team, WorkClass workClass, double slots, TimePoint now) const;
    /// Mean time that an item of the team holds its slot, in microseconds; that of the class for a new team.
    double slotTime(const Team &team, WorkClass workClass) const;
    double slotTime(WorkClass workClass) const;
    /// Slots that the class has held of late.
    double averageHeld(WorkClass workClass, TimePoint now) const;
    /// Team whose queue is largest relative to its weight; null if nothing waits.
    Team *teamWithLargestQueue();
    /// True if the team holds its weighted share, or more, of a queue of this length.
    bool overQueueShare(const Team &team, std::size_t queueLimit) const;
    /// Forgets teams that have neither work nor a recent debt of slot time.
    void dropIdleTeams(TimePoint now);

    std::size_t size() const
    {
        return m_size;
    }
    std::size_t activeTeams() const
    {
        return m_activeTeams;
    }
    std::size_t size(WorkClass workClass) const;
    const std::map<std::string, std::unique_ptr<Team>> &teams() const
    {
        return m_teams;
    }

private:
    struct ByVirtualTime {
        bool operator()(const Team *a, const Team *b) const;
    };
    using Backlog = std::set<Team *, ByVirtualTime>;

    double weightOf(const std::string &name) const;
    void charge(Team &team, double costUs);
    void updateActive(Team &team);
    double activeWeightWith(const Team &team) const;

    std::map<std::string, double> m_shares;
    std::map<std::string, std::unique_ptr<Team>> m_teams;
    std::array<Backlog, 2> m_backlog;
    std::array<SlotMeter, 2> m_meters;
    std::array<SlotTimeAverage, 2> m_slotTime;
    std::array<std::size_t, 2> m_sizes{};
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    std::size_t m_activeTeams = 0;
    TimePoint m_lastDropAt;
    std::uint64_t m_nextNumber = 0;
};

} // namespace laburnumspar::detail
