#pragma once

#include "laburnumspar/fleet.h"
#include "laburnumspar/messages.h"
#include "laburnumspar/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumspar {

/// What this instance knows about one member.
struct MemberView {
    InstanceId id;
    Endpoint callerAddress; ///< where it accepts requests; empty until known
    std::string zone;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;
    TimePoint loadsUpdatedAt; ///< when loads and unreachable were last updated
    TimePoint lastSeenAt; ///< when a newer heartbeat of it was last received or reported by a peer
    bool bidirectional = false; ///< see Membership::bidirectional()
    std::uint64_t settingsHash = 0; ///< see settingsHash(); 0 until it sent a heartbeat to this instance
};

/// A change of a member's state.
struct MemberChange {
    InstanceId id;
    MemberState from = MemberState::Dead; ///< Dead for a new member
    MemberState to = MemberState::Dead;
    TimePoint at;
};

/// An encoded heartbeat to send by UDP.
struct Datagram {
    InstanceId to;
    std::vector<std::uint8_t> bytes;
};

/// Whether a heartbeat was applied, or why it was rejected.
enum class ReceiveResult : std::uint8_t {
    Accepted,
    WrongSender, ///< the stated sender is this instance or differs from the source address
    OldIncarnation, ///< lower than the incarnation already known, or 0
    Replay, ///< the sequence number was already received, is far behind the newest one or out of range
    TableFull, ///< the sender is unknown and the member table is full
};

template <>
struct EnumNames<ReceiveResult> {
    static constexpr std::array<std::string_view, 5> Names{
        "accepted",
        "wrong-sender",
        "old-incarnation",
        "replay",
        "table-full",
    };
};

/// Totals since the start of the instance.
struct MembershipCounters {
    std::uint64_t sent = 0; ///< heartbeats
    std::uint64_t sentBytes = 0;
    std::array<std::uint64_t, EnumNames<ReceiveResult>::Names.size()> received{}; ///< heartbeats, by ReceiveResult
    std::uint64_t incarnationRaised = 0; ///< see Membership::incarnation()
    std::uint64_t pauses = 0; ///< see Membership::recordPause()
};

/// Order-independent hash of accepted versions; equal on instances that accepted the same ones.
std::uint64_t settingsHash(std::span<const SettingsVersion> versions);

/// Member table of the fleet, maintained by a gossip protocol. Not thread-safe. Performs no I/O and reads no clock: the
/// caller sends the returned datagrams and passes in the current time.
class Membership
{
public:
    class Builder;

    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;
    ~Membership();

    /// Returns the heartbeats to send now. Call once per period; a call within three quarters of a period after the
    /// previous heartbeats returns none.
    std::vector<Datagram> tick(TimePoint now);
    /// Applies a received heartbeat. `from` is the source address of its datagram.
    ReceiveResult receive(const Envelope &envelope, const Heartbeat &heartbeat, const InstanceId &from, TimePoint now);
    /// Applies the platform's list of instances: unknown ones are sent heartbeats, and a change of an entry to or
    /// from leaving sets or clears the leaving state of a known member.
    void applyPlatformList(std::span<const InstanceEntry> list, TimePoint now);
    /// Announces in all further heartbeats that this instance is leaving.
    void leave();
    /// Records a time span in which this process did not run, so that it does not count towards the timeouts of
    /// members. Gaps of more than 1 s between ticks are detected without this call.
    void recordPause(TimePoint from, TimePoint to);
    /// Sets the state that further heartbeats report about this instance. They carry at most 300 bytes of it:
    /// unreachable upstreams first, then loads, each in the order given. Throws EncodeError.
    void publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable);
    /// Sets the accepted settings versions. Each heartbeat carries their hash and a rotating subset of them. Throws
    /// EncodeError.
    void publishSettings(std::vector<SettingsVersion> versions);

    /// This instance first, then the other members ordered by address. Dead members are included for one hour.
    std::vector<MemberView> view(TimePoint now) const;
    std::optional<MemberView> member(const InstanceId &id, TimePoint now) const;
    /// Whether this instance and the member receive each other's heartbeats directly; false until confirmed.
    bool bidirectional(const InstanceId &id, TimePoint now) const;
    /// False if no heartbeat was received for 2 s, and after a pause until a peer confirms that it received a heartbeat
    /// sent since then. Always true if hasNoLivePeers().
    bool isViewCurrent(TimePoint now) const;
    /// Whether every other known member is dead. False while tick() is overdue by more than 1 s, as states are then
    /// stale.
    bool hasNoLivePeers(TimePoint now) const;
    /// Increases whenever a member is added, restarts or is removed, or its state, zone or caller address changes.
    std::uint64_t revision() const;
    /// Returns the state changes since the last call; only the newest 1,024 are kept.
    std::vector<MemberChange> takeChanges();
    /// The value given to the builder, or a higher one if peers knew a higher one, because the wall clock was set back
    /// between two starts of the process.
    std::uint64_t incarnation() const;
    MembershipCounters counters() const;

private:
    class Private;
    explicit Membership(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

/// Sets the parameters of a Membership.
class Membership::Builder
{
public:
    /// Peer address of this instance, which is also the source address of its heartbeats.
    Builder &self(InstanceId id);
    Builder &zone(std::string zone);
    Builder &callerAddress(Endpoint address);
    /// Start time of the process in milliseconds of the wall clock; must increase with each start.
    Builder &incarnation(std::uint64_t incarnation);
    /// Instances to contact first.
    Builder &seeds(std::vector<InstanceId> seeds);
    /// Time between two calls of tick().
    Builder &period(Milliseconds period);
    /// Seed of the random selection of receivers.
    Builder &randomSeed(std::uint64_t seed);
    /// Throws InvariantError if the address is not set, the incarnation is 0 or at least 2^62, or the period is below
    /// 1 ms; EncodeError for an address that is not an IP address or a zone name that is too long.
    Membership build() const;

private:
    InstanceId m_self;
    std::string m_zone;
    Endpoint m_callerAddress;
    std::uint64_t m_incarnation = 0;
    std::vector<InstanceId> m_seeds;
    Milliseconds m_period{250};
    std::uint64_t m_randomSeed = 1;
};

} // namespace laburnumspar
