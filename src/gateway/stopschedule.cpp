#include "gateway/stopschedule.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Some callers use the answer to an address query for up to this many lifetimes, so an instance that stops keeps
/// serving for as long.
constexpr int MaxAddressLifetimes = 3;
/// This long before the end of the grace time, all requests that still run get a final answer.
constexpr Milliseconds MaxStopMargin{600};
/// The process exits by itself this long before the end of the grace time, even if answers have not been written.
constexpr Milliseconds MaxExitMargin{250};
/// The margins are at most these parts of the grace time. Requests must not be broken off before its last sixth.
constexpr int MinStopMargins = 8;
constexpr int MinExitMargins = 16;
/// A periodic task that is this late shows that the process was paused.
constexpr Milliseconds PauseThreshold{250};

} // namespace

StopSchedule::StopSchedule(TimePoint signalSent, Milliseconds grace)
    : requested(signalSent)
    , refuseFrom(requested + std::min(MaxAddressLifetimes * AddressLifetime, grace / 2))
    , endAt(requested + grace - std::min(MaxStopMargin, grace / MinStopMargins))
    , exitAt(requested + grace - std::min(MaxExitMargin, grace / MinExitMargins))
{
}

void PauseDetector::recordTick(TimePoint now, Milliseconds interval)
{
    if (isLate(now)) {
        m_pauseBegin = m_lastTick;
        m_pauseEnd = now;
    }
    m_lastTick = now;
    m_nextTick = now + interval;
}

TimePoint PauseDetector::earliestSent(TimePoint received) const
{
    if (isLate(received)) {
        return m_lastTick;
    }
    // The task may have run between the end of the pause and the handling of the signal.
    return received > m_pauseBegin && received <= m_pauseEnd ? m_pauseBegin : received;
}

bool PauseDetector::isLate(TimePoint now) const
{
    return now > m_nextTick + PauseThreshold;
}

} // namespace laburnumspar::detail
