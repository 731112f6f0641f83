#pragma once

#include "outcomecheck.h"
#include "scenario.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Count and quantiles of a set of durations. Quantiles are in milliseconds, and 0 if the set is empty.
struct TimeQuantiles {
    std::uint64_t count = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

TimeQuantiles quantiles(std::vector<std::chrono::nanoseconds> times);

/// Number of requests by outcome.
struct OutcomeCounts {
    std::uint64_t offered = 0; ///< all requests
    std::uint64_t inTime = 0; ///< answered within the deadline
    std::uint64_t late = 0; ///< answered after the deadline
    std::array<std::uint64_t, EnumNames<CallerOutcome>::Names.size()> byOutcome{};

    void add(const RequestRecord &record);
    std::uint64_t count(CallerOutcome outcome) const
    {
        return byOutcome[static_cast<std::size_t>(outcome)];
    }
    /// Number of requests of which the caller does not know whether they were executed.
    std::uint64_t unknownOutcomes() const;
};

/// Results of the requests that were scheduled in one phase.
struct PhaseResult {
    std::string name;
    bool measured = true;
    double seconds = 0; ///< duration of the phase
    double capacity = 0; ///< requests per second that the slots can serve
    double goodputShare = 0; ///< requests answered in time, relative to the smaller of offered load and capacity
    OutcomeCounts counts;
    TimeQuantiles shortLatency; ///< answered short requests
    TimeQuantiles longLatency; ///< answered long requests
    TimeQuantiles refusalLatency; ///< requests with the outcome "not-run"
    TimeQuantiles lag; ///< delay of the load tool behind its own schedule
};

/// Results of the requests that were scheduled in one second of the run.
struct PerSecondResult {
    OutcomeCounts counts;
    TimeQuantiles shortLatency; ///< answered short requests
};

/// Results per phase, by scheduled arrival.
std::vector<PhaseResult> phaseResults(const Scenario &scenario, const std::vector<RequestRecord> &records);

/// Results per second of the run, by scheduled arrival.
std::vector<PerSecondResult> perSecondResults(const Scenario &scenario, const std::vector<RequestRecord> &records);

/// Number of requests that each upstream received, in consecutive intervals of equal length.
struct RequestSeries {
    Milliseconds bucketLength{100};
    std::vector<std::vector<std::uint32_t>> received; ///< by upstream and bucket
};

/// Time from `fault` until 99% of all requests avoid the upstream: the first moment from which it receives at most 1%
/// of the requests, both over the next second and over the rest of the time until `end`. Empty if there is no such
/// moment.
std::optional<Milliseconds>
detectionTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end);

/// Time from `fault` until the upstream receives, over one second, at most 1% of an equal share of the requests.
/// Stricter than `detectionTime`: an upstream whose slots are all blocked receives few requests even if its fault was
/// not detected. Empty if there is no such second.
std::optional<Milliseconds>
quietTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end);

/// Number of requests that the upstream received between two times of the series.
std::uint64_t requestsReceived(const RequestSeries &series, std::size_t upstream, Milliseconds begin, Milliseconds end);

/// Effect of one fault on the requests to one upstream.
struct DetectionResult {
    std::string kind;
    std::size_t upstream = 0;
    std::optional<Milliseconds> avoidedAfter; ///< see detectionTime()
    std::optional<Milliseconds> quietAfter; ///< see quietTime()
    std::uint64_t received = 0; ///< requests received during the fault
};

/// Messages about the bounds that were missed; empty if all were met.
std::vector<std::string> missedBounds(const ScenarioBounds &bounds,
                                      const std::vector<PhaseResult> &phases,
                                      const std::vector<DetectionResult> &detections);

} // namespace laburnumspar::tools
