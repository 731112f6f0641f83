#pragma once

#include "laburnumspar/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar::tools {

/// Upstreams that a scenario is designed for.
struct ScenarioPool {
    unsigned count = 0;
    unsigned slots = 0; ///< concurrent requests per upstream
    unsigned connections = 350; ///< connection limit per upstream
    std::vector<std::string> zones;
};

/// Simulated callers of the fleet.
struct ScenarioCallers {
    unsigned count = 100;
    unsigned addresses = 3; ///< instance addresses that each caller keeps
};

/// One kind of request. The kind of each request is drawn from the mix by weight.
struct ScenarioMixEntry {
    std::string service;
    std::string team;
    double weight = 1;
    double longShare = 0; ///< share of long requests, 0 to 1
    double runMs = 20; ///< mean execution time of short requests, in milliseconds
    double longRunMs = 2000; ///< mean execution time of long requests, in milliseconds
    double nonIdempotentShare = 0;
    Milliseconds deadline{1000}; ///< of short requests
    Milliseconds longDeadline{10000}; ///< of long requests
    unsigned answerSize = 0; ///< padding of the answer in bytes
};

/// Part of a scenario, in which the request rate changes linearly.
struct ScenarioPhase {
    std::string name;
    Milliseconds duration{0};
    double rateStart = 0; ///< requests per second at the start of the phase
    double rateEnd = 0; ///< requests per second at its end
    std::optional<double> longShare; ///< overrides the share in the mix entries
    bool measured = true; ///< false: the bounds do not apply to the phase
};

/// A fault posted to the control endpoint of the upstreams.
struct ScenarioFault {
    Milliseconds at{0}; ///< since the start of the run
    std::string kind; ///< name of a fault kind of lspar-upstream
    std::string upstream; ///< index or "all"; empty if `zone` is set
    std::string zone;
    double factor = 10; ///< its meaning depends on the kind
    Milliseconds duration{0}; ///< 0: until the end of the run
    bool measureDetection = true; ///< report the detection time; off by default for none, cold and refuse
};

/// Bounds on the results of the measured phases and on detection. The run fails if one is missed.
struct ScenarioBounds {
    std::optional<double> goodputShareMin; ///< relative to the smaller of offered load and capacity, per phase
    std::optional<double> shortP99MsMax; ///< per phase
    std::optional<double> shortP99RatioMax; ///< ratio of the last to the first measured phase
    std::optional<double> refusalP99MsMax; ///< per phase
    std::optional<double> mayHaveRunShareMax; ///< of all requests per phase; includes errors and missing answers
    std::optional<double> detectionMsMax; ///< until a faulty upstream receives at most 1% of all requests
    std::optional<double> quietMsMax; ///< until it receives at most 1% of an equal share
};

/// Load, faults and bounds of one run, read from a scenario file.
struct Scenario {
    std::string name;
    ScenarioPool pool;
    ScenarioCallers callers;
    std::vector<ScenarioMixEntry> mix;
    std::vector<ScenarioPhase> phases;
    std::vector<ScenarioFault> faults;
    ScenarioBounds bounds;

    /// Total duration of all phases.
    Milliseconds duration() const;
};

/// Parses a scenario in TOML. Throws SettingsError with file, line, key and what is expected; unknown keys are errors.
Scenario parseScenario(std::string_view text, const std::string &file);

/// Requests per second that the slots of the pool can serve, given the request mix of the phase.
double poolCapacity(const Scenario &scenario, const ScenarioPhase &phase);

/// Index of the phase at a time since the start of the run; the last phase after the end.
std::size_t phaseIndexAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart);

/// Requests per second at a time since the start of the run; 0 after the end.
double rateAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart);

} // namespace laburnumspar::tools
