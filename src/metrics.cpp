#include "laburnumspar/metrics.h"

#include "detail/guarded.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace laburnumspar {

namespace acc = boost::accumulators;

namespace {

using Quantiles = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

constexpr auto &Probabilities = DistributionSummary::Probabilities;
/// The P-square algorithm for n quantiles keeps 2n + 3 markers, and its estimates are undefined for fewer values.
constexpr std::size_t MarkerCount = 2 * Probabilities.size() + 3;

/// Quantiles of the values of one time window: estimates, or exact quantiles as long as there are few values.
class Window
{
public:
    void add(double value)
    {
        if (m_firstValues.size() < MarkerCount) {
            m_firstValues.push_back(value);
        }
        m_quantiles(value);
    }

    bool empty() const
    {
        return m_firstValues.empty();
    }

    std::array<double, Probabilities.size()> quantiles() const
    {
        std::array<double, Probabilities.size()> result{};
        if (acc::count(m_quantiles) > MarkerCount) {
            const auto estimates = acc::extended_p_square(m_quantiles);
            std::copy_n(estimates.begin(), result.size(), result.begin());
            return result;
        }
        auto sorted = m_firstValues;
        std::sort(sorted.begin(), sorted.end());
        for (std::size_t n = 0; n < result.size(); ++n) {
            const auto rank
                = static_cast<std::size_t>(std::ceil(Probabilities[n] * static_cast<double>(sorted.size())));
            result[n] = sorted[rank - 1];
        }
        return result;
    }

private:
    std::vector<double> m_firstValues;
    Quantiles m_quantiles{acc::tag::extended_p_square::probabilities = Probabilities};
};

struct DistributionState {
    std::uint64_t count = 0;
    double sum = 0;
    std::optional<TimePoint> windowStart;
    Window current;
    Window previous;

    /// Starts a new window once the current one has lasted for `window`. The old one becomes the previous one, unless
    /// it ended a whole window ago.
    void rotate(TimePoint now, Milliseconds window)
    {
        if (!windowStart) {
            windowStart = now;
        }
        const auto age = now - *windowStart;
        if (age < window) {
            return;
        }
        previous = age < 2 * window ? std::move(current) : Window();
        current = Window();
        windowStart = now;
    }
};

} // namespace

class Distribution::Private
{
public:
    explicit Private(Milliseconds windowLength)
        : window(windowLength)
        , state(detail::LockRank::Metrics)
    {
    }

    Milliseconds window;
    detail::Guarded<DistributionState> state;
};

Distribution::Distribution(Milliseconds window)
    : m_d(std::make_unique<Private>(window))
{
}

Distribution::~Distribution() = default;

void Distribution::record(double value, TimePoint now)
{
    m_d->state.with([&](DistributionState &state) {
        state.rotate(now, m_d->window);
        state.current.add(value);
        ++state.count;
        state.sum += value;
    });
}

DistributionSummary Distribution::summary(TimePoint now) const
{
    return m_d->state.with([&](DistributionState &state) {
        state.rotate(now, m_d->window);
        DistributionSummary result{state.count, state.sum, {}};
        result.quantiles.fill(std::numeric_limits<double>::quiet_NaN());
        const auto &window = state.previous.empty() ? state.current : state.previous;
        if (!window.empty()) {
            result.quantiles = window.quantiles();
        }
        return result;
    });
}

void Histogram::record(double seconds) noexcept
{
    const auto bucket = std::size_t(std::lower_bound(Bounds.begin(), Bounds.end(), seconds) - Bounds.begin());
    m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
    m_sum.fetch_add(seconds, std::memory_order_relaxed);
}

std::uint64_t Histogram::countUpTo(std::size_t bucket) const noexcept
{
    std::uint64_t total = 0;
    for (std::size_t n = 0; n <= bucket; ++n) {
        total += m_counts[n].load(std::memory_order_relaxed);
    }
    return total;
}

std::uint64_t Histogram::count() const noexcept
{
    return countUpTo(Bounds.size());
}

namespace {

enum class MetricKind : std::uint8_t {
    Counter,
    Gauge,
    Distribution,
    Histogram,
};

/// Prometheus name of the kind.
constexpr std::string_view prometheusType(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Distribution:
        return "summary";
    case MetricKind::Histogram:
        break;
    }
    return "histogram";
}

/// Metrics of one name, by their formatted labels.
template <typename T>
using MetricsByLabels = std::map<std::string, std::unique_ptr<T>>;

/// All metrics of one name.
/// All metrics of one name.
struct Family {
    MetricKind kind = MetricKind::Counter;
    MetricsByLabels<Counter> counters;
    MetricsByLabels<Gauge> gauges;
    MetricsByLabels<Distribution> distributions;
    MetricsByLabels<Histogram> histograms;
};

using Families = std::map<std::string, Family>;

bool isValidMetricName(std::string_view text)
{
    const auto valid
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'; };
    return !text.empty() && !(text.front() >= '0' && text.front() <= '9')
        && std::all_of(text.begin(), text.end(), valid);
}

std::string formatLabels(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[label, value] : labels) {
        requireInvariant(isValidMetricName(label),
                         "a label name has only letters, digits and '_', and does not begin with a digit");
        text += (text.empty() ? "" : ",") + label + "=\"";
        for (const char c : value) {
            if (c == '\n') {
                text += "\\n";
                continue;
            }
            if (c == '\\' || c == '"') {
                text += '\\';
            }
            text += c;
        }
        text += '"';
    }
    return text;
}

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
}

void appendSample(std::string &out, const std::string &name, const std::string &labels, const std::string &value)
{
    out += name;
    if (!labels.empty()) {
        out += '{' + labels + '}';
    }
    out += ' ' + value + '\n';
}

void appendSummary(std::string &out,
                   const std::string &name,
                   const std::string &labels,
                   const DistributionSummary &data)
{
    const auto prefix = labels.empty() ? labels : labels + ',';
    for (std::size_t n = 0; n < Probabilities.size(); ++n) {
        appendSample(
            out, name, prefix + "quantile=\"" + formatNumber(Probabilities[n]) + '"', formatNumber(data.quantiles[n]));
    }
    appendSample(out, name + "_sum", labels, formatNumber(data.sum));
    appendSample(out, name + "_count", labels, std::to_string(data.count));
}

void appendHistogram(std::string &out, const std::string &name, const std::string &labels, const Histogram &data)
{
    const auto prefix = labels.empty() ? labels : labels + ',';
    for (std::size_t n = 0; n < Histogram::Bounds.size(); ++n) {
        const auto bound = prefix + "le=\"" + formatNumber(Histogram::Bounds[n]) + '"';
        appendSample(out, name + "_bucket", bound, std::to_string(data.countUpTo(n)));
    }
    const auto count = std::to_string(data.count());
    appendSample(out, name + "_bucket", prefix + "le=\"+Inf\"", count);
    appendSample(out, name + "_sum", labels, formatNumber(data.sum()));
    appendSample(out, name + "_count", labels, count);
}

/// Pointers to the metrics of one family, so that their values can be read without the lock of the registry.
struct FamilyView {
    std::string name;
    MetricKind kind;
    std::vector<std::pair<std::string, const Counter *>> counters;
    std::vector<std::pair<std::string, const Gauge *>> gauges;
    std::vector<std::pair<std::string, const Distribution *>> distributions;
    std::vector<std::pair<std::string, const Histogram *>> histograms;
};

template <typename T>
std::vector<std::pair<std::string, const T *>> viewOf(const MetricsByLabels<T> &metrics)
{
    std::vector<std::pair<std::string, const T *>> view;
    for (const auto &[labels, metric] : metrics) {
        view.emplace_back(labels, metric.get());
    }
    return view;
}

} // namespace

class MetricsRegistry::Private
{
public:
    explicit Private(Milliseconds windowLength)
        : window(windowLength)
        , families(detail::LockRank::Metrics)
    {
    }

    /// Returns the metric with this name and these labels, and creates it on first use.
    template <typename T, typename... Args>
    T &findOrCreate(const std::string &name,
                    const MetricLabels &labels,
                    MetricKind kind,
                    MetricsByLabels<T> Family::*member,
                    Args... args)
    {
        requireInvariant(isValidMetricName(name),
                         "a metric name has only letters, digits and '_', and does not begin with a digit");
        const auto text = formatLabels(labels);
        return families.with([&](Families &all) -> T & {
            auto &family = all.try_emplace(name, Family{kind, {}, {}, {}, {}}).first->second;
            requireInvariant(family.kind == kind, "all metrics of one name are of one kind");
            auto &metric = (family.*member)[text];
            if (!metric) {
                metric = std::make_unique<T>(args...);
            }
            return *metric;
        });
    }

    std::vector<FamilyView> views()
    {
        return families.with([](const Families &all) {
            std::vector<FamilyView> result;
            for (const auto &[name, family] : all) {
                result.push_back(FamilyView{name,
                                            family.kind,
                                            viewOf(family.counters),
                                            viewOf(family.gauges),
                                            viewOf(family.distributions),
                                            viewOf(family.histograms)});
            }
            return result;
        });
    }

    Milliseconds window;
    detail::Guarded<Families> families;
};

MetricsRegistry::MetricsRegistry(Milliseconds window)
    : m_d(std::make_unique<Private>(window))
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const MetricLabels &labels)
{
    return m_d->findOrCreate<Counter>(name, labels, MetricKind::Counter, &Family::counters);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const MetricLabels &labels)
{
    return m_d->findOrCreate<Gauge>(name, labels, MetricKind::Gauge, &Family::gauges);
}

Distribution &MetricsRegistry::distribution(const std::string &name, const MetricLabels &labels)
{
    return m_d->findOrCreate<Distribution>(name, labels, MetricKind::Distribution, &Family::distributions, m_d->window);
}

Histogram &MetricsRegistry::histogram(const std::string &name, const MetricLabels &labels)
{
    return m_d->findOrCreate<Histogram>(name, labels, MetricKind::Histogram, &Family::histograms);
}

std::string MetricsRegistry::prometheus(TimePoint now) const
{
    std::string out;
    for (const auto &family : m_d->views()) {
        out += "# TYPE " + family.name + ' ';
        out += prometheusType(family.kind);
        out += '\n';
        for (const auto &[labels, counter] : family.counters) {
            appendSample(out, family.name, labels, std::to_string(counter->value()));
        }
        for (const auto &[labels, gauge] : family.gauges) {
            appendSample(out, family.name, labels, formatNumber(gauge->value()));
        }
        for (const auto &[labels, distribution] : family.distributions) {
            appendSummary(out, family.name, labels, distribution->summary(now));
        }
        for (const auto &[labels, histogram] : family.histograms) {
            appendHistogram(out, family.name, labels, *histogram);
        }
    }
    return out;
}

} // namespace laburnumspar
