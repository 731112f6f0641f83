#pragma once

#include "laburnumspar/dispatcher.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumspar::bench {

/// Poisson arrivals of one kind of request while `from <= t < to` (seconds of virtual time).
struct Stream {
    std::string team;
    std::string route;
    WorkClass declared = WorkClass::Short;
    bool isLong = false; ///< counted as long in the results
    double perSecond = 0;
    double meanRunMs = 5;
    double deadlineFromMs = 1000; ///< deadlines are uniform between these
    double deadlineToMs = 1000;
    double from = 0;
    double to = 0;
};

struct Scenario {
    std::string name;
    int upstreams = 7;
    unsigned slots = 6; ///< per upstream
    std::vector<Stream> streams;
    double measureFrom = 0; ///< seconds
    double measureTo = 0;
    double slowFrom = 1e9; ///< from this second on, executions take `slowFactor` times as long
    double slowFactor = 1;
    double interference = 0.3; ///< an execution takes this part longer on an upstream whose other slots are all busy
    unsigned slowUpstreams = 0; ///< the first ones, by id
    double slowUpstreamFactor = 3;
    double lossAt = 1e9; ///< from this second on, half of the upstreams take no new work
    double longShare = 0.5;
    unsigned queueLimit = 1000;
};

struct Setup {
    std::string policy = "least-loaded";
    LongPlacement placement = LongPlacement::SharePerUpstream;
    std::uint64_t seed = 1;
};

/// Results of one class or team, over the requests submitted while measuring.
struct Tally {
    std::uint64_t submitted = 0;
    std::uint64_t good = 0; ///< ended before the deadline
    std::uint64_t refused = 0;
    std::uint64_t missed = 0; ///< started, but cut off at the deadline
    std::vector<double> latencyMs; ///< of the good ones, sorted

    double quantileMs(double q) const;
    double goodShare() const;
};

struct Result {
    double goodput = 0; ///< slot time of good executions / slot time available
    Tally shortWork;
    Tally longWork;
    std::vector<Tally> streams; ///< in the order of the scenario
    std::vector<double> refusalMs; ///< from submission to refusal, sorted
    double nsPerDecision = 0; ///< wall time within the dispatcher

    double refusalQuantileMs(double q) const;
};

/// Runs the scenario on one dispatcher in virtual time. Same arguments, same result, apart from the wall time.
Result simulate(const Scenario &scenario, const Setup &setup);

} // namespace laburnumspar::bench
