#pragma once

#include "laburnumspar/healthbaselines.h"

#include <cstdint>
#include <string>

namespace laburnumspar::bench {

enum class Fault : std::uint8_t {
    None,
    SlowTenfold,
    BlackHole, ///< answers probes, but no requests
    RequestErrors, ///< answers probes, but requests with an error after 5 ms
    Flapping, ///< alternates between a black hole for 2 s and no fault for 2 s
    WrongAnswers, ///< 30% of the answers
    OneWayPartition, ///< receives requests and probes, but no answer arrives
    AllUnresponsive, ///< no upstream of the zone answers for 3 s, as in a fault of the instance's own network
    Pause, ///< the instance does not run for 10 s
};

/// Condition of the whole zone from the time of the fault.
enum class ZoneCondition : std::uint8_t {
    None,
    Slow, ///< all run times 3 times as long
    Spike, ///< 5 times the requests for 5 s, all run times 3 times as long, 30% shed
};

struct Scenario {
    unsigned poolSize = 20; ///< upstreams in 3 zones; the policy owns those of the first zone
    Fault fault = Fault::None; ///< of one upstream of the first zone
    ZoneCondition zoneCondition = ZoneCondition::None;
    std::string policy = "judge";
    double load = 0.7; ///< mean share of the slots in use
    double sigma = 0.6; ///< of the log-normal distribution of the run times
    Milliseconds length{15000};
    std::uint64_t seed = 1;
};

struct RunResult {
    Milliseconds detection{0}; ///< from the fault until at most 1% of new requests go to the faulty upstream
    bool detected = false;
    Milliseconds decision{0}; ///< from the fault until the policy first makes the upstream suspect or ejects it
    unsigned falseEjections = 0;
    unsigned falseSuspicions = 0;
    unsigned ejections = 0; ///< of the faulty upstream
    unsigned failedRequests = 0; ///< at the faulty upstream, without shed ones
    unsigned probes = 0;
};

/// Start of the fault; until then the policies collect evidence without it.
constexpr Milliseconds FaultTime{5000};

/// Simulates the scenario in virtual time; equal scenarios give equal results.
RunResult simulate(const Scenario &scenario);

} // namespace laburnumspar::bench
