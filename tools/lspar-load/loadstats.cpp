#include "loadstats.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <sstream>

namespace laburnumspar::tools {

namespace {

using Durations = std::vector<std::chrono::nanoseconds>;

/// Share of all requests that an avoided upstream may still receive.
constexpr double MaxAvoidedShare = 0.01;
/// Length of the window over which the share is measured.
constexpr Milliseconds AvoidedWindow{1000};

double toMs(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Infinity if the event did not occur.
double toMs(const std::optional<Milliseconds> &time)
{
    return time ? static_cast<double>(time->count()) : INFINITY;
}

/// Quantile by nearest rank, in milliseconds.
double quantile(const Durations &sorted, double share)
{
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted.empty() ? 0 : toMs(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

std::uint64_t sumBuckets(const std::vector<std::uint32_t> &buckets, std::size_t begin, std::size_t end)
{
    std::uint64_t sum = 0;
    for (auto n = begin; n < std::min(end, buckets.size()); ++n) {
        sum += buckets[n];
    }
    return sum;
}

/// Returns true if the upstream receives at most `share` of all requests in the buckets, and there are any requests.
bool receivesAtMost(double share, const RequestSeries &series, std::size_t upstream, std::size_t begin, std::size_t end)
{
    std::uint64_t all = 0;
    for (const auto &buckets : series.received) {
        all += sumBuckets(buckets, begin, end);
    }
    const auto own = sumBuckets(series.received[upstream], begin, end);
    return all > 0 && static_cast<double>(own) <= share * static_cast<double>(all);
}

/// Time from the fault to the first window for which `matches` returns true. `matches` gets the first bucket of the
/// window and the one after its last.
std::optional<Milliseconds> findFirstWindow(const RequestSeries &series,
                                            Milliseconds fault,
                                            Milliseconds end,
                                            const std::function<bool(std::size_t, std::size_t)> &matches)
{
    const auto last = static_cast<std::size_t>(end / series.bucketLength);
    const auto window = static_cast<std::size_t>(AvoidedWindow / series.bucketLength);
    for (auto n = static_cast<std::size_t>(fault / series.bucketLength); n + window <= last; ++n) {
        if (matches(n, n + window)) {
            const auto begin = static_cast<std::int64_t>(n) * series.bucketLength;
            return std::max(begin - fault, Milliseconds{0});
        }
    }
    return std::nullopt;
}

/// Durations of the requests of one phase.
struct PhaseDurations {
    Durations shortLatency;
    Durations longLatency;
    Durations refusalLatency;
    Durations lags;

    void add(const RequestRecord &record)
    {
        lags.push_back(record.lag);
        if (record.outcome == CallerOutcome::Answered) {
            (record.requestClass == RequestClass::Short ? shortLatency : longLatency).push_back(record.latency);
        } else if (record.outcome == CallerOutcome::NotRun) {
            refusalLatency.push_back(record.latency);
        }
    }
};

/// Compares values with optional bounds and collects a message for each bound that is missed.
class BoundChecker
{
public:
    void atMost(const std::string &what, double value, const std::optional<double> &bound)
    {
        if (bound && !(value <= *bound)) {
            add(what, value, " is above ", *bound);
        }
    }
    void atLeast(const std::string &what, double value, const std::optional<double> &bound)
    {
        if (bound && !(value >= *bound)) {
            add(what, value, " is below ", *bound);
        }
    }
    std::vector<std::string> missed;

private:
    void add(const std::string &what, double value, const char *relation, double bound)
    {
        std::ostringstream out;
        out << what << ' ' << value << relation << bound;
        missed.push_back(out.str());
    }
};

} // namespace

TimeQuantiles quantiles(Durations times)
{
    std::sort(times.begin(), times.end());
    return {times.size(), quantile(times, 0.5), quantile(times, 0.99), quantile(times, 0.999)};
}

void OutcomeCounts::add(const RequestRecord &record)
{
    ++offered;
    ++byOutcome[static_cast<std::size_t>(record.outcome)];
    if (record.outcome == CallerOutcome::Answered) {
        ++(record.answeredInTime() ? inTime : late);
    }
}

std::uint64_t OutcomeCounts::unknownOutcomes() const
{
    return count(CallerOutcome::MayHaveRun) + count(CallerOutcome::NoAnswer) + count(CallerOutcome::Error);
}

std::vector<PhaseResult> phaseResults(const Scenario &scenario, const std::vector<RequestRecord> &records)
{
    std::vector<PhaseResult> results(scenario.phases.size());
    std::vector<PhaseDurations> times(scenario.phases.size());
    for (const auto &record : records) {
        const auto n = phaseIndexAt(scenario, record.scheduled);
        results[n].counts.add(record);
        times[n].add(record);
    }
    for (std::size_t n = 0; n < results.size(); ++n) {
        const auto &phase = scenario.phases[n];
        auto &result = results[n];
        result.name = phase.name;
        result.measured = phase.measured;
        result.seconds = std::chrono::duration<double>(phase.duration).count();
        result.capacity = poolCapacity(scenario, phase);
        const double attainable
            = std::min(static_cast<double>(result.counts.offered), result.capacity * result.seconds);
        result.goodputShare = attainable > 0 ? static_cast<double>(result.counts.inTime) / attainable : 0;
        result.shortLatency = quantiles(std::move(times[n].shortLatency));
        result.longLatency = quantiles(std::move(times[n].longLatency));
        result.refusalLatency = quantiles(std::move(times[n].refusalLatency));
        result.lag = quantiles(std::move(times[n].lags));
    }
    return results;
}

std::vector<PerSecondResult> perSecondResults(const Scenario &scenario, const std::vector<RequestRecord> &records)
{
    const auto seconds = static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(scenario.duration()).count());
    std::vector<PerSecondResult> results(seconds);
    std::vector<Durations> times(seconds);
    for (const auto &record : records) {
        const auto n = std::min(static_cast<std::size_t>(record.scheduled / std::chrono::seconds(1)), seconds - 1);
        results[n].counts.add(record);
        if (record.outcome == CallerOutcome::Answered && record.requestClass == RequestClass::Short) {
            times[n].push_back(record.latency);
        }
    }
    for (std::size_t n = 0; n < seconds; ++n) {
        results[n].shortLatency = quantiles(std::move(times[n]));
    }
    return results;
}

std::optional<Milliseconds>
detectionTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end)
{
    const auto last = static_cast<std::size_t>(end / series.bucketLength);
    return findFirstWindow(series, fault, end, [&](std::size_t begin, std::size_t after) {
        return receivesAtMost(MaxAvoidedShare, series, upstream, begin, after)
            && receivesAtMost(MaxAvoidedShare, series, upstream, begin, last);
    });
}

std::optional<Milliseconds>
quietTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end)
{
    const double share = MaxAvoidedShare / static_cast<double>(series.received.size());
    return findFirstWindow(series, fault, end, [&](std::size_t begin, std::size_t after) {
        return receivesAtMost(share, series, upstream, begin, after);
    });
}

std::uint64_t requestsReceived(const RequestSeries &series, std::size_t upstream, Milliseconds begin, Milliseconds end)
{
    return sumBuckets(series.received[upstream],
                      static_cast<std::size_t>(begin / series.bucketLength),
                      static_cast<std::size_t>(end / series.bucketLength));
}

std::vector<std::string> missedBounds(const ScenarioBounds &bounds,
                                      const std::vector<PhaseResult> &phases,
                                      const std::vector<DetectionResult> &detections)
{
    BoundChecker check;
    const PhaseResult *first = nullptr;
    const PhaseResult *last = nullptr;
    for (const auto &phase : phases) {
        if (!phase.measured) {
            continue;
        }
        first = first ? first : &phase;
        last = &phase;
        check.atLeast(phase.name + ": goodput share", phase.goodputShare, bounds.goodputShareMin);
        check.atMost(phase.name + ": p99 of short requests (ms)", phase.shortLatency.p99, bounds.shortP99MsMax);
        check.atMost(phase.name + ": p99 of refusals (ms)", phase.refusalLatency.p99, bounds.refusalP99MsMax);
        const double unknown = static_cast<double>(phase.counts.unknownOutcomes());
        const double offered = std::max(1.0, static_cast<double>(phase.counts.offered));
        check.atMost(phase.name + ": share of unknown outcomes", unknown / offered, bounds.mayHaveRunShareMax);
    }
    if (first && first != last) {
        const double ratio = last->shortLatency.p99 / std::max(first->shortLatency.p99, 0.001);
        check.atMost(
            "p99 of short requests, ratio of the last to the first measured phase:", ratio, bounds.shortP99RatioMax);
    }
    for (const auto &detection : detections) {
        check.atMost(
            "detection time of fault " + detection.kind + " (ms)", toMs(detection.avoidedAfter), bounds.detectionMsMax);
        check.atMost(
            "quiet time after fault " + detection.kind + " (ms)", toMs(detection.quietAfter), bounds.quietMsMax);
    }
    return check.missed;
}

} // namespace laburnumspar::tools
