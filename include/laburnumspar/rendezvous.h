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

// Roles as functions of the members (rendezvous hashing): equal views give equal roles on every instance, and a
// member that comes or goes moves only the roles that it takes or had. Alive members are chosen; only where there is
// none, leaving ones, and after these suspect ones. Dead ones never are.
namespace laburnumspar {

/// Upstreams of one zone above which the zone gets another dispatcher.
inline constexpr std::size_t UpstreamsPerDispatcher = 64;
inline constexpr std::size_t MaxSettingsReaders = 3;

/// A dispatcher of a service.
struct GroupMember {
    InstanceId id;
    std::string zone;

    bool operator==(const GroupMember &) const = default;
};

/// Number of upstreams of a service by zone.
using UpstreamsByZone = std::map<std::string, std::size_t>;

/// The member with the highest score has the role that the key names.
std::uint64_t rendezvousScore(std::string_view key, const InstanceId &id);

/// One dispatcher per zone with upstreams and members, more above UpstreamsPerDispatcher; at least one if any member
/// is left.
std::vector<GroupMember>
dispatcherGroup(std::string_view service, std::span<const MemberView> members, const UpstreamsByZone &upstreamsByZone);

/// Dispatchers in the order in which they take the upstream: those of its zone first.
std::vector<InstanceId>
ownerRanking(const UpstreamId &upstream, std::string_view zone, std::span<const GroupMember> group);

/// First dispatcher in rank that does not report the upstream as unreachable, or the first if all do; empty for an
/// empty group.
std::optional<InstanceId> ownerOf(const UpstreamId &upstream,
                                  std::string_view zone,
                                  std::span<const GroupMember> group,
                                  std::span<const InstanceId> unreachableFrom);

/// Members that publish the upstream of the service as unreachable.
std::vector<InstanceId>
unreachableFrom(std::string_view service, const UpstreamId &upstream, std::span<const MemberView> members);

/// Up to MaxSettingsReaders members, in different zones as far as possible.
std::vector<InstanceId> settingsReaders(std::span<const MemberView> members);

} // namespace laburnumspar
