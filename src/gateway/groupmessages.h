#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/storemirror.h"
#include "laburnumspar/upstreampool.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace laburnumspar::detail {

using Bytes = std::vector<std::uint8_t>;

/// An instance that the sender has heard of.
struct KnownInstance {
    InstanceStatus status; ///< without what changes fast: load, revision and age of the store
    Milliseconds age{0};
};

/// How attempts of the sender at an upstream ended since its last message.
struct UpstreamObservation {
    std::string service;
    UpstreamPool::Observation counts;
};

/// Datagram between instances.
struct GroupHeartbeat {
    InstanceStatus sender;
    bool replyRequested = false;
    std::vector<KnownInstance> knownInstances;
    std::vector<UpstreamObservation> observations;
};

/// Most instances in one datagram; more do not fit 1,400 bytes.
constexpr std::size_t MaxKnownInstances = 60;

constexpr std::size_t MaxObservations = 32;

/// `zones`: names in an order that all instances share.
Bytes encodeHeartbeat(const GroupHeartbeat &heartbeat, const std::vector<std::string> &zones);
/// Throws DecodeError.
GroupHeartbeat decodeHeartbeat(std::span<const std::uint8_t> bytes, const std::vector<std::string> &zones);

/// Items of the store that changed after the revision which the reader asked for.
struct MirrorChanges {
    std::uint64_t revision = 0; ///< the sender knows all changes up to this one
    std::vector<StoreItem> items;
};

Bytes encodeChanges(const MirrorChanges &changes);
/// Throws DecodeError.
MirrorChanges decodeChanges(std::span<const std::uint8_t> bytes);

} // namespace laburnumspar::detail
