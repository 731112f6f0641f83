#include "detail/membershipcore.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumspar::detail {

namespace {

// A longer gap since the last tick counts as a pause of the process.
constexpr Milliseconds PauseThreshold{1000};
// The view may be out of date if no heartbeat was received for this long.
constexpr Milliseconds ViewTimeout{2000};
// A heartbeat further behind the newest known one than this (2 s) is a replay rather than reordered by the network.
constexpr std::uint64_t ReorderWindow = 16;
// Maximum size in bytes and maximum number of the settings versions in one heartbeat.
constexpr std::size_t MaxSettingsWindowBytes = 160;
constexpr std::size_t MaxSettingsWindowEntries = 4;
constexpr std::uint64_t MaxSequence = std::numeric_limits<std::uint32_t>::max();

} // namespace

MembershipCore::MembershipCore(MembershipParameters parameters)
    : m_parameters(std::move(parameters))
    , m_list(m_parameters.period)
    , m_peerSelector(m_parameters.self, m_parameters.seeds, m_parameters.randomSeed)
{
    // Throws now, and not at the first tick, if an address or the zone cannot be encoded.
    encode({self(), incarnation(), 1}, baseHeartbeat());
}

MemberState MembershipCore::ownState() const
{
    return m_leaving ? MemberState::Leaving : MemberState::Alive;
}

void MembershipCore::leave()
{
    m_ownRevision += m_leaving ? 0 : 1;
    m_leaving = true;
}

void MembershipCore::recordPause(TimePoint from, TimePoint to)
{
    // The caller and a late tick may report the same pause with slightly different times.
    const bool overlaps = from < m_pauseRecordedUntil;
    from = std::max(from, m_pauseRecordedUntil);
    if (from >= to || (overlaps && to - from < PauseThreshold)) {
        return;
    }
    m_list.shiftTimes(from, to);
    m_pauseRecordedUntil = to;
    m_lastRunAt = to;
    m_awaitedSequence = m_sequence + 1;
    ++m_counters.pauses;
}

void MembershipCore::recordPauseIfLate(TimePoint now)
{
    if (m_lastRunAt && now - *m_lastRunAt > PauseThreshold) {
        recordPause(*m_lastRunAt, now);
    }
}

std::vector<Datagram> MembershipCore::tick(TimePoint now)
{
    recordPauseIfLate(now);
    m_lastRunAt = now;
    if (now < m_nextTick) {
        return {};
    }
    // Timers have jitter: requiring a full period would skip ticks that come slightly early.
    m_nextTick = now + m_parameters.period * 3 / 4;
    m_list.sweep(now);
    std::vector<Datagram> datagrams;
    for (const auto &receiver : m_peerSelector.select(m_list.members())) {
        datagrams.push_back(makeHeartbeat(receiver, now));
        ++m_counters.sent;
        m_counters.sentBytes += datagrams.back().bytes.size();
    }
    return datagrams;
}

void MembershipCore::publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable)
{
    PublishedState state{self(), incarnation(), 0, std::move(loads), std::move(unreachable)};
    trimmed(state); // throws if the state cannot be encoded, before anything is changed
    m_published = std::move(state);
}

void MembershipCore::publishSettings(std::vector<SettingsVersion> versions)
{
    for (const auto &version : versions) {
        encodedSize(version); // throws if the version cannot be encoded, before anything is changed
    }
    m_settingsHash = settingsHash(versions);
    m_settings = std::move(versions);
}

Heartbeat MembershipCore::baseHeartbeat()
{
    m_published.id = self();
    m_published.incarnation = incarnation();
    m_published.sequence = static_cast<std::uint32_t>(m_sequence);
    Heartbeat heartbeat;
    heartbeat.zone = m_parameters.zone;
    heartbeat.state = ownState();
    heartbeat.callerAddress = m_parameters.callerAddress;
    heartbeat.published.push_back(trimmed(m_published));
    heartbeat.settings.hash = m_settingsHash;
    addSettingsWindow(heartbeat);
    return heartbeat;
}

void MembershipCore::addSettingsWindow(Heartbeat &heartbeat)
{
    std::size_t bytes = 0;
    const auto entries = std::min(m_settings.size(), MaxSettingsWindowEntries);
    for (std::size_t n = 0; n < entries; ++n) {
        const auto &version = m_settings[m_settingsCursor % m_settings.size()];
        bytes += encodedSize(version);
        if (n > 0 && bytes > MaxSettingsWindowBytes) {
            return;
        }
        heartbeat.settings.window.push_back(version);
        ++m_settingsCursor;
    }
}

Datagram MembershipCore::makeHeartbeat(const InstanceId &receiver, TimePoint now)
{
    ++m_sequence;
    HeartbeatBuilder builder({self(), incarnation(), m_sequence}, baseHeartbeat());
    builder.fill(m_list, receiver, m_cursors, now);
    return {receiver, builder.encoded()};
}

ReceiveResult MembershipCore::validate(const Envelope &envelope, const InstanceId &from) const
{
    if (envelope.sender == self() || envelope.sender != from) {
        return ReceiveResult::WrongSender;
    }
    if (envelope.incarnation == 0) {
        return ReceiveResult::OldIncarnation;
    }
    if (envelope.sequence == 0 || envelope.sequence > MaxSequence) {
        return ReceiveResult::Replay;
    }
    const auto *member = m_list.find(envelope.sender);
    if (member == nullptr || envelope.incarnation > member->incarnation) {
        return ReceiveResult::Accepted;
    }
    if (envelope.incarnation < member->incarnation) {
        return ReceiveResult::OldIncarnation;
    }
    const bool old
        = envelope.sequence <= member->directSequence || envelope.sequence + ReorderWindow < member->sequence;
    return old ? ReceiveResult::Replay : ReceiveResult::Accepted;
}

ReceiveResult
MembershipCore::receive(const Envelope &envelope, const Heartbeat &heartbeat, const InstanceId &from, TimePoint now)
{
    recordPauseIfLate(now);
    auto result = validate(envelope, from);
    const bool unknown = m_list.find(envelope.sender) == nullptr;
    if (result == ReceiveResult::Accepted && unknown && m_list.insert(envelope.sender, now) == nullptr) {
        result = ReceiveResult::TableFull;
    }
    ++m_counters.received[static_cast<std::size_t>(result)];
    if (result == ReceiveResult::OldIncarnation) {
        // A reply lets a process whose wall clock was set back find out that it has to raise its incarnation.
        m_peerSelector.prioritize(envelope.sender);
    }
    if (result != ReceiveResult::Accepted) {
        return result;
    }
    m_lastReceivedAt = now;
    m_list.applyDirect(*m_list.find(envelope.sender), envelope, heartbeat, now);
    if (unknown) {
        handleNewMember(envelope.sender, now);
    }
    applyOwnRecord(envelope.sender, heartbeat);
    for (const auto &record : heartbeat.members) {
        if (record.id != self() && record.id != envelope.sender && m_list.applyRecord(record, now)) {
            handleNewMember(record.id, now);
        }
    }
    for (const auto &state : heartbeat.published) {
        m_list.applyPublished(state, now);
    }
    return result;
}

void MembershipCore::handleNewMember(const InstanceId &id, TimePoint now)
{
    m_peerSelector.prioritize(id);
    const auto listed = m_peerSelector.listedInstances().find(id);
    if (listed != m_peerSelector.listedInstances().end() && listed->second) {
        m_list.setListedLeaving(id, true, now);
    }
}

void MembershipCore::applyOwnRecord(const InstanceId &sender, const Heartbeat &heartbeat)
{
    const auto isSelf = [this](const MemberRecord &record) { return record.id == self(); };
    const auto it = std::find_if(heartbeat.members.begin(), heartbeat.members.end(), isSelf);
    const bool known = it != heartbeat.members.end();
    if (known && it->incarnation > incarnation()) {
        raiseIncarnation(it->incarnation);
    }
    const bool current = known && it->incarnation == incarnation();
    const bool seesSelf = current && it->seenDirectly;
    m_list.find(sender)->seesSelf = seesSelf;
    if (current && m_awaitedSequence != 0 && it->sequence >= m_awaitedSequence) {
        m_awaitedSequence = 0;
    }
    // Another heartbeat completes the check of the link, or refutes that this instance is suspect or dead.
    if (!seesSelf || it->state != ownState()) {
        m_peerSelector.prioritize(sender);
    }
}

void MembershipCore::raiseIncarnation(std::uint64_t known)
{
    if (known < MaxIncarnation) {
        m_parameters.incarnation = known + 1;
        ++m_counters.incarnationRaised;
    }
}

// The list may be out of date, so a known member is marked only when its entry changes. A restart of the member clears
// the mark.
void MembershipCore::applyPlatformList(std::span<const InstanceEntry> entries, TimePoint now)
{
    ListedInstances listedInstances;
    for (const auto &entry : entries) {
        listedInstances[entry.id] = entry.leaving;
        const auto before = m_peerSelector.listedInstances().find(entry.id);
        const bool wasLeaving = before != m_peerSelector.listedInstances().end() && before->second;
        if (entry.leaving != wasLeaving) {
            m_list.setListedLeaving(entry.id, entry.leaving, now);
        }
    }
    m_peerSelector.setListedInstances(std::move(listedInstances));
}

bool MembershipCore::bidirectional(const Member &member, TimePoint now) const
{
    return member.seesSelf && m_list.seenDirectly(member, now);
}

bool MembershipCore::isViewCurrent(TimePoint now) const
{
    return hasNoLivePeers(now) || (m_awaitedSequence == 0 && now - m_lastReceivedAt <= ViewTimeout);
}

// States are updated by ticks, and a process that has just resumed has missed some.
bool MembershipCore::hasNoLivePeers(TimePoint now) const
{
    return m_list.liveCount() == 0 && (!m_lastRunAt || now - *m_lastRunAt <= PauseThreshold);
}

MemberView MembershipCore::selfView(TimePoint now) const
{
    MemberView view;
    view.id = self();
    view.callerAddress = m_parameters.callerAddress;
    view.zone = m_parameters.zone;
    view.incarnation = incarnation();
    view.state = ownState();
    view.loads = m_published.loads;
    view.unreachable = m_published.unreachable;
    view.loadsUpdatedAt = now;
    view.lastSeenAt = now;
    view.bidirectional = true;
    view.settingsHash = m_settingsHash;
    return view;
}

MemberView MembershipCore::viewOf(const InstanceId &id, const Member &member, TimePoint now) const
{
    MemberView view;
    view.id = id;
    view.callerAddress = member.callerAddress;
    view.zone = member.zone;
    view.incarnation = member.incarnation;
    view.state = member.state;
    view.loads = member.loads;
    view.unreachable = member.unreachable;
    view.loadsUpdatedAt = member.publishedAt;
    view.lastSeenAt = member.lastSeenAt;
    view.bidirectional = bidirectional(member, now);
    view.settingsHash = member.settingsHash;
    return view;
}

} // namespace laburnumspar::detail
