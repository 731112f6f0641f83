#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <vector>

namespace laburnumspar::tools {

/// Length of one interval of the time series of received requests.
inline constexpr Milliseconds BucketWidth{100};

/// Counters of one upstream since the start of the process. Health probes are included only where noted.
struct UpstreamCounters {
    std::uint64_t received = 0; ///< requests that arrived
    std::uint64_t started = 0; ///< executions that began
    std::uint64_t finished = 0; ///< executions that completed
    std::uint64_t cancelled = 0; ///< executions that ended early: caller gone, deadline passed or simulated error
    std::uint64_t shed = 0; ///< rejected without being executed, including health probes
    std::uint64_t abandoned = 0; ///< caller disconnected during the wait for a slot, including health probes
    std::uint64_t beyondSlots = 0; ///< arrived while all slots were in use
    std::uint64_t beyondConnections = 0; ///< connections closed because the limit was reached
    std::uint64_t lateAfterDrain = 0; ///< arrived after the grace period of a draining upstream
    std::uint64_t probes = 0; ///< health probes that arrived
    std::uint64_t cancelledProbes = 0; ///< health probes that ended early
    unsigned running = 0; ///< slots in use, including those of health probes
    unsigned maxRunning = 0;
    unsigned connections = 0; ///< open connections
    unsigned maxConnections = 0;
    std::vector<std::uint32_t> receivedPerBucket; ///< received requests per BucketWidth since the start of the process
};

/// Index of the time series interval that contains `now`.
inline std::size_t bucketIndex(TimePoint start, TimePoint now)
{
    return static_cast<std::size_t>((now - start) / BucketWidth);
}

} // namespace laburnumspar::tools
