#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <string>

namespace laburnumspar {

/// One upstream as the platform lists it.
struct UpstreamEntry {
    UpstreamId id;
    std::string service;
    std::string zone;
    UpstreamPhase phase = UpstreamPhase::Serving;

    bool operator==(const UpstreamEntry &) const = default;
};

/// One instance of the fleet as the platform lists it.
struct InstanceEntry {
    InstanceId id; ///< peer address
    std::string zone;
    bool leaving = false;

    bool operator==(const InstanceEntry &) const = default;
};

/// Accepted version of the value at a settings path.
struct SettingsVersion {
    std::string path;
    std::uint64_t version = 0;

    bool operator==(const SettingsVersion &) const = default;
};

/// What one dispatcher publishes about its part of a service.
struct ServiceLoad {
    std::string service;
    std::uint32_t slots = 0; ///< usable slots of the upstreams it owns
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    std::uint32_t shortWaitUs = 0; ///< estimated wait of a short request
    std::uint32_t longWaitUs = 0; ///< estimated wait of a long request

    bool operator==(const ServiceLoad &) const = default;
};

/// How much work an upstream may hold now, and in which order upstreams are chosen.
struct Admission {
    unsigned slots = 0; ///< 0: no new work
    unsigned preference = 0; ///< lower is chosen first; a higher one only when no lower one has a free slot
    bool trial = false; ///< in doubt: only for work that may be repeated, unless all upstreams are in doubt
};

} // namespace laburnumspar
