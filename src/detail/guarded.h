#pragma once

#include "laburnumspar/errors.h"

#include <mutex>
#include <utility>

namespace laburnumspar::detail {

/// Ranks of the locks. A thread acquires locks in ascending order of rank, which rules out deadlocks.
enum class LockRank : int {
    Settings = 1,
    Membership = 2,
    Service = 3,
    Claims = 5,
    Links = 6,
    Metrics = 7,
};

/// Highest rank that the calling thread holds; 0 if none.
inline thread_local int heldLockRank = 0;

/// A value that can be accessed only under its lock.
template <typename T>
class Guarded
{
public:
    template <typename... Args>
    explicit Guarded(LockRank rank, Args &&...args)
        : m_rank(static_cast<int>(rank))
        , m_value(std::forward<Args>(args)...)
    {
    }

    /// Calls `function` with the value under the lock and returns its result. Throws InvariantError if the thread holds
    /// a lock of the same or a higher rank.
    template <typename Function>
    decltype(auto) with(Function &&function)
    {
        RankScope scope(m_rank);
        std::lock_guard lock(m_mutex);
        return std::forward<Function>(function)(m_value);
    }

private:
    class RankScope
    {
    public:
        explicit RankScope(int rank)
            : m_previous(heldLockRank)
        {
            requireInvariant(rank > m_previous, "locks are acquired in ascending order of rank");
            heldLockRank = rank;
        }
        ~RankScope()
        {
            heldLockRank = m_previous;
        }
        RankScope(const RankScope &) = delete;
        RankScope &operator=(const RankScope &) = delete;

    private:
        int m_previous;
    };

    int m_rank;
    std::mutex m_mutex;
    T m_value;
};

} // namespace laburnumspar::detail
