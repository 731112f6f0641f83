#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::detail {

/// Lifetime of the answer to an address query.
inline constexpr Milliseconds AddressLifetime{950};

/// When the phases of a planned stop begin. It is fixed at the signal, because the process is killed at the end of the
/// grace time that was in force then.
struct StopSchedule {
    /// `requested`: when the signal was sent. `grace`: from then until the process is killed.
    StopSchedule(TimePoint requested, Milliseconds grace);

    TimePoint requested;
    TimePoint refuseFrom; ///< requests that are read later are refused as not run
    TimePoint endAt; ///< all requests that still run get a final answer
    TimePoint exitAt; ///< the process exits, even if answers have not been written
};

} // namespace laburnumspar::detail
