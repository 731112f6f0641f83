#pragma once

#include "laburnumspar/healthbaselines.h"

#include <cstdint>
#include <string>

namespace laburnumspar::bench {

enum class Fault : std::uint8_t {
    None,
    SlowTenfold,
    BlackHole, ///< answers probes, never answers work
    FailsWork, ///< answers probes, answers work with an error after 5 ms
    Flapping, ///< black hole for 2 s, good for 2 s
    WrongAnswers, ///< 30% of the answers
    OneWayPartition, ///< receives work and probes, no answer comes back
    AllSilent, ///< every upstream of the zone for 3 s: a fault of the instance's own network
    Pause, ///< the instance does not run for 10 s
};

/// What happens to the whole zone at the time of the fault.
enum class Pressure : std::uint8_t {
    None,
    Slow, ///< all run times 3 times as long
    Spike, ///< 5 times the requests for 5 s, all run times 3 times as long, 30% shed
};

struct Scenario {
    unsigned pool = 20; ///< upstreams in 3 zones; one policy owns those of the first zone
    Fault fault = Fault::None; ///< of one upstream of the first zone
    Pressure pressure = Pressure::None;
    std::string policy = "judge";
    double load = 0.7; ///< share of the slots
    double sigma = 0.6; ///< spread of the run times
    Milliseconds length{15000};
    std::uint64_t seed = 1;
};

struct RunResult {
    Milliseconds detection{0}; ///< from the fault until at most 1% of new work goes to the faulty upstream
    bool detected = false;
    Milliseconds decision{0}; ///< from the fault until the policy first marks the upstream
    unsigned falseEjections = 0;
    unsigned falseSuspicions = 0;
    unsigned ejections = 0; ///< of the faulty upstream
    unsigned harmed = 0; ///< requests that the faulty upstream did not answer well
    unsigned probes = 0;
};

/// Time of the fault; before it the policies have seen good work.
constexpr Milliseconds FaultTime{5000};

RunResult simulate(const Scenario &scenario);

} // namespace laburnumspar::bench
