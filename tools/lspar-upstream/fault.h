#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::tools {

/// Faults that a simulated upstream can exhibit. Health probes continue to succeed unless noted.
enum class FaultKind : std::uint8_t {
    None,
    Slow, ///< executions take `factor` times as long
    Blackhole, ///< accepts requests and never answers them
    Errors, ///< answers requests with 500
    Flap, ///< alternates between Blackhole and None, `factor` seconds each
    Wrong, ///< sends the answer to another request, or a body that does not match its digest
    Truncate, ///< sends half of the body, then closes the connection
    Shed, ///< rejects requests with 503 and X-Not-Run: shed
    Refuse, ///< closes its listener and all connections, so that health probes fail too
    Drain, ///< announces that it is draining and rejects requests after DrainGrace
    Pause, ///< rejects requests with 503, X-Not-Run: shed and Retry-After: `factor` seconds
    Rate, ///< names `factor` requests per second as its limit, and runs all requests
    Cold, ///< announces that it is starting; `factor` times slower at first, decreasing linearly to normal speed
};

/// A fault and the time for which it is active.
struct Fault {
    FaultKind kind = FaultKind::None;
    double factor = 1; ///< see the kinds that use it
    TimePoint since;
    TimePoint until = TimePoint::max();
};

/// Time for which a draining upstream still accepts new requests (requirement I5).
inline constexpr Milliseconds DrainGrace{3000};

/// Kind that applies at `now`: None after the fault has ended, and None or Blackhole for Flap.
FaultKind activeFaultKind(const Fault &fault, TimePoint now);

/// Factor applied to the duration of executions that start at `now`.
double executionTimeFactor(const Fault &fault, TimePoint now);

/// Phase that the upstream announces at `now`.
UpstreamPhase announcedPhase(const Fault &fault, TimePoint now);

} // namespace laburnumspar::tools

template <>
struct laburnumspar::EnumNames<laburnumspar::tools::FaultKind> {
    static constexpr std::array<std::string_view, 13> Names{
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
        "pause",
        "rate",
        "cold",
    };
};
