#pragma once

#include "laburnumspar/membership.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Heartbeats that an instance sends each period.
inline constexpr std::size_t Fanout = 2;
/// A cell has at most this many members. Beyond, one datagram no longer holds all records, news of a member come more
/// rarely, and the times grow in proportion.
inline constexpr std::size_t CellMembers = 40;
inline constexpr Milliseconds SuspectAfter{2000};
inline constexpr Milliseconds DeadAfter{6000};

struct Member {
    Endpoint callerAddress;
    std::string zone;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0; ///< newest heartbeat known, also through others
    std::uint32_t directSequence = 0; ///< newest heartbeat received from the member itself
    MemberState state = MemberState::Dead;
    bool leaving = false; ///< stated by the member
    bool hintedLeaving = false; ///< stated by the platform's list
    bool hearsSelf = false; ///< stated by the member: it hears this instance directly
    TimePoint lastSeenAt;
    std::optional<TimePoint> directAt; ///< last heartbeat from the member itself
    std::uint64_t settingsHash = 0;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;
    std::uint32_t publishedSequence = 0; ///< heartbeat with which loads and unreachable were stated
    TimePoint publishedAt;
    std::optional<TimePoint> contentAt; ///< when loads or unreachable were last not empty
};

using Members = std::map<InstanceId, Member>;

/// Visits up to `limit` entries cyclically, starting after the cursor; stops before the first one for which `visit`
/// returns false, and leaves the cursor at the last one visited.
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

/// The other members, their states, and the news to pass on ahead of the rotation.
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
    /// Null if the table is full.
    Member *insert(const InstanceId &id, TimePoint now);

    /// A heartbeat of the member itself; the caller has checked incarnation and sequence.
    void applyDirect(Member &member, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now);
    /// What a peer knows of another member; true if the member was unknown.
    bool applyRecord(const MemberRecord &record, TimePoint now);
    void applyPublished(const PublishedState &state, TimePoint now);

    /// Marks a known member, until it restarts.
    void setHintedLeaving(const InstanceId &id, bool leaving, TimePoint now);

    /// Re-evaluates all states; drops dead members after an hour.
    void sweep(TimePoint now);
    void evaluate(const InstanceId &id, Member &member, TimePoint now);
    /// Moves the times of the last news, as nothing could be heard in between.
    void shift(TimePoint from, TimePoint to);

    /// Members that are not dead.
    std::size_t liveCount() const
    {
        return m_liveCount;
    }
    /// Members are suspect and dead after multiples of their times by this factor.
    double timeScale() const;
    /// Longest time between two heartbeats of a member that hears this instance and is heard.
    Milliseconds directWindow() const;
    bool heardDirectly(const Member &member, TimePoint now) const
    {
        return member.directAt && now - *member.directAt <= directWindow();
    }

    /// Members with news, and how often these are still to be sent.
    std::map<InstanceId, unsigned> &urgent()
    {
        return m_urgent;
    }
    void markUrgent(const InstanceId &id);
    std::uint64_t revision() const
    {
        return m_revision;
    }
    std::vector<MemberChange> takeChanges();

private:
    MemberState stateOf(const Member &member, TimePoint now) const;
    void startIncarnation(const InstanceId &id, Member &member, std::uint64_t incarnation);
    void describe(const InstanceId &id, Member &member, const std::string &zone, const Endpoint &callerAddress);

    Milliseconds m_period;
    Members m_members;
    std::size_t m_liveCount = 0;
    std::map<InstanceId, unsigned> m_urgent;
    std::uint64_t m_revision = 0;
    std::deque<MemberChange> m_changes;
};

} // namespace laburnumspar::detail
