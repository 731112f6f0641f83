#pragma once

#include "upstreamcontrol.h"

#include "loadstats.h"
#include "outcomecheck.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Everything that a load run found.
struct LoadReport {
    std::string scenario;
    std::uint64_t seed = 0;
    bool direct = false;
    std::vector<PhaseResult> phases;
    std::vector<PerSecondResult> seconds;
    std::vector<DetectionResult> detections;
    Violations violations;
    std::vector<std::string> examples; ///< requests with a violation: key, what the caller got, executions
    UpstreamTotals upstreams; ///< counted during the run
    std::map<std::string, std::uint64_t> reasons; ///< of requests without an answer: class, outcome, reason
    std::vector<std::string> missedBounds;

    /// True if all promises and bounds were kept.
    bool passed() const
    {
        return violations.total() == 0 && missedBounds.empty();
    }
};

/// Text tables; seconds are listed around the starts of phases.
void printReport(std::ostream &out, const LoadReport &report);

std::string toJson(const LoadReport &report);

} // namespace laburnumspar::tools
