#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <vector>

namespace laburnumspar::tools {

/// Width of a bucket of the series of received work.
inline constexpr Milliseconds BucketWidth{100};

/// Counts of one upstream since the start of the process.
struct UpstreamCounters {
    std::uint64_t received = 0; ///< requests other than health probes
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0; ///< started, then stopped by the caller or the deadline
    std::uint64_t shed = 0; ///< rejected without running
    std::uint64_t abandoned = 0; ///< closed by the caller while waiting for a slot
    std::uint64_t beyondSlots = 0; ///< arrived while all slots were taken
    std::uint64_t beyondConnections = 0;
    std::uint64_t lateAfterDrain = 0; ///< arrived later than the grace time after the drain signal
    std::uint64_t probes = 0;
    std::uint64_t cancelledProbes = 0;
    unsigned running = 0;
    unsigned maxRunning = 0;
    unsigned connections = 0;
    unsigned maxConnections = 0;
    std::vector<std::uint32_t> receivedPerBucket; ///< from the start of the process
};

/// Number of the bucket that holds `now`.
inline std::size_t bucketOf(TimePoint start, TimePoint now)
{
    return static_cast<std::size_t>((now - start) / BucketWidth);
}

} // namespace laburnumspar::tools
