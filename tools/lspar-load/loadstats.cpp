#include "loadstats.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <sstream>

namespace laburnumspar::tools {

namespace {

using Times = std::vector<std::chrono::nanoseconds>;

/// Share of new work that an avoided upstream may still get.
constexpr double AvoidedShare = 0.01;
/// Time over which the share is taken at first.
constexpr Milliseconds AvoidedWindow{1000};

double toMs(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Infinite if it never came to it.
double toMs(const std::optional<Milliseconds> &time)
{
    return time ? static_cast<double>(time->count()) : INFINITY;
}

/// Nearest rank.
double quantile(const Times &sorted, double share)
{
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted.empty() ? 0 : toMs(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

std::uint64_t sumOf(const std::vector<std::uint32_t> &buckets, std::size_t begin, std::size_t end)
{
    std::uint64_t sum = 0;
    for (auto n = begin; n < std::min(end, buckets.size()); ++n) {
        sum += buckets[n];
    }
    return sum;
}

/// True if the upstream gets at most this share of the work in the buckets, and there is any.
bool getsAtMost(double share, const WorkSeries &series, std::size_t upstream, std::size_t begin, std::size_t end)
{
    std::uint64_t all = 0;
    for (const auto &buckets : series.received) {
        all += sumOf(buckets, begin, end);
    }
    const auto own = sumOf(series.received[upstream], begin, end);
    return all > 0 && static_cast<double>(own) <= share * static_cast<double>(all);
}

/// Time from the fault to the first window that fits; called with its first bucket and the one after its last.
std::optional<Milliseconds> firstWindow(const WorkSeries &series,
                                        Milliseconds fault,
                                        Milliseconds end,
                                        const std::function<bool(std::size_t, std::size_t)> &fits)
{
    const auto last = static_cast<std::size_t>(end / series.bucket);
    const auto window = static_cast<std::size_t>(AvoidedWindow / series.bucket);
    for (auto n = static_cast<std::size_t>(fault / series.bucket); n + window <= last; ++n) {
        if (fits(n, n + window)) {
            const auto begin = static_cast<std::int64_t>(n) * series.bucket;
            return std::max(begin - fault, Milliseconds{0});
        }
    }
    return std::nullopt;
}

struct PhaseTimes {
    Times shortTimes;
    Times longTimes;
    Times refusals;
    Times lags;

    void add(const RequestRecord &record)
    {
        lags.push_back(record.lag);
        if (record.outcome == CallerOutcome::Answered) {
            (record.workClass == WorkClass::Short ? shortTimes : longTimes).push_back(record.latency);
        } else if (record.outcome == CallerOutcome::NotRun) {
            refusals.push_back(record.latency);
        }
    }
};

/// Collects the bounds that were missed.
class BoundCheck
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

TimeQuantiles quantiles(Times times)
{
    std::sort(times.begin(), times.end());
    return {times.size(), quantile(times, 0.5), quantile(times, 0.99), quantile(times, 0.999)};
}

void OutcomeCounts::add(const RequestRecord &record)
{
    ++offered;
    ++byOutcome[static_cast<std::size_t>(record.outcome)];
    if (record.outcome == CallerOutcome::Answered) {
        ++(record.good() ? good : late);
    }
}

std::uint64_t OutcomeCounts::unknown() const
{
    return of(CallerOutcome::MayHaveRun) + of(CallerOutcome::NoAnswer) + of(CallerOutcome::Error);
}

std::vector<PhaseResult> phaseResults(const Scenario &scenario, const std::vector<RequestRecord> &records)
{
    std::vector<PhaseResult> results(scenario.phases.size());
    std::vector<PhaseTimes> times(scenario.phases.size());
    for (const auto &record : records) {
        const auto n = phaseAt(scenario, record.scheduled);
        results[n].counts.add(record);
        times[n].add(record);
    }
    for (std::size_t n = 0; n < results.size(); ++n) {
        const auto &phase = scenario.phases[n];
        auto &result = results[n];
        result.name = phase.name;
        result.measured = phase.measured;
        result.seconds = std::chrono::duration<double>(phase.duration).count();
        result.servable = servableRate(scenario, phase);
        const double due = std::min(static_cast<double>(result.counts.offered), result.servable * result.seconds);
        result.goodputShare = due > 0 ? static_cast<double>(result.counts.good) / due : 0;
        result.shortTimes = quantiles(std::move(times[n].shortTimes));
        result.longTimes = quantiles(std::move(times[n].longTimes));
        result.refusalTimes = quantiles(std::move(times[n].refusals));
        result.lag = quantiles(std::move(times[n].lags));
    }
    return results;
}

std::vector<SecondResult> secondResults(const Scenario &scenario, const std::vector<RequestRecord> &records)
{
    const auto seconds = static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(scenario.duration()).count());
    std::vector<SecondResult> results(seconds);
    std::vector<Times> times(seconds);
    for (const auto &record : records) {
        const auto n = std::min(static_cast<std::size_t>(record.scheduled / std::chrono::seconds(1)), seconds - 1);
        results[n].counts.add(record);
        if (record.outcome == CallerOutcome::Answered && record.workClass == WorkClass::Short) {
            times[n].push_back(record.latency);
        }
    }
    for (std::size_t n = 0; n < seconds; ++n) {
        results[n].shortTimes = quantiles(std::move(times[n]));
    }
    return results;
}

std::optional<Milliseconds>
detectionTime(const WorkSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end)
{
    const auto last = static_cast<std::size_t>(end / series.bucket);
    return firstWindow(series, fault, end, [&](std::size_t begin, std::size_t after) {
        return getsAtMost(AvoidedShare, series, upstream, begin, after)
            && getsAtMost(AvoidedShare, series, upstream, begin, last);
    });
}

std::optional<Milliseconds>
quietTime(const WorkSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end)
{
    const double share = AvoidedShare / static_cast<double>(series.received.size());
    return firstWindow(series, fault, end, [&](std::size_t begin, std::size_t after) {
        return getsAtMost(share, series, upstream, begin, after);
    });
}

std::uint64_t workReceived(const WorkSeries &series, std::size_t upstream, Milliseconds begin, Milliseconds end)
{
    return sumOf(series.received[upstream],
                 static_cast<std::size_t>(begin / series.bucket),
                 static_cast<std::size_t>(end / series.bucket));
}

std::vector<std::string> missedBounds(const ScenarioBounds &bounds,
                                      const std::vector<PhaseResult> &phases,
                                      const std::vector<DetectionResult> &detections)
{
    BoundCheck check;
    const PhaseResult *first = nullptr;
    const PhaseResult *last = nullptr;
    for (const auto &phase : phases) {
        if (!phase.measured) {
            continue;
        }
        first = first ? first : &phase;
        last = &phase;
        check.atLeast(phase.name + ": goodput share", phase.goodputShare, bounds.goodputShareMin);
        check.atMost(phase.name + ": p99 of short requests (ms)", phase.shortTimes.p99, bounds.shortP99MsMax);
        check.atMost(phase.name + ": p99 of refusals (ms)", phase.refusalTimes.p99, bounds.refusalP99MsMax);
        const double unknown = static_cast<double>(phase.counts.unknown());
        const double offered = std::max(1.0, static_cast<double>(phase.counts.offered));
        check.atMost(phase.name + ": share of unknown outcomes", unknown / offered, bounds.mayHaveRunShareMax);
    }
    if (first && first != last) {
        const double ratio = last->shortTimes.p99 / std::max(first->shortTimes.p99, 0.001);
        check.atMost("p99 of short requests, last to first phase,", ratio, bounds.shortP99RatioMax);
    }
    for (const auto &detection : detections) {
        check.atMost("avoidance of " + detection.kind + " (ms)", toMs(detection.avoided), bounds.detectionMsMax);
        check.atMost("quiet after " + detection.kind + " (ms)", toMs(detection.quiet), bounds.quietMsMax);
    }
    return check.missed;
}

} // namespace laburnumspar::tools
