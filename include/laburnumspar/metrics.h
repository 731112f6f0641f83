#pragma once

#include "laburnumspar/types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace laburnumspar {

using MetricLabels = std::map<std::string, std::string>;

/// A monotonically increasing count.
class Counter
{
public:
    void add(std::uint64_t n = 1) noexcept
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that can go up and down.
class Gauge
{
public:
    void set(double value) noexcept
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    void add(double difference) noexcept
    {
        m_value.fetch_add(difference, std::memory_order_relaxed);
    }
    double value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> m_value{0};
};

/// Count and sum of all values, and quantiles of the last complete time window, or of the current one if the last one
/// is empty.
struct DistributionSummary {
    static constexpr std::array<double, 4> Probabilities{0.5, 0.9, 0.99, 0.999};

    std::uint64_t count = 0;
    double sum = 0;
    std::array<double, 4> quantiles{}; ///< one for each of Probabilities; NaN if there are no recent values
};

/// Summary metric with quantiles of recent values, usually durations in seconds. Thread-safe.
class Distribution
{
public:
    /// `window`: length of the time windows over which quantiles are computed.
    explicit Distribution(Milliseconds window);
    ~Distribution();
    Distribution(const Distribution &) = delete;
    Distribution &operator=(const Distribution &) = delete;

    void record(double value, TimePoint now = Clock::now());
    DistributionSummary summary(TimePoint now = Clock::now()) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/// Counts of durations in fixed buckets, which can be summed over instances. Thread-safe.
class Histogram
{
public:
    /// Upper bounds of the buckets, in seconds. One more bucket counts the values above the last bound.
    static constexpr std::array<double, 12> Bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};

    void record(double seconds) noexcept;
    std::uint64_t count() const noexcept;
    double sum() const noexcept
    {
        return m_sum.load(std::memory_order_relaxed);
    }
    /// Number of values in the buckets from 0 to `bucket`, inclusive.
    std::uint64_t countUpTo(std::size_t bucket) const noexcept;

private:
    std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> m_counts{};
    std::atomic<double> m_sum{0};
};

/// All metrics of a process. Thread-safe. Metrics are created on first use and live as long as the registry, so callers
/// may keep references to them. A name or label with invalid characters, or a name that is already used for another
/// kind of metric, throws InvariantError.
class MetricsRegistry
{
public:
    /// `window`: length of the time windows over which quantiles are computed.
    explicit MetricsRegistry(Milliseconds window = std::chrono::seconds(10));
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    Counter &counter(const std::string &name, const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const MetricLabels &labels = {});
    Distribution &distribution(const std::string &name, const MetricLabels &labels = {});
    Histogram &histogram(const std::string &name, const MetricLabels &labels = {});

    /// Formats all metrics in the Prometheus text format, version 0.0.4.
    std::string prometheus(TimePoint now = Clock::now()) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace laburnumspar
