#include "detail/membershipcore.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumspar::detail {

namespace {

// A tick that is later than this counts as a pause of the process.
constexpr Milliseconds PauseThreshold{1000};
// Nothing heard for this long: the view may be out of date.
constexpr Milliseconds TrustedFor{2000};
// A datagram this many heartbeats (2 s) behind the newest one known is a replay and not merely out of order.
constexpr std::uint64_t ReorderWindow = 16;
// Bytes of the settings versions listed in one heartbeat, and their number.
constexpr std::size_t SettingsWindowBytes = 160;
constexpr std::size_t SettingsWindowEntries = 4;
constexpr std::uint64_t MaxSequence = std::numeric_limits<std::uint32_t>::max();

} // namespace

MembershipCore::MembershipCore(MembershipParameters parameters)
    : m_parameters(std::move(parameters))
    , m_list(m_parameters.period)
    , m_contacts(m_parameters.self, m_parameters.seeds, m_parameters.randomSeed)
{
    // Throws for an address or a zone that cannot be encoded, before a heartbeat is due.
    encode({self(), incarnation(), 1}, base());
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
    // The caller and a late tick notice the same pause at slightly different times.
    const bool overlaps = from < m_pauseNotedTo;
    from = std::max(from, m_pauseNotedTo);
    if (from >= to || (overlaps && to - from < PauseThreshold)) {
        return;
    }
    m_list.shift(from, to);
    m_pauseNotedTo = to;
    m_ranAt = to;
    m_echoAwaited = m_sequence + 1;
    ++m_counters.pauses;
}

void MembershipCore::notePauseIfLate(TimePoint now)
{
    if (m_ranAt && now - *m_ranAt > PauseThreshold) {
        recordPause(*m_ranAt, now);
    }
}

std::vector<Datagram> MembershipCore::tick(TimePoint now)
{
    notePauseIfLate(now);
    m_ranAt = now;
    if (now < m_nextTick) {
        return {};
    }
    // Timers jitter; a minimum of a full period would skip ticks that come slightly early.
    m_nextTick = now + m_parameters.period * 3 / 4;
    m_list.sweep(now);
    std::vector<Datagram> datagrams;
    for (const auto &receiver : m_contacts.choose(m_list.members())) {
        datagrams.push_back(heartbeatFor(receiver, now));
        ++m_counters.sent;
        m_counters.sentBytes += datagrams.back().bytes.size();
    }
    return datagrams;
}

void MembershipCore::publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable)
{
    PublishedState state{self(), incarnation(), 0, std::move(loads), std::move(unreachable)};
    trimmed(state); // throws for what cannot be encoded, before anything is changed
    m_published = std::move(state);
}

void MembershipCore::publishSettings(std::vector<SettingsVersion> versions)
{
    for (const auto &version : versions) {
        encodedSize(version); // throws for what cannot be encoded, before anything is changed
    }
    m_settingsHash = settingsHash(versions);
    m_settings = std::move(versions);
}

Heartbeat MembershipCore::base()
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
    const auto entries = std::min(m_settings.size(), SettingsWindowEntries);
    for (std::size_t n = 0; n < entries; ++n) {
        const auto &version = m_settings[m_settingsCursor % m_settings.size()];
        bytes += encodedSize(version);
        if (n > 0 && bytes > SettingsWindowBytes) {
            return;
        }
        heartbeat.settings.window.push_back(version);
        ++m_settingsCursor;
    }
}

Datagram MembershipCore::heartbeatFor(const InstanceId &receiver, TimePoint now)
{
    ++m_sequence;
    HeartbeatFill fill({self(), incarnation(), m_sequence}, base());
    fill.fill(m_list, receiver, m_cursors, now);
    return {receiver, fill.encoded()};
}

ReceiveResult MembershipCore::check(const Envelope &envelope, const InstanceId &from) const
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
    notePauseIfLate(now);
    auto result = check(envelope, from);
    const bool unknown = m_list.find(envelope.sender) == nullptr;
    if (result == ReceiveResult::Accepted && unknown && m_list.insert(envelope.sender, now) == nullptr) {
        result = ReceiveResult::TableFull;
    }
    ++m_counters.received[static_cast<std::size_t>(result)];
    if (result == ReceiveResult::OldIncarnation) {
        // The answer shows a process whose wall clock went back that it has to raise its incarnation.
        m_contacts.request(envelope.sender);
    }
    if (result != ReceiveResult::Accepted) {
        return result;
    }
    m_heardAt = now;
    m_list.applyDirect(*m_list.find(envelope.sender), envelope, heartbeat, now);
    if (unknown) {
        learned(envelope.sender, now);
    }
    applyOwnRecord(envelope.sender, heartbeat);
    for (const auto &record : heartbeat.members) {
        if (record.id != self() && record.id != envelope.sender && m_list.applyRecord(record, now)) {
            learned(record.id, now);
        }
    }
    for (const auto &state : heartbeat.published) {
        m_list.applyPublished(state, now);
    }
    return result;
}

void MembershipCore::learned(const InstanceId &id, TimePoint now)
{
    m_contacts.request(id);
    const auto hint = m_contacts.hints().find(id);
    if (hint != m_contacts.hints().end() && hint->second) {
        m_list.setHintedLeaving(id, true, now);
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
    const bool hears = current && it->seenDirectly;
    m_list.find(sender)->hearsSelf = hears;
    if (current && m_echoAwaited != 0 && it->sequence >= m_echoAwaited) {
        m_echoAwaited = 0;
    }
    // A new heartbeat completes the check of the link, and refutes that this instance is suspect or dead.
    if (!hears || it->state != ownState()) {
        m_contacts.request(sender);
    }
}

void MembershipCore::raiseIncarnation(std::uint64_t known)
{
    if (known < MaxIncarnation) {
        m_parameters.incarnation = known + 1;
        ++m_counters.incarnationRaised;
    }
}

// The list lags, so only a change to leaving marks a known member, and a restart of the member removes the mark.
void MembershipCore::applyPlatformList(std::span<const InstanceEntry> entries, TimePoint now)
{
    Hints hints;
    for (const auto &entry : entries) {
        hints[entry.id] = entry.leaving;
        const auto before = m_contacts.hints().find(entry.id);
        const bool wasLeaving = before != m_contacts.hints().end() && before->second;
        if (entry.leaving != wasLeaving) {
            m_list.setHintedLeaving(entry.id, entry.leaving, now);
        }
    }
    m_contacts.setHints(std::move(hints));
}

bool MembershipCore::bidirectional(const Member &member, TimePoint now) const
{
    return member.hearsSelf && m_list.heardDirectly(member, now);
}

bool MembershipCore::viewTrusted(TimePoint now) const
{
    return hasNoLivePeers(now) || (m_echoAwaited == 0 && now - m_heardAt <= TrustedFor);
}

// States are evaluated by ticks, which a process that has just resumed has missed.
bool MembershipCore::hasNoLivePeers(TimePoint now) const
{
    return m_list.liveCount() == 0 && (!m_ranAt || now - *m_ranAt <= PauseThreshold);
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
