#pragma once

#include "detail/memberlist.h"

#include <cstdint>
#include <set>
#include <vector>

namespace laburnumspar::detail {

/// Where the rotation over members and published states continues.
struct FillCursors {
    InstanceId records;
    InstanceId urgent;
    InstanceId published;
};

/// The part of the own state that fits the share of the datagram that it may take; unreachable upstreams first.
PublishedState trimmed(const PublishedState &own);

/// Fills heartbeats up to the size of a datagram: the record of the receiver, news, published states, and as many
/// further records as fit.
class HeartbeatFill
{
public:
    HeartbeatFill(const Envelope &envelope, Heartbeat base);

    void fill(MemberList &list, const InstanceId &receiver, FillCursors &cursors, TimePoint now);
    std::vector<std::uint8_t> encoded() const;

private:
    bool add(const MemberList &list, const InstanceId &id, const Member &member, std::size_t reserve, TimePoint now);
    void addUrgent(MemberList &list, InstanceId &cursor, TimePoint now);
    void addRecords(const MemberList &list, InstanceId &cursor, std::size_t reserve, TimePoint now);
    void addPublished(const MemberList &list, InstanceId &cursor, TimePoint now);

    Envelope m_envelope;
    Heartbeat m_heartbeat;
    std::size_t m_left; ///< bytes
    std::set<std::string_view> m_zones;
    std::set<const Member *> m_added;
};

} // namespace laburnumspar::detail
