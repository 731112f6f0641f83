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

/// A count that only rises.
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

/// A value that rises and falls.
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

/// Total count and sum, and quantiles of the last whole window.
struct DistributionSummary {
    static constexpr std::array<double, 4> Probabilities{0.5, 0.9, 0.99, 0.999};

    std::uint64_t count = 0;
    double sum = 0;
    std::array<double, 4> quantiles{}; ///< NaN where there are no recent values
};

/// Distribution of a measured value, usually a time in seconds.
class Distribution
{
public:
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

/// Counts of values in fixed ranges, which can be added up over instances.
class Histogram
{
public:
    /// Upper bounds of the ranges, in seconds; a last range takes the rest.
    static constexpr std::array<double, 12> Bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};

    void record(double seconds) noexcept;
    std::uint64_t count() const noexcept;
    double sum() const noexcept
    {
        return m_sum.load(std::memory_order_relaxed);
    }
    /// Values up to this bound.
    std::uint64_t countUpTo(std::size_t bound) const noexcept;

private:
    std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> m_counts{};
    std::atomic<double> m_sum{0};
};

/// All metrics of a process. A metric lives as long as the registry, so callers keep the reference.
/// A name with invalid characters, or one already used for another kind, throws InvariantError.
class MetricsRegistry
{
public:
    /// `window`: time after which the quantiles of distributions start anew.
    explicit MetricsRegistry(Milliseconds window = std::chrono::seconds(10));
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    Counter &counter(const std::string &name, const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const MetricLabels &labels = {});
    Distribution &distribution(const std::string &name, const MetricLabels &labels = {});
    Histogram &histogram(const std::string &name, const MetricLabels &labels = {});

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string prometheus(TimePoint now = Clock::now()) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace laburnumspar
