#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::detail {

/// Lifetime of the answer to an address query.
inline constexpr Milliseconds AddressLifetime{950};

/// When the phases of a planned stop begin. It is fixed at the signal, because the process is killed at the end of the
/// grace time that was in force then.
struct StopSchedule {
    /// `grace`: from the time when the signal was sent until the process is killed.
    StopSchedule(TimePoint signalSent, Milliseconds grace);

    TimePoint requested;
    TimePoint refuseFrom; ///< requests that are read later are refused as not run
    TimePoint endAt; ///< all requests that still run get a final answer
    TimePoint exitAt; ///< the process exits, even if answers have not been written
};

/// Knows from the times of a periodic task when the process was paused.
class PauseDetector
{
public:
    explicit PauseDetector(TimePoint now)
        : m_lastTick(now)
        , m_nextTick(now)
    {
    }

    /// To be called when the task runs. `interval`: until it runs next.
    void recordTick(TimePoint now, Milliseconds interval);
    /// Earliest time at which a signal may have been sent that arrived at `received`. A process that is paused gets its
    /// signals when it continues.
    TimePoint earliestSent(TimePoint received) const;

private:
    bool isLate(TimePoint now) const;

    TimePoint m_lastTick;
    TimePoint m_nextTick;
    TimePoint m_pauseBegin;
    TimePoint m_pauseEnd;
};

} // namespace laburnumspar::detail
