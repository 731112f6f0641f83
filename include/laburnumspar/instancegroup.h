#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar {

/// What an instance does at present.
enum class InstanceRole : std::uint8_t {
    Standby, ///< not named to callers
    Spare, ///< the first to take over
    Active, ///< named to callers
    Leaving, ///< finishes what it has
};

template <>
struct EnumNames<InstanceRole> {
    static constexpr std::array<std::string_view, 4> Names{"standby", "spare", "active", "leaving"};
};

/// What an instance tells the others of itself.
struct InstanceStatus {
    std::string ip; ///< ports are the same on all instances
    std::string zone;
    std::uint64_t incarnation = 0; ///< rises with each start
    InstanceRole role = InstanceRole::Standby;
    std::uint16_t capacity = 0; ///< processor time that it may use, in thousandths of a core
    std::uint16_t load = 0; ///< processor time in use, in thousandths of a core
    std::uint64_t storeRevision = 0; ///< newest change that it knows
    std::uint32_t storeAgeMs = 0; ///< time since the store last answered it
    std::uint32_t fleetStoreAgeMs = 0; ///< time since the store last answered any instance, as far as it knows
    std::uint32_t storeDigest = 0; ///< equal where two instances know the same
};

/// The instances that this one knows, and the part that each of them plays.
///
/// A few instances of each zone are active, so that each of them sees enough of every upstream to judge it; one more
/// is a spare. There is no election: each instance derives its own role from the instances that it hears. Two views
/// that differ cost one active instance too many for a while.
class InstanceGroup
{
public:
    struct Timing {
        Milliseconds activeTimeout{900}; ///< an active instance that is silent for longer is passed over
        Milliseconds memberTimeout{6000}; ///< the same for others
        Milliseconds discoveryTime{700}; ///< time after the start in which others are looked for
        Milliseconds takeoverDelay{400}; ///< the next in rank waits so much longer before it takes over
    };

    InstanceGroup(InstanceStatus self, Timing timing, TimePoint now);

    /// Heard from an instance itself.
    void receiveStatus(const InstanceStatus &status, TimePoint now);
    /// Heard of an instance from another one, `age` ago.
    void receiveRelayedStatus(const InstanceStatus &status, Milliseconds age, TimePoint now);
    /// An instance that was asked did not answer.
    void markUnresponsive(const std::string &ip, TimePoint now);
    /// Decides the own role. Never leaves `Leaving`.
    InstanceRole updateRole(TimePoint now);
    void leave();

    InstanceStatus &self()
    {
        return m_self;
    }
    const InstanceStatus &self() const
    {
        return m_self;
    }
    /// Active instances which are heard; of one zone unless that is empty. Contains this one if it is active.
    std::vector<InstanceStatus> activeInstances(const std::string &zone, TimePoint now) const;
    /// All instances that are believed to live, without this one.
    std::vector<InstanceStatus> members(TimePoint now) const;
    /// Age of what is known of a member.
    Milliseconds statusAge(const std::string &ip, TimePoint now) const;
    /// Addresses for callers in a zone, by preference: active ones there, spares there, active ones elsewhere.
    std::vector<std::string> addressesFor(const std::string &zone, TimePoint now) const;
    /// Whether this instance reads the store for all: the first active one by rank that has read it lately. Others
    /// stand in when no instance has had news of the store for a while, since it may turn away just the active ones.
    bool isStoreReader(Milliseconds fleetStoreAge, TimePoint now) const;

    /// Number of active instances that the own zone needs.
    std::size_t targetActiveCount(TimePoint now) const;

private:
    struct Member {
        InstanceStatus status;
        TimePoint heard;
    };

    bool isHeard(const Member &member, TimePoint now) const;
    /// Members and this one, the preferred ones first.
    std::vector<InstanceStatus> ranked(const std::string &zone, TimePoint now) const;
    InstanceRole roleOf(const std::vector<InstanceStatus> &zoneMembers, TimePoint now);

    InstanceStatus m_self;
    Timing m_timing;
    TimePoint m_started;
    std::map<std::string, Member> m_members;
    std::optional<TimePoint> m_shortSince; ///< since when the zone has too few active instances
};

} // namespace laburnumspar
