#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::tools {

/// Faults that a simulated upstream can show. Its health endpoint stays good unless noted.
enum class FaultKind : std::uint8_t {
    None,
    Slow, ///< execution takes `factor` times as long
    Blackhole, ///< real work is accepted and never answered
    FailWork, ///< real work is answered with 500
    Flap, ///< serves and black-holes in turn, `factor` seconds each
    Wrong, ///< another request's answer, or a body that does not match its digest
    Truncate, ///< half of the body, then closes
    Shed, ///< 503 with X-Not-Run: shed
    Refuse, ///< closes its listener and all connections
    Drain, ///< announces draining; rejects work after the grace time
    Cold, ///< announces starting; `factor` times slower at first, falling linearly over the duration
};

struct Fault {
    FaultKind kind = FaultKind::None;
    double factor = 1;
    TimePoint since;
    TimePoint until = TimePoint::max();
};

/// Time after which a draining upstream rejects new work (requirement I5).
inline constexpr Milliseconds DrainGrace{3000};

/// The behaviour at `now`: None after the end of the fault; a flapping upstream is None or Blackhole.
FaultKind behaviour(const Fault &fault, TimePoint now);

/// Multiplier of execution times at `now`.
double runTimeFactor(const Fault &fault, TimePoint now);

/// Phase that the upstream announces at `now`.
UpstreamPhase announcedPhase(const Fault &fault, TimePoint now);

} // namespace laburnumspar::tools

template <>
struct laburnumspar::EnumNames<laburnumspar::tools::FaultKind> {
    static constexpr std::array<std::string_view, 11> Names{
        "none",
        "slow",
        "blackhole",
        "failwork",
        "flap",
        "wrong",
        "truncate",
        "shed",
        "refuse",
        "drain",
        "cold",
    };
};
