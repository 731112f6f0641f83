#pragma once

#include "laburnumspar/types.h"

#include <array>
#include <cstdint>

namespace laburnumspar {

/// Limits retries to a share of the first attempts within a sliding window, plus a small reserve.
class RetryBudget
{
public:
    static constexpr Milliseconds DefaultWindow{10'000};
    static constexpr unsigned DefaultReserve = 3;

    /// `share`: retries per first attempt; negative values count as 0. `reserve`: retries per window that are allowed
    /// without first attempts.
    explicit RetryBudget(double share, Milliseconds window = DefaultWindow, unsigned reserve = DefaultReserve);

    /// Sets the number of retries per window that are allowed without first attempts.
    void setReserve(unsigned reserve)
    {
        m_reserve = reserve;
    }
    /// Counts a first attempt.
    void recordFirstAttempt(TimePoint now);
    /// Number of retries that are allowed now.
    double remaining(TimePoint now);
    /// Spends one retry. Returns false if none remains.
    bool trySpend(TimePoint now);

private:
    struct Counts {
        std::uint64_t attempts = 0;
        std::uint64_t retries = 0;
    };

    /// Moves the window to `now` and drops the counts that leave it.
    void advance(TimePoint now);

    static constexpr std::size_t BucketCount = 20;
    double m_share;
    Clock::duration m_bucketLength;
    unsigned m_reserve;
    std::array<Counts, BucketCount> m_buckets;
    Counts m_total;
    std::int64_t m_currentBucket = 0;
    bool m_started = false;
};

} // namespace laburnumspar
