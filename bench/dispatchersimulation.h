#pragma once

#include "laburnumspar/dispatcher.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumspar::bench {

/// Poisson arrivals of one kind of request while `from <= t < to`, in seconds of virtual time.
struct RequestStream {
    std::string team;
    std::string route;
    RequestClass declared = RequestClass::Short;
    bool isLong = false; ///< counted as long in the results, whatever its declared class
    double perSecond = 0;
    double meanRunMs = 5;
    double minDeadlineMs = 1000; ///< deadlines are uniformly distributed from the minimum to the maximum
    double maxDeadlineMs = 1000;
    double from = 0;
    double to = 0;
};

/// Pool, load and faults of one simulation; times are in seconds of virtual time.
struct Scenario {
    std::string name;
    int upstreams = 7;
    unsigned slots = 6; ///< per upstream
    std::vector<RequestStream> streams;
    double measureFrom = 0; ///< start of the measured interval: submissions, and finished executions for the goodput
    double measureTo = 0;
    double slowFrom = 1e9; ///< from this time on, requests that arrive take `slowFactor` times as long to execute
    double slowFactor = 1;
    double interference = 0.3; ///< share by which an execution takes longer if all other slots of the upstream are busy
    unsigned slowUpstreams = 0; ///< number of slow upstreams; the first ones by id are slow
    double slowUpstreamFactor = 3; ///< on the execution times of the slow upstreams
    double lossAt = 1e9; ///< from this time on, half of the upstreams accept no new requests
    double longShare = 0.5;
    unsigned queueLimit = 1000;
};

/// Settings of the dispatcher under test.
struct DispatcherOptions {
    std::string policy = "least-loaded";
    LongPlacement placement = LongPlacement::SharePerUpstream;
    std::uint64_t seed = 1; ///< of the dispatcher and of the simulated load
};

/// Results of one class of requests or one stream, over the requests submitted in the measured interval.
struct RequestStats {
    std::uint64_t submitted = 0;
    std::uint64_t inTime = 0; ///< finished before the deadline
    std::uint64_t refused = 0;
    std::uint64_t timedOut = 0; ///< started, but cancelled at the deadline
    std::vector<double> latencyMs; ///< of the requests that finished in time, sorted

    double quantileMs(double q) const;
    double inTimeShare() const;
};

struct SimulationResult {
    double goodput = 0; ///< slot time of executions that finished in time / slot time available
    RequestStats shortRequests;
    RequestStats longRequests;
    std::vector<RequestStats> streams; ///< in the order of the scenario
    std::vector<double> refusalMs; ///< from submission to refusal, sorted
    double nsPerDecision = 0; ///< wall time spent in the dispatcher, per decision

    double refusalQuantileMs(double q) const;
};

/// Runs the scenario on one dispatcher in virtual time. The result depends only on the arguments, except for
/// nsPerDecision, which is measured in wall time.
SimulationResult simulate(const Scenario &scenario, const DispatcherOptions &options);

} // namespace laburnumspar::bench
