#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/storemirror.h"

namespace laburnumspar::detail {

/// Chooses the instance from which this one pulls changes of the store. Performs no I/O. Not thread-safe.
class PullSource
{
public:
    PullSource(std::string ip, std::string zone, const InstanceGroup &group, const StoreMirror &mirror);

    /// Returns the instance to pull newer changes from, or null. Traffic between availability zones is expensive, so
    /// only active instances pull from another zone at once; the others first wait for an active instance of their own
    /// zone.
    const InstanceStatus *newer(TimePoint now);
    /// Returns an active instance whose copy of the store has differed from this one for some time although it is not
    /// newer, or null. Finds changes that the revision does not show: those that were delayed, or whose revision is
    /// older than the newest one known here. Skips instances that only lag behind a changing store. Considers the
    /// instances that were known at the last call of newer().
    const InstanceStatus *differing(TimePoint now);

    /// Whether another instance has newer changes.
    bool isBehind(TimePoint now) const;
    /// Records whether an instance has answered a pull. One that has not is chosen only if no other one has newer
    /// changes, until some time has passed.
    void recordAnswer(const std::string &ip, bool answered, TimePoint now);
    /// Records that an instance has answered a pull with something unusable. It is not chosen until some time has
    /// passed, also if no other one has newer changes.
    void recordRejection(const std::string &ip, TimePoint now);
    bool isAvoided(const std::string &ip, TimePoint now) const;

private:
    /// State of another instance's copy of the store when it was first seen to differ.
    struct Difference {
        Revision revision;
        std::uint64_t digest = 0;
        bool sameRevision = false; ///< at the revision of this instance, so the difference is not a lag
        TimePoint since;
    };

    const InstanceStatus *newest(bool ownZoneOnly, TimePoint now) const;
    bool isRejected(const std::string &ip, TimePoint now) const;

    std::string m_ip;
    std::string m_zone;
    const InstanceGroup &m_group;
    const StoreMirror &m_mirror;
    std::vector<InstanceStatus> m_peers;
    std::map<std::string, Difference>
        m_differences; ///< by address: active instances whose copy differs but is not newer
    std::map<std::string, TimePoint> m_avoidedUntil; ///< by address: instances that did not answer a pull
    std::map<std::string, TimePoint> m_rejectedUntil; ///< by address: instances whose answers were unusable
    std::optional<TimePoint> m_otherZoneNewerSince; ///< since when only other zones have newer changes
};

} // namespace laburnumspar::detail
