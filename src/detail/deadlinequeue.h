#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace laburnumspar::detail {

/// Sort key of a queue that serves the earliest deadline first.
struct QueueKey {
    TimePoint deadline;
    std::uint64_t sequence = 0; ///< order of submission among equal deadlines

    bool operator<(const QueueKey &other) const
    {
        return std::tie(deadline, sequence) < std::tie(other.deadline, other.sequence);
    }
};

/// How fast a queue is served: the n-th request starts about `n * perRequestUs` after `now` and runs for `runTimeUs`.
struct DrainRate {
    TimePoint now;
    double perRequestUs = 0;
    double runTimeUs = 0;

    /// Estimated end of the request with this number in the queue, counted from 1.
    TimePoint finishTime(double requests) const;
};

/// Queued requests of one team and class, earliest deadline first. Requests are grouped by deadline, so that the cost
/// of feasibility checks grows with the number of groups and not of requests.
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
    /// Ticket with the latest deadline. The queue must not be empty.
    std::uint64_t last() const;
    /// The first `limit` tickets.
    std::vector<std::uint64_t> head(std::size_t limit) const;
    /// Ticket with the earliest deadline. The queue must not be empty.
    std::uint64_t first() const;

    /// Number of requests that are served before a new one with this deadline.
    std::size_t countAhead(TimePoint deadline) const;
    /// True if the requests with later deadlines still finish in time after one more request ahead of them.
    bool toleratesInsert(TimePoint deadline, const DrainRate &rate) const;
    /// Tickets of the requests to remove, as few as possible, so that all others finish in time.
    std::vector<std::uint64_t> infeasible(const DrainRate &rate) const;

private:
    using Group = std::map<QueueKey, std::uint64_t>;
    std::map<std::int64_t, Group> m_groups;
    std::size_t m_size = 0;
};

} // namespace laburnumspar::detail
