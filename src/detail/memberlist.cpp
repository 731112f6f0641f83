#include "detail/memberlist.h"

#include <bit>
#include <iterator>

namespace laburnumspar::detail {

namespace {

constexpr std::size_t MaxMembers = 8192;
constexpr std::size_t MaxChanges = 1024;
// Dead members are contacted for this long, so that the sides of a partition find each other again.
constexpr std::chrono::hours DeadKeptFor{1};
// A change is sent first by every instance that learns it, about three times as often as an epidemic needs to
// reach all members without losses.
constexpr unsigned UrgentRounds = 3;
// A member is contacted once per round; two and a half rounds allow for one lost datagram.
constexpr double RoundsPerWindow = 2.5;
constexpr Milliseconds MinDirectWindow{3000};

} // namespace

MemberList::MemberList(Milliseconds period)
    : m_period(period)
{
}

Member *MemberList::find(const InstanceId &id)
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

const Member *MemberList::find(const InstanceId &id) const
{
    const auto it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

Member *MemberList::insert(const InstanceId &id, TimePoint now)
{
    if (m_members.size() >= MaxMembers) {
        return nullptr;
    }
    auto &member = m_members[id];
    member.lastSeenAt = now;
    return &member;
}

double MemberList::timeScale() const
{
    return std::max(1.0, static_cast<double>(m_liveCount + 1) / CellMembers);
}

Milliseconds MemberList::directWindow() const
{
    const auto periodsPerRound = (m_liveCount + Fanout - 1) / Fanout;
    const auto rounds = static_cast<double>(periodsPerRound) * RoundsPerWindow;
    return std::max(MinDirectWindow, std::chrono::duration_cast<Milliseconds>(m_period * rounds));
}

MemberState MemberList::stateOf(const Member &member, TimePoint now) const
{
    const auto scale = timeScale();
    if (now - member.lastSeenAt >= DeadAfter * scale) {
        return MemberState::Dead;
    }
    if (member.leaving || member.hintedLeaving) {
        return MemberState::Leaving;
    }
    return now - member.lastSeenAt >= SuspectAfter * scale ? MemberState::Suspect : MemberState::Alive;
}

void MemberList::evaluate(const InstanceId &id, Member &member, TimePoint now)
{
    const auto state = stateOf(member, now);
    if (state == member.state) {
        return;
    }
    if (member.state == MemberState::Dead) {
        ++m_liveCount;
    } else if (state == MemberState::Dead) {
        --m_liveCount;
    }
    if (member.state == MemberState::Dead || state == MemberState::Leaving) {
        markUrgent(id);
    }
    m_changes.push_back({id, member.state, state, now});
    if (m_changes.size() > MaxChanges) {
        m_changes.pop_front();
    }
    member.state = state;
    ++m_revision;
}

void MemberList::sweep(TimePoint now)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        evaluate(it->first, it->second, now);
        const bool expired = it->second.state == MemberState::Dead && now - it->second.lastSeenAt > DeadKeptFor;
        it = expired ? m_members.erase(it) : std::next(it);
    }
}

void MemberList::shift(TimePoint from, TimePoint to)
{
    for (auto &[id, member] : m_members) {
        if (member.lastSeenAt <= from) {
            member.lastSeenAt += to - from;
        }
        if (member.directAt && *member.directAt <= from) {
            *member.directAt += to - from;
        }
    }
}

void MemberList::markUrgent(const InstanceId &id)
{
    m_urgent[id] = UrgentRounds * static_cast<unsigned>(std::bit_width(m_members.size() + 1));
}

void MemberList::startIncarnation(const InstanceId &id, Member &member, std::uint64_t incarnation)
{
    const auto state = member.state;
    const auto lastSeenAt = member.lastSeenAt;
    member = Member();
    member.state = state;
    member.lastSeenAt = lastSeenAt;
    member.incarnation = incarnation;
    markUrgent(id);
    ++m_revision;
}

void MemberList::describe(const InstanceId &id, Member &member, const std::string &zone, const Endpoint &callerAddress)
{
    const bool known = callerAddress == Endpoint() || callerAddress == member.callerAddress;
    if (member.zone == zone && known) {
        return;
    }
    member.zone = zone;
    if (!known) {
        member.callerAddress = callerAddress;
    }
    markUrgent(id);
    ++m_revision;
}

void MemberList::applyDirect(Member &member, const Envelope &envelope, const Heartbeat &heartbeat, TimePoint now)
{
    if (envelope.incarnation > member.incarnation) {
        startIncarnation(envelope.sender, member, envelope.incarnation);
    }
    const auto sequence = static_cast<std::uint32_t>(envelope.sequence);
    member.directSequence = sequence;
    member.sequence = std::max(member.sequence, sequence);
    member.lastSeenAt = now;
    member.directAt = now;
    member.leaving = member.leaving || heartbeat.state == MemberState::Leaving;
    member.settingsHash = heartbeat.settings.hash;
    describe(envelope.sender, member, heartbeat.zone, heartbeat.callerAddress);
    evaluate(envelope.sender, member, now);
}

bool MemberList::applyRecord(const MemberRecord &record, TimePoint now)
{
    auto *member = find(record.id);
    const bool unknown = member == nullptr;
    // The sender has given the member up, or would do so soon: no reason to believe that it is alive.
    if (record.state == MemberState::Dead || record.incarnation == 0
        || (unknown && !(member = insert(record.id, now)))) {
        return false;
    }
    const bool newer = record.incarnation > member->incarnation
        || (record.incarnation == member->incarnation && record.sequence > member->sequence);
    if (record.incarnation > member->incarnation) {
        startIncarnation(record.id, *member, record.incarnation);
    }
    if (newer) {
        member->sequence = record.sequence;
        const auto suspectSince = now - std::chrono::duration_cast<Clock::duration>(SuspectAfter * timeScale());
        const auto lastSeenAt = record.state == MemberState::Suspect ? suspectSince : now;
        member->lastSeenAt = unknown ? lastSeenAt : std::max(member->lastSeenAt, lastSeenAt);
        describe(record.id, *member, record.zone, record.callerAddress);
    }
    if (record.incarnation == member->incarnation && record.state == MemberState::Leaving) {
        member->leaving = true;
    }
    evaluate(record.id, *member, now);
    return unknown;
}

void MemberList::applyPublished(const PublishedState &state, TimePoint now)
{
    auto *member = find(state.id);
    if (member == nullptr || state.incarnation != member->incarnation || state.sequence <= member->publishedSequence) {
        return;
    }
    member->publishedSequence = state.sequence;
    member->publishedAt = now;
    member->loads = state.loads;
    member->unreachable = state.unreachable;
    if (!state.loads.empty() || !state.unreachable.empty()) {
        member->contentAt = now;
    }
}

void MemberList::setHintedLeaving(const InstanceId &id, bool leaving, TimePoint now)
{
    if (auto *member = find(id)) {
        member->hintedLeaving = leaving;
        evaluate(id, *member, now);
    }
}

std::vector<MemberChange> MemberList::takeChanges()
{
    std::vector<MemberChange> changes(m_changes.begin(), m_changes.end());
    m_changes.clear();
    return changes;
}

} // namespace laburnumspar::detail
