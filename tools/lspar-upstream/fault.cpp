#include "fault.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::tools {

namespace {

using Seconds = std::chrono::duration<double>;

/// Warm-up time of a cold upstream whose fault has no end.
constexpr Seconds ColdTime{10};

} // namespace

FaultKind behaviour(const Fault &fault, TimePoint now)
{
    if (now >= fault.until) {
        return FaultKind::None;
    }
    if (fault.kind == FaultKind::Flap) {
        const auto turn = std::floor(Seconds(now - fault.since).count() / std::max(fault.factor, 0.1));
        return std::fmod(turn, 2) == 0 ? FaultKind::Blackhole : FaultKind::None;
    }
    return fault.kind;
}

double runTimeFactor(const Fault &fault, TimePoint now)
{
    const auto kind = behaviour(fault, now);
    if (kind == FaultKind::Slow) {
        return fault.factor;
    }
    if (kind == FaultKind::Cold) {
        const Seconds whole = fault.until == TimePoint::max() ? ColdTime : Seconds(fault.until - fault.since);
        const double rest = std::clamp(1 - Seconds(now - fault.since) / whole, 0.0, 1.0);
        return 1 + (fault.factor - 1) * rest;
    }
    return 1;
}

UpstreamPhase announcedPhase(const Fault &fault, TimePoint now)
{
    switch (behaviour(fault, now)) {
    case FaultKind::Drain:
        return UpstreamPhase::Draining;
    case FaultKind::Cold:
        return UpstreamPhase::Starting;
    default:
        return UpstreamPhase::Serving;
    }
}

} // namespace laburnumspar::tools
