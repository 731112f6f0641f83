#include "detail/deadlinequeue.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

// Short compared with typical deadlines, but long enough that deadlines of up to one second need only about a hundred
// groups.
constexpr Milliseconds GroupWidth{8};
// One hour. Longer estimates are treated as this one, because larger values would overflow the clock.
constexpr double MaxEstimateUs = 3.6e9;

std::int64_t groupOf(TimePoint deadline)
{
    return deadline.time_since_epoch() / GroupWidth;
}

TimePoint groupBegin(std::int64_t group)
{
    return TimePoint(group * GroupWidth);
}

} // namespace

TimePoint DrainRate::finishTime(double requests) const
{
    const double us = std::clamp(requests * perRequestUs + runTimeUs, 0.0, MaxEstimateUs);
    return now + Microseconds(std::llround(us));
}

void DeadlineQueue::insert(const QueueKey &key, std::uint64_t ticket)
{
    m_groups[groupOf(key.deadline)].emplace(key, ticket);
    ++m_size;
}

void DeadlineQueue::erase(const QueueKey &key)
{
    const auto group = m_groups.find(groupOf(key.deadline));
    if (group == m_groups.end() || group->second.erase(key) == 0) {
        return;
    }
    --m_size;
    if (group->second.empty()) {
        m_groups.erase(group);
    }
}

std::uint64_t DeadlineQueue::first() const
{
    return m_groups.begin()->second.begin()->second;
}

std::uint64_t DeadlineQueue::last() const
{
    return m_groups.rbegin()->second.rbegin()->second;
}

std::vector<std::uint64_t> DeadlineQueue::head(std::size_t limit) const
{
    std::vector<std::uint64_t> tickets;
    for (const auto &[number, group] : m_groups) {
        for (const auto &[key, ticket] : group) {
            if (tickets.size() == limit) {
                return tickets;
            }
            tickets.push_back(ticket);
        }
    }
    return tickets;
}

std::size_t DeadlineQueue::countAhead(TimePoint deadline) const
{
    // Counted from the back, because most new requests belong there.
    std::size_t ahead = m_size;
    for (auto it = m_groups.rbegin(); it != m_groups.rend() && it->first > groupOf(deadline); ++it) {
        ahead -= it->second.size();
    }
    return ahead;
}

bool DeadlineQueue::toleratesInsert(TimePoint deadline, const DrainRate &rate) const
{
    std::size_t served = m_size;
    for (auto it = m_groups.rbegin(); it != m_groups.rend() && it->first > groupOf(deadline); ++it) {
        if (rate.finishTime(double(served + 1)) > groupBegin(it->first)) {
            return false;
        }
        served -= it->second.size();
    }
    return true;
}

std::vector<std::uint64_t> DeadlineQueue::infeasible(const DrainRate &rate) const
{
    std::vector<std::uint64_t> tickets;
    std::size_t served = 0;
    for (const auto &[number, group] : m_groups) {
        const TimePoint due = groupBegin(number + 1);
        std::size_t kept = group.size();
        while (kept > 0 && rate.finishTime(double(served + kept)) > due) {
            --kept;
        }
        served += kept;
        auto it = group.rbegin();
        for (std::size_t n = group.size(); n > kept; --n, ++it) {
            tickets.push_back(it->second);
        }
    }
    return tickets;
}

} // namespace laburnumspar::detail
