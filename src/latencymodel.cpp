#include "laburnumspar/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

constexpr double LeastSeconds = 0.001;
/// Each bucket is a tenth wider than the one before; 96 of them reach 9 s and the last takes the rest.
constexpr double BucketRatio = 1.1;
/// Weight of the first guess, in values.
constexpr double GuessWeight = 4;
constexpr double GuessSpread = 0.5;
/// Total weight at which all weights are halved, so that a change of the work shows within a few hundred values.
constexpr double WeightLimit = 400;
/// Share of work that is assumed to be longer than anything seen.
constexpr double TailShare = 0.002;

double normalCdf(double x)
{
    return 0.5 * std::erfc(-x / std::sqrt(2.0));
}

double secondsOf(Clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

LatencyModel::LatencyModel(Milliseconds expected)
{
    const double median = std::max(secondsOf(expected), LeastSeconds);
    double below = 0;
    for (std::size_t n = 0; n < BucketCount; ++n) {
        const double upTo = n + 1 == BucketCount ? 1.0 : normalCdf(std::log(upperBound(n) / median) / GuessSpread);
        m_weights[n] = GuessWeight * (upTo - below);
        below = upTo;
    }
    m_total = GuessWeight;
}

void LatencyModel::record(Clock::duration time)
{
    m_weights[bucketOf(secondsOf(time))] += 1;
    m_total += 1;
    if (m_total > WeightLimit) {
        for (auto &weight : m_weights) {
            weight /= 2;
        }
        m_total /= 2;
    }
}

double LatencyModel::shareLongerThan(Clock::duration time) const
{
    const auto bucket = bucketOf(secondsOf(time));
    double longer = 0;
    for (std::size_t n = bucket + 1; n < BucketCount; ++n) {
        longer += m_weights[n];
    }
    // Half of the bucket that holds the time itself.
    longer += m_weights[bucket] / 2;
    return std::clamp(longer / m_total + TailShare, TailShare, 1.0);
}

Clock::duration LatencyModel::quantile(double share) const
{
    const double wanted = share * m_total;
    double below = 0;
    std::size_t n = 0;
    while (n + 1 < BucketCount && below + m_weights[n] < wanted) {
        below += m_weights[n++];
    }
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(upperBound(n)));
}

double LatencyModel::meanSeconds() const
{
    double sum = 0;
    for (std::size_t n = 0; n < BucketCount; ++n) {
        sum += m_weights[n] * upperBound(n);
    }
    return sum / m_total;
}

std::size_t LatencyModel::bucketOf(double seconds)
{
    if (seconds <= LeastSeconds) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(std::log(seconds / LeastSeconds) / std::log(BucketRatio));
    return std::min(n, BucketCount - 1);
}

double LatencyModel::upperBound(std::size_t bucket)
{
    return LeastSeconds * std::pow(BucketRatio, static_cast<double>(bucket + 1));
}

} // namespace laburnumspar
