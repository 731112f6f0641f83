#include "fault.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::tools {

namespace {

using Seconds = std::chrono::duration<double>;

/// Warm-up time of a Cold fault without an end time.
constexpr Seconds DefaultWarmUpTime{10};

} // namespace

FaultKind activeFaultKind(const Fault &fault, TimePoint now)
{
    if (now >= fault.until) {
        return FaultKind::None;
    }
    if (fault.kind == FaultKind::Flap) {
        const auto period = std::floor(Seconds(now - fault.since).count() / std::max(fault.factor, 0.1));
        return std::fmod(period, 2) == 0 ? FaultKind::Blackhole : FaultKind::None;
    }
    return fault.kind;
}

double executionTimeFactor(const Fault &fault, TimePoint now)
{
    const auto kind = activeFaultKind(fault, now);
    if (kind == FaultKind::Slow) {
        return fault.factor;
    }
    if (kind == FaultKind::Cold) {
        const Seconds warmUpTime
            = fault.until == TimePoint::max() ? DefaultWarmUpTime : Seconds(fault.until - fault.since);
        const double remaining = std::clamp(1 - Seconds(now - fault.since) / warmUpTime, 0.0, 1.0);
        return 1 + (fault.factor - 1) * remaining;
    }
    return 1;
}

UpstreamPhase announcedPhase(const Fault &fault, TimePoint now)
{
    switch (activeFaultKind(fault, now)) {
    case FaultKind::Drain:
        return UpstreamPhase::Draining;
    case FaultKind::Cold:
        return UpstreamPhase::Starting;
    default:
        return UpstreamPhase::Serving;
    }
}

} // namespace laburnumspar::tools
