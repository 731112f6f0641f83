#pragma once

#include "laburnumspar/types.h"

#include <array>

namespace laburnumspar {

/// Histogram of the execution times of one kind of request. It has logarithmic buckets and halves the weight of old
/// samples from time to time. It starts with a log-normal distribution around the expected time.
class LatencyModel
{
public:
    /// `expected`: median of the initial distribution.
    explicit LatencyModel(Milliseconds expected);

    /// Adds a sample.
    void record(Clock::duration duration);
    /// Share of requests that take longer than `duration`. Always greater than 0, so that its logarithm is finite, and
    /// at most 1.
    double shareLongerThan(Clock::duration duration) const;
    /// Execution time that a share of the requests, between 0 and 1, does not exceed.
    Clock::duration quantile(double share) const;
    /// Mean execution time.
    double meanSeconds() const;

private:
    static constexpr std::size_t BucketCount = 96;

    static std::size_t bucketIndex(double seconds);
    static double upperBound(std::size_t bucket);

    std::array<double, BucketCount> m_weights{};
    double m_total = 0;
};

} // namespace laburnumspar
