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

/// Number of slots held, now and as an exponential moving average.
class SlotMeter
{
public:
    /// Changes the number of slots held by `slots`, which may be negative.
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
    TimePoint m_updatedAt;
};

/// Mean time for which requests hold their slots. It covers many requests, because the estimate of a long wait is only
/// as precise as this mean.
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
    TimePoint m_updatedAt;
};

/// Distinguishes a lasting overload from a burst. A burst may fill the queue as far as the deadlines permit. In a
/// lasting overload, a long queue only delays every request, because a short one keeps the slots equally busy.
class OverloadDetector
{
public:
    /// Records whether a new request would wait longer than the target; true if the target must be enforced.
    bool shouldEnforceTarget(bool exceedsTarget, TimePoint now);

private:
    std::optional<TimePoint> m_withinTargetAt; // last time that the wait was within the target
    std::optional<TimePoint> m_enforcedAt; // last time that the target was enforced
};

/// Queues and slot usage of one calling team.
struct Team {
    std::string name;
    std::uint64_t number = 0; ///< order of creation; breaks ties of the virtual time
    double weight = 1;
    double virtualTime = 0; ///< slot time used, divided by the weight, in microseconds
    std::array<DeadlineQueue, 2> queues; ///< by class
    std::array<SlotMeter, 2> meters; ///< slots held, by class
    std::array<SlotTimeAverage, 2> slotTime; ///< by class
    std::array<OverloadDetector, 2> overload; ///< by class
    bool active = false; ///< has queued or running requests
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

    /// Team with this name; added if it is not known.
    Team &team(const std::string &name);
    /// Replaces the weights, also those of teams that have requests.
    void setShares(std::map<std::string, double> shares);
    void push(Team &team, RequestClass requestClass, const QueueKey &key, std::uint64_t ticket);
    void erase(Team &team, RequestClass requestClass, const QueueKey &key);

    /// Charges the team for a request that starts; `costUs` is the expected time in its slot.
    void start(Team &team, RequestClass requestClass, double costUs, TimePoint now);
    /// Corrects the charge of a request that held its slot for `heldUs`.
    void finish(Team &team, RequestClass requestClass, double costUs, double heldUs, TimePoint now);
    void recordSlotTime(Team &team, RequestClass requestClass, double heldUs, TimePoint now);
    /// Counts a running short request of the team as long.
    void reclassify(Team &team, TimePoint now);

    /// Up to `limit` teams with queued requests of the class, lowest virtual time first.
    std::vector<Team *> backlogged(RequestClass requestClass, std::size_t limit) const;
    /// Expected microseconds between two starts of the team, given the number of slots that serve the class.
    double startInterval(const Team &team, RequestClass requestClass, double slots, TimePoint now) const;
    /// Mean time for which a request of the team holds its slot, in microseconds. The mean of the class is used until
    /// the team has enough samples.
    double slotTime(const Team &team, RequestClass requestClass) const;
    double slotTime(RequestClass requestClass) const;
    /// Average number of slots that the class has held recently.
    double averageHeld(RequestClass requestClass, TimePoint now) const;
    /// Team whose queue is largest relative to its weight; null if no request is queued.
    Team *teamWithLargestQueue();
    /// True if one more request would take the team beyond its weighted share of a queue of this length.
    bool overQueueShare(const Team &team, std::size_t queueLimit) const;
    /// Removes teams that have no requests and did not recently use more than their share of the slot time.
    void dropIdleTeams(TimePoint now);

    std::size_t size() const
    {
        return m_size;
    }
    std::size_t activeTeams() const
    {
        return m_activeTeams;
    }
    std::size_t size(RequestClass requestClass) const;
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
