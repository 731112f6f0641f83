#pragma once

#include "laburnumspar/types.h"

#include <array>

namespace laburnumspar {

/// Distribution of the execution times of one kind of work, as a histogram with logarithmic buckets that forgets old
/// values. Before there are values, a log-normal guess around the expected time takes their place.
class LatencyModel
{
public:
    /// `expected`: median to assume at first.
    explicit LatencyModel(Milliseconds expected);

    void record(Clock::duration time);
    /// Share of the work that takes longer, between 0 and 1, never quite either.
    double shareLongerThan(Clock::duration time) const;
    /// Time within which this share of the work ends.
    Clock::duration quantile(double share) const;
    double meanSeconds() const;

private:
    static constexpr std::size_t BucketCount = 96;

    static std::size_t bucketOf(double seconds);
    static double upperBound(std::size_t bucket);

    std::array<double, BucketCount> m_weights{};
    double m_total = 0;
};

} // namespace laburnumspar
