#pragma once

#include "detail/heartbeatbuilder.h"
#include "detail/memberlist.h"
#include "detail/peerselector.h"
#include "laburnumspar/membership.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Incarnations are wall clock times in milliseconds and must be less than this.
inline constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62U;

/// See Membership::Builder.
struct MembershipParameters {
    InstanceId self;
    std::string zone;
    Endpoint callerAddress;
    std::uint64_t incarnation = 0;
    std::vector<InstanceId> seeds;
    Milliseconds period{250};
    std::uint64_t randomSeed = 1;
};

/// Implementation of Membership, which documents the public functions.
class MembershipCore
{
public:
    explicit MembershipCore(MembershipParameters parameters);

    std::vector<Datagram> tick(TimePoint now);
    ReceiveResult receive(const Envelope &envelope, const Heartbeat &heartbeat, const InstanceId &from, TimePoint now);
    void applyPlatformList(std::span<const InstanceEntry> entries, TimePoint now);
    void leave();
    void recordPause(TimePoint from, TimePoint to);
    void publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable);
    void publishSettings(std::vector<SettingsVersion> versions);

    const InstanceId &self() const
    {
        return m_parameters.self;
    }
    std::uint64_t incarnation() const
    {
        return m_parameters.incarnation;
    }
    MemberList &list()
    {
        return m_list;
    }
    const MembershipCounters &counters() const
    {
        return m_counters;
    }
    std::uint64_t revision() const
    {
        return m_list.revision() + m_ownRevision;
    }
    MemberView selfView(TimePoint now) const;
    MemberView viewOf(const InstanceId &id, const Member &member, TimePoint now) const;
    bool bidirectional(const Member &member, TimePoint now) const;
    bool isViewCurrent(TimePoint now) const;
    bool hasNoLivePeers(TimePoint now) const;

private:
    MemberState ownState() const;
    void recordPauseIfLate(TimePoint now);
    Heartbeat baseHeartbeat();
    void addSettingsWindow(Heartbeat &heartbeat);
    Datagram makeHeartbeat(const InstanceId &receiver, TimePoint now);
    ReceiveResult validate(const Envelope &envelope, const InstanceId &from) const;
    void handleNewMember(const InstanceId &id, TimePoint now);
    void applyOwnRecord(const InstanceId &sender, const Heartbeat &heartbeat);
    void raiseIncarnation(std::uint64_t known);

    MembershipParameters m_parameters;
    MemberList m_list;
    PeerSelector m_peerSelector;
    MembershipCounters m_counters;
    PublishedState m_published;
    std::vector<SettingsVersion> m_settings;
    std::uint64_t m_settingsHash = 0;
    std::size_t m_settingsCursor = 0;
    HeartbeatCursors m_cursors;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_ownRevision = 0;
    bool m_leaving = false;
    std::optional<TimePoint> m_lastRunAt; ///< last tick or end of the last pause
    TimePoint m_nextTick; ///< earliest time of the next heartbeats
    TimePoint m_lastReceivedAt; ///< last accepted heartbeat
    TimePoint m_pauseRecordedUntil; ///< end of the last pause
    /// First sequence number after a pause; 0 once a peer has confirmed it or a later one.
    std::uint64_t m_awaitedSequence = 0;
};

} // namespace laburnumspar::detail
