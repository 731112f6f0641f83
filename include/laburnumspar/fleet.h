#pragma once

#include "laburnumspar/revision.h"
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

/// Version of the value at a settings path that an instance has accepted.
struct SettingsVersion {
    std::string path;
    Revision version;

    bool operator==(const SettingsVersion &) const = default;
};

/// Capacity and load of one dispatcher for one service.
struct ServiceLoad {
    std::string service;
    std::uint32_t slots = 0; ///< usable slots of the upstreams assigned to it
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0; ///< waiting requests
    std::uint32_t shortWaitUs = 0; ///< estimated queueing time of a short request, in microseconds
    std::uint32_t longWaitUs = 0; ///< estimated queueing time of a long request, in microseconds

    bool operator==(const ServiceLoad &) const = default;
};

/// How many concurrent requests an upstream may take, and its rank when upstreams are selected.
struct Admission {
    unsigned slots = 0; ///< maximum number of concurrent requests; 0: no new requests
    unsigned preference = 0; ///< lower is selected first; a higher one only if no lower one has a free slot
    bool trial = false; ///< health in doubt; receives only idempotent requests unless all upstreams are on trial
};

} // namespace laburnumspar
