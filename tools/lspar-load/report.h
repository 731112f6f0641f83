#pragma once

#include "upstreamcontrol.h"

#include "loadstats.h"
#include "outcomecheck.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Results of a load run.
struct LoadReport {
    std::string scenario;
    std::uint64_t seed = 0;
    bool direct = false; ///< without the fleet
    std::vector<PhaseResult> phases;
    std::vector<PerSecondResult> seconds;
    std::vector<DetectionResult> detections;
    Violations violations;
    std::vector<std::string> examples; ///< violating requests: key, outcome and number of executions
    UpstreamTotals upstreams; ///< counters of the upstreams over the run
    std::map<std::string, std::uint64_t> reasons; ///< unanswered requests by class, outcome and reason
    std::vector<std::string> missedBounds;

    /// True if no guarantee was violated and no bound was missed.
    bool passed() const
    {
        return violations.total() == 0 && missedBounds.empty();
    }
};

/// Prints text tables. Results per second are limited to the seconds around the start of each phase.
void printReport(std::ostream &out, const LoadReport &report);

/// Returns the report as JSON text, with all seconds of the run.
std::string toJson(const LoadReport &report);

} // namespace laburnumspar::tools
