#pragma once

#include "gateway/crashsuspects.h"
#include "laburnumspar/instancegroup.h"
#include "laburnumspar/quotaledger.h"
#include "laburnumspar/storemirror.h"
#include "laburnumspar/upstreampool.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace laburnumspar::detail {

using Bytes = std::vector<std::uint8_t>;

/// An instance that the sender knows.
struct KnownInstance {
    InstanceStatus status; ///< without load and store state, which change fast
    Milliseconds age{0}; ///< time since the last status of the instance
};

/// Outcomes of the sender's attempts at an upstream since its last message.
struct UpstreamObservation {
    std::string service;
    UpstreamPool::Observation counts;
    std::string zone{}; ///< of the upstream; not sent
};

/// Datagram that instances exchange.
struct GroupHeartbeat {
    InstanceStatus sender;
    bool replyRequested = false; ///< the receiver answers with a heartbeat of its own
    std::vector<KnownInstance> knownInstances;
    std::vector<UpstreamObservation> observations;
    std::vector<SuspectReport> suspects;
    std::vector<QuotaReport> quotas;
};

/// Maximum number of known instances per datagram; more do not fit into 1,400 bytes.
constexpr std::size_t MaxKnownInstances = 60;

/// Maximum number of observations per datagram.
constexpr std::size_t MaxObservations = 32;

/// Maximum number of requests under which upstreams have crashed per datagram.
constexpr std::size_t MaxSuspectReports = 16;

/// Maximum number of organisations per datagram.
constexpr std::size_t MaxQuotaReports = 32;

/// `zones` lists the zone names in an order that all instances share. Throws EncodeError.
Bytes encodeHeartbeat(const GroupHeartbeat &heartbeat, const std::vector<std::string> &zones);
/// Throws DecodeError if the datagram is invalid.
GroupHeartbeat decodeHeartbeat(std::span<const std::uint8_t> bytes, const std::vector<std::string> &zones);

/// Store items that changed after a requested revision.
struct MirrorChanges {
    Revision revision; ///< the sender's copy of the store contains all changes up to this revision
    std::vector<StoreItem> items;
    bool complete = false; ///< items that are missing here do not exist at `revision`
    SharedText routes{}; ///< value of the routes that the sender uses, which may be newer than its copy; may be empty
    Revision gapEnd{}; ///< the sender may lack removals up to this revision that the receiver did not need
    bool afterLoss = false; ///< the sender knows that the store has lost changes before its newest era
    std::shared_ptr<const RouteTable> routesTable{}; ///< decoded `routes`, if they have been decoded; not sent
};

Bytes encodeChanges(const MirrorChanges &changes);
/// Throws DecodeError if the message is invalid.
MirrorChanges decodeChanges(std::span<const std::uint8_t> bytes);

} // namespace laburnumspar::detail
