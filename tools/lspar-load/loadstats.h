#pragma once

#include "outcomecheck.h"
#include "scenario.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Quantiles of a set of times, in milliseconds; 0 without any.
struct TimeQuantiles {
    std::uint64_t count = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

TimeQuantiles quantiles(std::vector<std::chrono::nanoseconds> times);

/// Counts of requests by what became of them.
struct OutcomeCounts {
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0; ///< answered within the deadline
    std::uint64_t late = 0; ///< answered after it
    std::array<std::uint64_t, EnumNames<CallerOutcome>::Names.size()> byOutcome{};

    void add(const RequestRecord &record);
    std::uint64_t count(CallerOutcome outcome) const
    {
        return byOutcome[static_cast<std::size_t>(outcome)];
    }
    /// Requests whose fate the caller does not know.
    std::uint64_t unknownOutcomes() const;
};

struct PhaseResult {
    std::string name;
    bool measured = true;
    double seconds = 0;
    double capacity = 0; ///< requests per second
    double goodputShare = 0; ///< of the smaller of offered load and what the slots can serve
    OutcomeCounts counts;
    TimeQuantiles shortLatency; ///< answered requests
    TimeQuantiles longLatency;
    TimeQuantiles refusalLatency; ///< requests told "not run"
    TimeQuantiles lag; ///< of the load tool behind its own schedule
};

struct PerSecondResult {
    OutcomeCounts counts;
    TimeQuantiles shortLatency;
};

/// Requests belong to the phase of their scheduled arrival.
std::vector<PhaseResult> phaseResults(const Scenario &scenario, const std::vector<RequestRecord> &records);

std::vector<PerSecondResult> perSecondResults(const Scenario &scenario, const std::vector<RequestRecord> &records);

/// Work received by each upstream per bucket of `bucket` length.
struct RequestSeries {
    Milliseconds bucketLength{100};
    std::vector<std::vector<std::uint32_t>> received;
};

/// Time from the fault until 99% of new work avoids the upstream: the first moment from which both the next second
/// and the rest of the time until `end` bring it at most 1% of the work. Empty if there is none.
std::optional<Milliseconds>
detectionTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end);

/// Time from the fault until the upstream gets, over one second, at most 1% of an equal share of the work. Stricter
/// than `detectionTime`: an upstream whose slots are all blocked gets little of all work without anybody having
/// noticed.
std::optional<Milliseconds>
quietTime(const RequestSeries &series, std::size_t upstream, Milliseconds fault, Milliseconds end);

/// Work that the upstream received between two times.
std::uint64_t requestsReceived(const RequestSeries &series, std::size_t upstream, Milliseconds begin, Milliseconds end);

/// A fault that was posted, for one upstream.
struct DetectionResult {
    std::string kind;
    std::size_t upstream = 0;
    std::optional<Milliseconds> avoidedAfter; ///< detectionTime
    std::optional<Milliseconds> quietAfter; ///< quietTime
    std::uint64_t received = 0; ///< work during the fault
};

/// Texts of the bounds that were missed; empty if all were kept.
std::vector<std::string> missedBounds(const ScenarioBounds &bounds,
                                      const std::vector<PhaseResult> &phases,
                                      const std::vector<DetectionResult> &detections);

} // namespace laburnumspar::tools
