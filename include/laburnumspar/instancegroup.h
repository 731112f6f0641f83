#pragma once

#include "laburnumspar/revision.h"
#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar {

/// Role of an instance in the group.
enum class InstanceRole : std::uint8_t {
    Standby, ///< its address is not given to callers
    Spare, ///< first to replace an active instance
    Active, ///< its address is given to callers
    Leaving, ///< finishes its pending requests and stops
};

template <>
struct EnumNames<InstanceRole> {
    static constexpr std::array<std::string_view, 4> Names{"standby", "spare", "active", "leaving"};
};

/// Status that an instance sends to the others.
struct InstanceStatus {
    std::string ip; ///< the ports are the same on all instances
    std::string zone;
    std::uint64_t incarnation = 0; ///< increases with each start of the instance
    InstanceRole role = InstanceRole::Standby;
    std::uint16_t capacity = 0; ///< CPU time that it may use, in thousandths of a core
    std::uint16_t load = 0; ///< CPU time in use, in thousandths of a core
    std::uint16_t requestRate = 0; ///< requests per second that it takes from callers
    Revision storeRevision{}; ///< newest revision in its copy of the store
    std::uint32_t storeAgeMs = 0; ///< time since its last response from the store
    std::uint32_t fleetStoreAgeMs = 0; ///< time since the last response of the store to any instance, as far as known
    std::uint32_t storeDigest = 0; ///< digest of its copy of the store
};

/// The known instances and their roles.
///
/// Only a few instances of each zone are active, so that each of them observes enough attempts at every upstream to
/// estimate its health; one more is a spare. There is no election: each instance derives its own role from the statuses
/// that it receives. While the views of two instances differ, one instance too many may be active.
class InstanceGroup
{
public:
    struct Timing {
        Milliseconds activeTimeout{900}; ///< time without a status after which an active or leaving instance is ignored
        Milliseconds memberTimeout{6000}; ///< the same for spare and standby instances
        Milliseconds discoveryTime{700}; ///< time after the start before the role is decided
        Milliseconds takeoverDelay{400}; ///< additional delay per rank before an instance becomes active
    };

    InstanceGroup(InstanceStatus self, Timing timing, TimePoint now);

    /// Records a status received from the instance itself.
    void receiveStatus(const InstanceStatus &status, TimePoint now);
    /// Records a status that another instance received `age` ago and passed on.
    void receiveRelayedStatus(const InstanceStatus &status, Milliseconds age, TimePoint now);
    /// Records that an instance did not respond to a request. If it is active, it is ignored until a newer status
    /// arrives.
    void markUnresponsive(const std::string &ip, TimePoint now);
    /// Updates and returns the role of this instance. `Leaving` is final.
    InstanceRole updateRole(TimePoint now);
    /// Sets the role to `Leaving`.
    void leave();

    InstanceStatus &self()
    {
        return m_self;
    }
    const InstanceStatus &self() const
    {
        return m_self;
    }
    /// Responsive active instances, including this one if it is active, ordered by rank. Of all zones if `zone` is
    /// empty.
    std::vector<InstanceStatus> activeInstances(const std::string &zone, TimePoint now) const;
    /// All other instances whose last status is younger than the member timeout.
    std::vector<InstanceStatus> members(TimePoint now) const;
    /// Time since the last status of a member; the member timeout if it is unknown.
    Milliseconds statusAge(const std::string &ip, TimePoint now) const;
    /// Addresses for callers in a zone: its active instances, otherwise its spares, otherwise active instances of other
    /// zones, otherwise this instance.
    std::vector<std::string> addressesFor(const std::string &zone, TimePoint now) const;
    /// Whether this instance reads the store for all instances. The reader is the first active instance by rank that
    /// has recently read it. Instances that are not active take over if the store has not responded to any instance for
    /// a while, since it may reject the active ones only.
    bool isStoreReader(Milliseconds fleetStoreAge, TimePoint now) const;

    /// Number of active instances that the zone of this instance needs.
    std::size_t targetActiveCount(TimePoint now) const;

private:
    struct Member {
        InstanceStatus status;
        TimePoint lastSeen;
    };

    bool isResponsive(const Member &member, TimePoint now) const;
    /// Responsive instances that are not leaving, including this one, ordered by rank. Of all zones if `zone` is empty.
    std::vector<InstanceStatus> rankedInstances(const std::string &zone, TimePoint now) const;
    InstanceRole chooseRole(const std::vector<InstanceStatus> &zoneMembers, TimePoint now);

    InstanceStatus m_self;
    Timing m_timing;
    TimePoint m_started;
    std::map<std::string, Member> m_members;
    std::optional<TimePoint> m_shortageSince; ///< when the zone began to have too few active instances
};

} // namespace laburnumspar
