#pragma once

#include "laburnumspar/upstreampool.h"

#include <cstdint>

namespace laburnumspar::bench {

/// A fault that affects a share of the upstreams for some time.
enum class UpstreamFault : std::uint8_t {
    None,
    Errors, ///< fails most requests at once
    Silence, ///< accepts requests and does not respond
    Slow, ///< takes eight times as long
};

/// One service with several active instances in front of it.
struct PoolScenario {
    unsigned zones = 3;
    unsigned instancesPerZone = 2;
    unsigned upstreams = 64;
    unsigned slots = 6;
    double finalRate = 222; ///< requests per second that cannot be retried
    double retryableRate = 0; ///< requests per second that can be retried once
    Milliseconds workTime{410}; ///< median
    Milliseconds deadline{2500};
    double refusedShare = 0; ///< of the arrivals that are refused for another reason than a lack of upstreams
    double noiseShare = 0.3; ///< of the upstreams that fail most requests, drawn anew every 9 s
    bool noiseHangs = false; ///< these requests are not answered, instead of failing at once
    UpstreamFault fault = UpstreamFault::None;
    double faultShare = 0.3;
    Milliseconds faultAt{12000};
    Milliseconds faultLength{6000};
    Milliseconds length{30000};
    std::uint64_t seed = 1;
};

/// Counts of the whole run.
struct PoolResult {
    unsigned finalRequests = 0;
    unsigned finalLost = 0;
    unsigned retryableRequests = 0;
    unsigned retryableLost = 0;
    unsigned retries = 0;
    unsigned trials = 0; ///< attempts at upstreams with a fault probability above one half
    /// Periods of 2 s, one each 500 ms, in which more than a tenth and less than half of the requests were lost and
    /// less than 0.7 of the healthy upstreams received one.
    unsigned idlePeriods = 0;
};

/// Simulates the scenario in virtual time; equal scenarios give equal results.
PoolResult simulate(const PoolScenario &scenario);

} // namespace laburnumspar::bench
