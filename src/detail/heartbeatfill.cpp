#include "detail/heartbeatfill.h"

#include <utility>

namespace laburnumspar::detail {

namespace {

// Bytes of one published state. As much is kept free for those of others while records are added, so that each one
// fits.
constexpr std::size_t PublishedBytes = 300;
constexpr std::size_t MaxUrgentRecords = 24;
constexpr std::size_t MaxUpstreamsListed = 64;
constexpr std::size_t MaxPublishedStates = 16;
constexpr std::size_t MaxZonesListed = 32;
// Looks at this many members for published states; keeps the cost of a heartbeat fixed.
constexpr std::size_t SearchLimit = 64;
constexpr Milliseconds PublishedFresh{5000};
// An emptied state is passed on for a while, or others would keep the previous one.
constexpr Milliseconds EmptiedPassedOn{10000};

// A mark by the platform's list stays local; passed on, it would count as the member's own statement.
MemberState statedState(const Member &member)
{
    return member.state == MemberState::Leaving && !member.leaving ? MemberState::Alive : member.state;
}

bool worthPassingOn(const Member &member, double scale, TimePoint now)
{
    return member.contentAt && now - member.publishedAt < PublishedFresh * scale
        && now - *member.contentAt < EmptiedPassedOn * scale;
}

} // namespace

PublishedState trimmed(const PublishedState &own)
{
    PublishedState kept{own.id, own.incarnation, own.sequence, {}, {}};
    for (const auto &unreachable : own.unreachable) {
        kept.unreachable.push_back(unreachable);
        auto &upstreams = kept.unreachable.back().upstreams;
        upstreams.resize(std::min(upstreams.size(), MaxUpstreamsListed));
        while (encodedSize(kept) > PublishedBytes && !upstreams.empty()) {
            upstreams.pop_back();
        }
        if (upstreams.empty()) {
            kept.unreachable.pop_back();
            break;
        }
    }
    for (const auto &load : own.loads) {
        kept.loads.push_back(load);
        if (encodedSize(kept) > PublishedBytes) {
            kept.loads.pop_back();
            break;
        }
    }
    return kept;
}

HeartbeatFill::HeartbeatFill(const Envelope &envelope, Heartbeat base)
    : m_envelope(envelope)
    , m_heartbeat(std::move(base))
    , m_left(MaxDatagramBytes - encode(m_envelope, m_heartbeat).size())
{
    m_zones.insert(m_heartbeat.zone);
}

// Zone names are written once per heartbeat, with a byte for their length.
bool HeartbeatFill::add(
    const MemberList &list, const InstanceId &id, const Member &member, std::size_t reserve, TimePoint now)
{
    if (m_added.contains(&member)) {
        return true;
    }
    const bool newZone = !m_zones.contains(member.zone);
    MemberRecord record{id, member.callerAddress, member.zone, member.incarnation, member.sequence};
    record.state = statedState(member);
    record.seenDirectly = list.heardDirectly(member, now);
    const auto bytes = encodedSize(record) + (newZone ? 1 + member.zone.size() : 0);
    if (bytes + reserve > m_left || (newZone && m_zones.size() >= MaxZonesListed)) {
        return false;
    }
    m_left -= bytes;
    m_zones.insert(member.zone);
    m_added.insert(&member);
    m_heartbeat.members.push_back(std::move(record));
    return true;
}

void HeartbeatFill::addUrgent(MemberList &list, InstanceId &cursor, TimePoint now)
{
    auto &urgent = list.urgent();
    visitAfter(urgent, cursor, MaxUrgentRecords, [&](auto &entry) {
        const auto *member = list.find(entry.first);
        if (member == nullptr || member->state == MemberState::Dead) {
            entry.second = 0;
            return true;
        }
        if (!add(list, entry.first, *member, PublishedBytes, now)) {
            return false;
        }
        --entry.second;
        return true;
    });
    std::erase_if(urgent, [](const auto &entry) { return entry.second == 0; });
}

void HeartbeatFill::addRecords(const MemberList &list, InstanceId &cursor, std::size_t reserve, TimePoint now)
{
    visitAfter(list.members(), cursor, list.members().size(), [&](const auto &entry) {
        return entry.second.state == MemberState::Dead || add(list, entry.first, entry.second, reserve, now);
    });
}

void HeartbeatFill::addPublished(const MemberList &list, InstanceId &cursor, TimePoint now)
{
    visitAfter(list.members(), cursor, SearchLimit, [&](const auto &entry) {
        const auto &member = entry.second;
        if (!worthPassingOn(member, list.timeScale(), now)) {
            return true;
        }
        PublishedState state{
            entry.first, member.incarnation, member.publishedSequence, member.loads, member.unreachable};
        const auto bytes = encodedSize(state);
        if (bytes > m_left || m_heartbeat.published.size() >= MaxPublishedStates) {
            return false;
        }
        m_left -= bytes;
        m_heartbeat.published.push_back(std::move(state));
        return true;
    });
}

void HeartbeatFill::fill(MemberList &list, const InstanceId &receiver, FillCursors &cursors, TimePoint now)
{
    if (const auto *member = list.find(receiver)) {
        add(list, receiver, *member, 0, now);
    }
    addUrgent(list, cursors.urgent, now);
    addRecords(list, cursors.records, PublishedBytes, now);
    addPublished(list, cursors.published, now);
    addRecords(list, cursors.records, 0, now);
}

std::vector<std::uint8_t> HeartbeatFill::encoded() const
{
    return encode(m_envelope, m_heartbeat);
}

} // namespace laburnumspar::detail
