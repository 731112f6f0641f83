#pragma once

#include "laburnumspar/membership.h"
#include "laburnumspar/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Assigns roles to members by rendezvous hashing. Instances with equal views of the members compute equal roles, and a
// member that joins or leaves moves only the roles that it gains or loses. Alive members are preferred. Leaving members
// are used only if none is alive, suspect ones only if none is alive or leaving, and dead ones never.
namespace laburnumspar {

/// A zone has one dispatcher for each started group of this many upstreams.
inline constexpr std::size_t UpstreamsPerDispatcher = 64;
/// Maximum number of instances that read the settings.
inline constexpr std::size_t MaxSettingsReaders = 3;

/// A dispatcher of a service.
struct GroupMember {
    InstanceId id;
    std::string zone;

    bool operator==(const GroupMember &) const = default;
};

/// Number of upstreams of a service by zone.
using UpstreamsByZone = std::map<std::string, std::size_t>;

/// Score of an instance for the role that `key` names. The member with the highest score has the role.
std::uint64_t rendezvousScore(std::string_view key, const InstanceId &id);

/// Dispatchers of a service: one for each UpstreamsPerDispatcher upstreams of a zone, as far as the zone has members.
/// At least one if any member is eligible.
std::vector<GroupMember>
dispatcherGroup(std::string_view service, std::span<const MemberView> members, const UpstreamsByZone &upstreamsByZone);

/// Dispatchers in the order in which they become owner of the upstream, those of its zone first.
std::vector<InstanceId>
ownerRanking(const UpstreamId &upstream, std::string_view zone, std::span<const GroupMember> group);

/// Highest-ranked dispatcher that does not report the upstream as unreachable, or the highest-ranked if all do. Empty
/// for an empty group.
std::optional<InstanceId> ownerOf(const UpstreamId &upstream,
                                  std::string_view zone,
                                  std::span<const GroupMember> group,
                                  std::span<const InstanceId> unreachableFrom);

/// Members that report the upstream of the service as unreachable.
std::vector<InstanceId>
unreachableFrom(std::string_view service, const UpstreamId &upstream, std::span<const MemberView> members);

/// Up to MaxSettingsReaders members, in different zones as far as possible.
std::vector<InstanceId> settingsReaders(std::span<const MemberView> members);

} // namespace laburnumspar
