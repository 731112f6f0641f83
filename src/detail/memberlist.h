#pragma once

#include "laburnumspar/membership.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Number of heartbeats that an instance sends per period.
inline constexpr std::size_t Fanout = 2;
/// Fleet size up to which timeouts apply unscaled. In a larger fleet one datagram does not hold all records, so
/// updates about a member arrive less often and timeouts grow in proportion to the number of members.
inline constexpr std::size_t MaxUnscaledMembers = 40;
/// Time without a newer heartbeat after which a member becomes suspect or dead, before scaling.
inline constexpr Milliseconds SuspectAfter{2000};
inline constexpr Milliseconds DeadAfter{6000};

/// State kept about one other member.
struct Member {
    Endpoint callerAddress;
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0; ///< of the newest known heartbeat, received or reported by a peer
    std::uint32_t directSequence = 0; ///< of the newest heartbeat received from the member itself
    MemberState state = MemberState::Dead;
    bool leaving = false; ///< announced by the member
    bool listedLeaving = false; ///< according to the platform's list
    bool seesSelf = false; ///< the member reports that it receives heartbeats of this instance directly
    TimePoint lastSeenAt; ///< when a newer heartbeat was last received or reported by a peer
    std::optional<TimePoint> lastDirectAt; ///< when a heartbeat of the member itself was last received
    std::uint64_t settingsHash = 0;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;
    std::uint32_t publishedSequence = 0; ///< of the heartbeat that carried loads and unreachable
    TimePoint publishedAt; ///< when loads and unreachable were last updated
    std::optional<TimePoint> lastNonEmptyAt; ///< when loads or unreachable were last not empty
};

using Members = std::map<InstanceId, Member>;

/// Visits up to `limit` entries cyclically, starting after `cursor`. Stops when `visit` returns false. Sets the cursor
/// to the last entry for which it returned true.
template <typename Map, typename Visit>
void visitAfter(Map &map, InstanceId &cursor, std::size_t limit, Visit visit)
{
    auto it = map.upper_bound(cursor);
    for (auto n = std::min(limit, map.size()); n > 0; --n) {
        if (it == map.end()) {
            it = map.begin();
        }
        if (!visit(*it)) {
            return;
        }
        cursor = it->first;
        ++it;
    }
}

/// The other members with their states, and the updates to send ahead of the rotation over all records.
class MemberList
{
public:
    explicit MemberList(Milliseconds period);

    const Members &members() const
    {
        return m_members;
    }
    Member *find(const InstanceId &id);
    const Member *find(const InstanceId &id) const;
    /// Adds a member; returns nullptr if the table is full.
    Member *insert(const InstanceId &id, TimePoint now);

    /// Applies a heartbeat of the member itself. The caller has validated incarnation and sequence number.
    void applyDirect(Member &member, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now);
    /// Applies a peer's record of another member; returns true if the member was unknown and has been added.
    bool applyRecord(const MemberRecord &record, TimePoint now);
    /// Applies a published state unless a newer one of the same incarnation is known.
    void applyPublished(const PublishedState &state, TimePoint now);

    /// Sets whether a known member counts as leaving; a restart of the member clears it.
    void setListedLeaving(const InstanceId &id, bool leaving, TimePoint now);

    /// Updates the states of all members, and removes members that have been dead for an hour.
    void sweep(TimePoint now);
    /// Recomputes the state of the member and records a change.
    void updateState(const InstanceId &id, Member &member, TimePoint now);
    /// Moves earlier reception times forward by a pause, during which no heartbeat could be received.
    void shiftTimes(TimePoint from, TimePoint to);

    /// Members that are not dead.
    std::size_t liveCount() const
    {
        return m_liveCount;
    }
    /// Factor for SuspectAfter and DeadAfter; 1 up to MaxUnscaledMembers.
    double timeoutScale() const;
    /// Time without a heartbeat of the member itself after which the link from it counts as broken.
    Milliseconds directTimeout() const;
    /// Whether a heartbeat of the member itself was received within directTimeout().
    bool seenDirectly(const Member &member, TimePoint now) const
    {
        return member.lastDirectAt && now - *member.lastDirectAt <= directTimeout();
    }

    /// Members whose changed records are sent first, and in how many more heartbeats.
    std::map<InstanceId, unsigned> &pendingUpdates()
    {
        return m_pendingUpdates;
    }
    /// Marks the record of the member as changed.
    void queueUpdate(const InstanceId &id);
    std::uint64_t revision() const
    {
        return m_revision;
    }
    std::vector<MemberChange> takeChanges();

private:
    MemberState computeState(const Member &member, TimePoint now) const;
    void startIncarnation(const InstanceId &id, Member &member, std::uint64_t incarnation);
    void updateAttributes(const InstanceId &id, Member &member, const std::string &zone, const Endpoint &callerAddress);

    Milliseconds m_period;
    Members m_members;
    std::size_t m_liveCount = 0;
    std::map<InstanceId, unsigned> m_pendingUpdates;
    std::uint64_t m_revision = 0;
    std::deque<MemberChange> m_changes;
};

} // namespace laburnumspar::detail
