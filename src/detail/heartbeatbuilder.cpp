#include "detail/heartbeatbuilder.h"

#include <utility>

namespace laburnumspar::detail {

namespace {

// Maximum size of one published state in bytes. Records leave this much space, so that at least one published state of
// another member fits.
constexpr std::size_t MaxPublishedStateBytes = 300;
constexpr std::size_t MaxUpdateRecords = 24;
constexpr std::size_t MaxUpstreamsListed = 64;
constexpr std::size_t MaxStatesPerHeartbeat = 16;
constexpr std::size_t MaxZonesPerHeartbeat = 32;
// Members examined for published states; bounds the cost of a heartbeat.
constexpr std::size_t SearchLimit = 64;
constexpr Milliseconds MaxPublishedAge{5000};
// A state that has become empty is relayed for this long, as other members would otherwise keep the previous one.
constexpr Milliseconds ClearedStateRelayTime{10000};

// `Leaving` from the platform's list stays local: if relayed, peers would take it for an announcement by the member.
MemberState reportedState(const Member &member)
{
    return member.state == MemberState::Leaving && !member.leaving ? MemberState::Alive : member.state;
}

bool shouldRelay(const Member &member, double scale, TimePoint now)
{
    return member.lastNonEmptyAt && now - member.publishedAt < MaxPublishedAge * scale
        && now - *member.lastNonEmptyAt < ClearedStateRelayTime * scale;
}

} // namespace

PublishedState trimmed(const PublishedState &own)
{
    PublishedState result{own.id, own.incarnation, own.sequence, {}, {}};
    for (const auto &unreachable : own.unreachable) {
        result.unreachable.push_back(unreachable);
        auto &upstreams = result.unreachable.back().upstreams;
        upstreams.resize(std::min(upstreams.size(), MaxUpstreamsListed));
        while (encodedSize(result) > MaxPublishedStateBytes && !upstreams.empty()) {
            upstreams.pop_back();
        }
        if (upstreams.empty()) {
            result.unreachable.pop_back();
            break;
        }
    }
    for (const auto &load : own.loads) {
        result.loads.push_back(load);
        if (encodedSize(result) > MaxPublishedStateBytes) {
            result.loads.pop_back();
            break;
        }
    }
    return result;
}

HeartbeatBuilder::HeartbeatBuilder(const Envelope &envelope, Heartbeat base)
    : m_envelope(envelope)
    , m_heartbeat(std::move(base))
    , m_remaining(MaxDatagramBytes - encode(m_envelope, m_heartbeat).size())
{
    m_zones.insert(m_heartbeat.zone);
}

// The encoding stores each zone name once per heartbeat, preceded by its length in one byte.
bool HeartbeatBuilder::add(
    const MemberList &list, const InstanceId &id, const Member &member, std::size_t reserve, TimePoint now)
{
    if (m_added.contains(&member)) {
        return true;
    }
    const bool newZone = !m_zones.contains(member.zone);
    MemberRecord record{id, member.callerAddress, member.zone, member.incarnation, member.sequence};
    record.state = reportedState(member);
    record.seenDirectly = list.seenDirectly(member, now);
    const auto bytes = encodedSize(record) + (newZone ? 1 + member.zone.size() : 0);
    if (bytes + reserve > m_remaining || (newZone && m_zones.size() >= MaxZonesPerHeartbeat)) {
        return false;
    }
    m_remaining -= bytes;
    m_zones.insert(member.zone);
    m_added.insert(&member);
    m_heartbeat.members.push_back(std::move(record));
    return true;
}

void HeartbeatBuilder::addUpdates(MemberList &list, InstanceId &cursor, TimePoint now)
{
    auto &updates = list.pendingUpdates();
    visitAfter(updates, cursor, MaxUpdateRecords, [&](auto &entry) {
        const auto *member = list.find(entry.first);
        if (member == nullptr || member->state == MemberState::Dead) {
            entry.second = 0;
            return true;
        }
        if (!add(list, entry.first, *member, MaxPublishedStateBytes, now)) {
            return false;
        }
        --entry.second;
        return true;
    });
    std::erase_if(updates, [](const auto &entry) { return entry.second == 0; });
}

void HeartbeatBuilder::addRecords(const MemberList &list, InstanceId &cursor, std::size_t reserve, TimePoint now)
{
    visitAfter(list.members(), cursor, list.members().size(), [&](const auto &entry) {
        return entry.second.state == MemberState::Dead || add(list, entry.first, entry.second, reserve, now);
    });
}

void HeartbeatBuilder::addPublished(const MemberList &list, InstanceId &cursor, TimePoint now)
{
    visitAfter(list.members(), cursor, SearchLimit, [&](const auto &entry) {
        const auto &member = entry.second;
        if (!shouldRelay(member, list.timeoutScale(), now)) {
            return true;
        }
        PublishedState state{
            entry.first, member.incarnation, member.publishedSequence, member.loads, member.unreachable};
        const auto bytes = encodedSize(state);
        if (bytes > m_remaining || m_heartbeat.published.size() >= MaxStatesPerHeartbeat) {
            return false;
        }
        m_remaining -= bytes;
        m_heartbeat.published.push_back(std::move(state));
        return true;
    });
}

void HeartbeatBuilder::fill(MemberList &list, const InstanceId &receiver, HeartbeatCursors &cursors, TimePoint now)
{
    if (const auto *member = list.find(receiver)) {
        add(list, receiver, *member, 0, now);
    }
    addUpdates(list, cursors.updates, now);
    addRecords(list, cursors.records, MaxPublishedStateBytes, now);
    addPublished(list, cursors.published, now);
    addRecords(list, cursors.records, 0, now);
}

std::vector<std::uint8_t> HeartbeatBuilder::encoded() const
{
    return encode(m_envelope, m_heartbeat);
}

} // namespace laburnumspar::detail
