#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace laburnumspar::detail {

/// Position in a queue that serves the earliest deadline first.
struct QueueKey {
    TimePoint deadline;
    std::uint64_t sequence = 0; ///< order of submission among equal deadlines

    bool operator<(const QueueKey &other) const
    {
        return std::tie(deadline, sequence) < std::tie(other.deadline, other.sequence);
    }
};

/// How fast a queue is served: the n-th item starts about `n * perItem` from `now` and runs for `runTime`.
struct DrainRate {
    TimePoint now;
    double perRequestUs = 0;
    double runTimeUs = 0;

    TimePoint finishTime(double requests) const;
};

/// Waiting items of one team and class, earliest deadline first. Grouped by deadline, so that tests of feasibility cost
/// steps by group and not by item.
class DeadlineQueue
{
public:
    void insert(const QueueKey &key, std::uint64_t ticket);
    void erase(const QueueKey &key);

    bool empty() const
    {
        return m_size == 0;
    }
    std::size_t size() const
    {
        return m_size;
    }
    /// The queue must not be empty.
    const QueueKey &firstKey() const;
    std::uint64_t last() const;
    /// The first `limit` tickets.
    std::vector<std::uint64_t> head(std::size_t limit) const;
    std::uint64_t first() const;

    /// Items that are served before a new one with this deadline.
    std::size_t countAhead(TimePoint deadline) const;
    /// True if the items with later deadlines are still served in time after one more item ahead of them.
    bool toleratesInsert(TimePoint deadline, const DrainRate &rate) const;
    /// Items that cannot be served in time, fewest first; the rest can.
    std::vector<std::uint64_t> infeasible(const DrainRate &rate) const;

private:
    using Group = std::map<QueueKey, std::uint64_t>;
    std::map<std::int64_t, Group> m_groups;
    std::size_t m_size = 0;
};

} // namespace laburnumspar::detail
