#include "laburnumspar/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

constexpr double MinSeconds = 0.001;
/// Ratio of the widths of neighbouring buckets. The 96 buckets reach 9 s; the last one also holds all longer times.
constexpr double BucketRatio = 1.1;
/// Weight of the initial distribution, in samples, and its standard deviation on the logarithmic scale.
constexpr double InitialWeight = 4;
constexpr double InitialSigma = 0.5;
/// All weights are halved when their sum exceeds this, so that the model follows a change within a few hundred samples.
constexpr double MaxTotalWeight = 400;
/// Share of requests that is assumed to take longer than any sample.
constexpr double TailShare = 0.002;

double normalCdf(double x)
{
    return 0.5 * std::erfc(-x / std::sqrt(2.0));
}

double toSeconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LatencyModel::LatencyModel(Milliseconds expected)
{
    const double median = std::max(toSeconds(expected), MinSeconds);
    double below = 0;
    for (std::size_t n = 0; n < BucketCount; ++n) {
        const double cumulative
            = n + 1 == BucketCount ? 1.0 : normalCdf(std::log(upperBound(n) / median) / InitialSigma);
        m_weights[n] = InitialWeight * (cumulative - below);
        below = cumulative;
    }
    m_total = InitialWeight;
}

void LatencyModel::record(Clock::duration duration)
{
    m_weights[bucketIndex(toSeconds(duration))] += 1;
    m_total += 1;
    if (m_total > MaxTotalWeight) {
        for (auto &weight : m_weights) {
            weight /= 2;
        }
        m_total /= 2;
    }
}

double LatencyModel::shareLongerThan(Clock::duration duration) const
{
    const auto bucket = bucketIndex(toSeconds(duration));
    double longerWeight = 0;
    for (std::size_t n = bucket + 1; n < BucketCount; ++n) {
        longerWeight += m_weights[n];
    }
    // Half of the samples in the bucket of the duration itself count as longer.
    longerWeight += m_weights[bucket] / 2;
    return std::clamp(longerWeight / m_total + TailShare, TailShare, 1.0);
}

Clock::duration LatencyModel::quantile(double share) const
{
    const double targetWeight = share * m_total;
    double below = 0;
    std::size_t n = 0;
    while (n + 1 < BucketCount && below + m_weights[n] < targetWeight) {
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

std::size_t LatencyModel::bucketIndex(double seconds)
{
    if (seconds <= MinSeconds) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(std::log(seconds / MinSeconds) / std::log(BucketRatio));
    return std::min(n, BucketCount - 1);
}

double LatencyModel::upperBound(std::size_t bucket)
{
    return MinSeconds * std::pow(BucketRatio, static_cast<double>(bucket + 1));
}

} // namespace laburnumspar
