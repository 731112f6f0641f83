#pragma once

#include "laburnumspar/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar::tools {

/// Upstreams for which a scenario is sized.
struct ScenarioPool {
    unsigned count = 0;
    unsigned slots = 0; ///< per upstream
    unsigned connections = 350; ///< per upstream
    std::vector<std::string> zones;
};

/// Callers of the fleet.
struct ScenarioCallers {
    unsigned count = 100;
    unsigned addresses = 3; ///< how many of the offered addresses a caller keeps
};

/// One kind of request; a request is drawn from the mix by weight.
struct ScenarioMixEntry {
    std::string service;
    std::string team;
    double weight = 1;
    double longShare = 0; ///< share of long requests, 0..1
    double runMs = 20; ///< mean execution time of short requests
    double longRunMs = 2000;
    double nonIdempotentShare = 0;
    Milliseconds deadline{1000};
    Milliseconds longDeadline{10000};
    unsigned answerSize = 0; ///< padding of the answer in bytes
};

struct ScenarioPhase {
    std::string name;
    Milliseconds duration{0};
    double rateStart = 0; ///< requests per second; changes linearly over the phase
    double rateEnd = 0;
    std::optional<double> longShare; ///< replaces the share of the mix
    bool measured = true; ///< false: left out of the bounds
};

/// A fault posted to the control endpoint of the upstreams.
struct ScenarioFault {
    Milliseconds at{0}; ///< since the start of the first phase
    std::string kind;
    std::string upstream; ///< index or "all"; empty with a zone
    std::string zone;
    double factor = 10;
    Milliseconds duration{0}; ///< 0: until the end
    bool measureDetection = true; ///< measure how soon work avoids the upstream; default: not for none, cold and refuse
};

/// Limits whose violation fails the run; over the measured phases.
struct ScenarioBounds {
    std::optional<double> goodputShareMin; ///< of the smaller of offered load and capacity, per phase
    std::optional<double> shortP99MsMax; ///< per phase
    std::optional<double> shortP99RatioMax; ///< last measured phase to the first one
    std::optional<double> refusalP99MsMax; ///< per phase
    std::optional<double> mayHaveRunShareMax; ///< of all requests, with errors and missing answers
    std::optional<double> detectionMsMax; ///< until 99% of all work avoids a faulty upstream
    std::optional<double> quietMsMax; ///< until 99% of its equal share avoids it
};

struct Scenario {
    std::string name;
    ScenarioPool pool;
    ScenarioCallers callers;
    std::vector<ScenarioMixEntry> mix;
    std::vector<ScenarioPhase> phases;
    std::vector<ScenarioFault> faults;
    ScenarioBounds bounds;

    Milliseconds duration() const;
};

/// Throws SettingsError, which names file, key, line and what is allowed; unknown keys are errors.
Scenario parseScenario(std::string_view text, const std::string &file);

/// Requests per second that the slots of the pool can serve in a phase.
double poolCapacity(const Scenario &scenario, const ScenarioPhase &phase);

/// Index of the phase at a time since the start; the last one after the end.
std::size_t phaseIndexAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart);

/// Rate at a time since the start, in requests per second; 0 after the end.
double rateAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart);

} // namespace laburnumspar::tools
