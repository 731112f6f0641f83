#include "detail/memberlist.h"

#include <bit>
#include <iterator>

namespace laburnumspar::detail {

namespace {

constexpr std::size_t MaxMembers = 8192;
constexpr std::size_t MaxChanges = 1024;
// Dead members are contacted for this long, so that the sides of a network partition find each other again.
constexpr std::chrono::hours DeadRetention{1};
// Every instance that learns of a change sends it log2(fleet size) times this factor. A gossip protocol reaches all
// members with about a third of that if no datagram is lost.
constexpr unsigned RetransmitMultiplier = 3;
// A member sends to each other member once per round; two and a half rounds tolerate one lost datagram.
constexpr double RoundsPerTimeout = 2.5;
constexpr Milliseconds MinDirectTimeout{3000};

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

double MemberList::timeoutScale() const
{
    return std::max(1.0, static_cast<double>(m_liveCount + 1) / MaxUnscaledMembers);
}

Milliseconds MemberList::directTimeout() const
{
    const auto periodsPerRound = (m_liveCount + Fanout - 1) / Fanout;
    const auto rounds = static_cast<double>(periodsPerRound) * RoundsPerTimeout;
    return std::max(MinDirectTimeout, std::chrono::duration_cast<Milliseconds>(m_period * rounds));
}

MemberState MemberList::computeState(const Member &member, TimePoint now) const
{
    const auto scale = timeoutScale();
    if (now - member.lastSeenAt >= DeadAfter * scale) {
        return MemberState::Dead;
    }
    if (member.leaving || member.listedLeaving) {
        return MemberState::Leaving;
    }
    return now - member.lastSeenAt >= SuspectAfter * scale ? MemberState::Suspect : MemberState::Alive;
}

void MemberList::updateState(const InstanceId &id, Member &member, TimePoint now)
{
    const auto state = computeState(member, now);
    if (state == member.state) {
        return;
    }
    if (member.state == MemberState::Dead) {
        ++m_liveCount;
    } else if (state == MemberState::Dead) {
        --m_liveCount;
    }
    if (member.state == MemberState::Dead || state == MemberState::Leaving) {
        queueUpdate(id);
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
        updateState(it->first, it->second, now);
        const bool expired = it->second.state == MemberState::Dead && now - it->second.lastSeenAt > DeadRetention;
        m_revision += expired ? 1 : 0;
        it = expired ? m_members.erase(it) : std::next(it);
    }
}

void MemberList::shiftTimes(TimePoint from, TimePoint to)
{
    for (auto &[id, member] : m_members) {
        if (member.lastSeenAt <= from) {
            member.lastSeenAt += to - from;
        }
        if (member.lastDirectAt && *member.lastDirectAt <= from) {
            *member.lastDirectAt += to - from;
        }
    }
}

void MemberList::queueUpdate(const InstanceId &id)
{
    m_pendingUpdates[id] = RetransmitMultiplier * static_cast<unsigned>(std::bit_width(m_members.size() + 1));
}

void MemberList::startIncarnation(const InstanceId &id, Member &member, std::uint64_t incarnation)
{
    const auto state = member.state;
    const auto lastSeenAt = member.lastSeenAt;
    member = Member();
    member.state = state;
    member.lastSeenAt = lastSeenAt;
    member.incarnation = incarnation;
    queueUpdate(id);
    ++m_revision;
}

void MemberList::updateAttributes(const InstanceId &id,
                                  Member &member,
                                  const std::string &zone,
                                  const Endpoint &callerAddress)
{
    const bool sameAddress = callerAddress == Endpoint() || callerAddress == member.callerAddress;
    if (member.zone == zone && sameAddress) {
        return;
    }
    member.zone = zone;
    if (!sameAddress) {
        member.callerAddress = callerAddress;
    }
    queueUpdate(id);
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
    member.lastDirectAt = now;
    member.leaving = member.leaving || heartbeat.state == MemberState::Leaving;
    member.settingsHash = heartbeat.settings.hash;
    updateAttributes(envelope.sender, member, heartbeat.zone, heartbeat.callerAddress);
    updateState(envelope.sender, member, now);
}

bool MemberList::applyRecord(const MemberRecord &record, TimePoint now)
{
    auto *member = find(record.id);
    const bool unknown = member == nullptr;
    // A record of a dead member, or of one that was never seen, is no evidence that the member is alive.
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
        const auto suspectSince = now - std::chrono::duration_cast<Clock::duration>(SuspectAfter * timeoutScale());
        const auto lastSeenAt = record.state == MemberState::Suspect ? suspectSince : now;
        member->lastSeenAt = unknown ? lastSeenAt : std::max(member->lastSeenAt, lastSeenAt);
        updateAttributes(record.id, *member, record.zone, record.callerAddress);
    }
    if (record.incarnation == member->incarnation && record.state == MemberState::Leaving) {
        member->leaving = true;
    }
    updateState(record.id, *member, now);
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
        member->lastNonEmptyAt = now;
    }
}

void MemberList::setListedLeaving(const InstanceId &id, bool leaving, TimePoint now)
{
    if (auto *member = find(id)) {
        member->listedLeaving = leaving;
        updateState(id, *member, now);
    }
}

std::vector<MemberChange> MemberList::takeChanges()
{
    std::vector<MemberChange> changes(m_changes.begin(), m_changes.end());
    m_changes.clear();
    return changes;
}

} // namespace laburnumspar::detail
