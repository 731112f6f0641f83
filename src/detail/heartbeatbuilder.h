#pragma once

#include "detail/memberlist.h"

#include <cstdint>
#include <set>
#include <vector>

namespace laburnumspar::detail {

/// Last member included from each source, so that the next heartbeat continues after it.
struct HeartbeatCursors {
    InstanceId records;
    InstanceId updates;
    InstanceId published;
};

/// The part of the state of this instance that fits the size limit of one published state; unreachable upstreams first.
PublishedState trimmed(const PublishedState &own);

/// Fills a heartbeat up to the size of a datagram: the record of the receiver, pending updates, published states, and
/// as many other records as fit.
class HeartbeatBuilder
{
public:
    HeartbeatBuilder(const Envelope &envelope, Heartbeat base);

    void fill(MemberList &list, const InstanceId &receiver, HeartbeatCursors &cursors, TimePoint now);
    std::vector<std::uint8_t> encoded() const;

private:
    /// Adds the record of the member if at least `reserve` bytes remain after it; returns whether it is included.
    bool add(const MemberList &list, const InstanceId &id, const Member &member, std::size_t reserve, TimePoint now);
    void addUpdates(MemberList &list, InstanceId &cursor, TimePoint now);
    void addRecords(const MemberList &list, InstanceId &cursor, std::size_t reserve, TimePoint now);
    void addPublished(const MemberList &list, InstanceId &cursor, TimePoint now);

    Envelope m_envelope;
    Heartbeat m_heartbeat;
    std::size_t m_remaining; ///< bytes left in the datagram
    std::set<std::string_view> m_zones;
    std::set<const Member *> m_added;
};

} // namespace laburnumspar::detail
