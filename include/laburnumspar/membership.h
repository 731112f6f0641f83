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

/// One member as this instance sees it.
struct MemberView {
    InstanceId id;
    Endpoint callerAddress; ///< empty until learned
    std::string zone;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;
    TimePoint loadsUpdatedAt; ///< when loads and unreachable were last updated
    TimePoint lastSeenAt; ///< last news, directly or through others
    bool bidirectional = false; ///< hears this instance and is heard by it directly
    std::uint64_t settingsHash = 0; ///< see settingsHash(); 0 until heard directly
};

struct MemberChange {
    InstanceId id;
    MemberState from = MemberState::Dead; ///< Dead for a new member
    MemberState to = MemberState::Dead;
    TimePoint at;
};

/// One heartbeat to send by UDP.
struct Datagram {
    InstanceId to;
    std::vector<std::uint8_t> bytes;
};

enum class ReceiveResult : std::uint8_t {
    Accepted,
    WrongSender, ///< the network address is not the stated sender, or the sender is this instance
    OldIncarnation,
    Replay, ///< a sequence number that was already received, or is far behind
    TableFull, ///< an unknown member, and no room for it
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

struct MembershipCounters {
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::array<std::uint64_t, EnumNames<ReceiveResult>::Names.size()> received{}; ///< by ReceiveResult
    std::uint64_t incarnationRaised = 0;
    std::uint64_t pauses = 0;
};

/// Order-independent hash over accepted versions; equal on instances that accepted the same ones.
std::uint64_t settingsHash(std::span<const SettingsVersion> versions);

/// Members of the fleet, learned from heartbeats. Not synchronised; decides, but neither sends nor reads a clock.
class Membership
{
public:
    class Builder;

    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;
    ~Membership();

    /// Heartbeats to send now. Call once per period; a call long before the period has passed returns none.
    std::vector<Datagram> tick(TimePoint now);
    /// `from` is the network address of the sender.
    ReceiveResult receive(const Envelope &envelope, const Heartbeat &heartbeat, const InstanceId &from, TimePoint now);
    /// Merges the platform's list: unknown instances are contacted, and those that turn to leaving are marked.
    void applyPlatformList(std::span<const InstanceEntry> list, TimePoint now);
    /// States in all further heartbeats that this instance withdraws.
    void leave();
    /// Accounts for time in which this instance did not run; late ticks are noticed without it.
    void recordPause(TimePoint from, TimePoint to);
    /// What the further heartbeats say about this instance. They have 300 bytes for it: unreachable upstreams first,
    /// then loads, in the order given. Throws EncodeError.
    void publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable);
    /// Accepted versions; their hash and some of them in rotation are part of each heartbeat. Throws EncodeError.
    void publishSettings(std::vector<SettingsVersion> versions);

    /// This instance first, then all members by address, with dead ones for an hour.
    std::vector<MemberView> view(TimePoint now) const;
    std::optional<MemberView> member(const InstanceId &id, TimePoint now) const;
    /// Whether this instance and the member hear each other directly; false until shown.
    bool bidirectional(const InstanceId &id, TimePoint now) const;
    /// False while nothing was heard for 2 s, and after a pause until a peer shows that it heard this instance since.
    bool viewTrusted(TimePoint now) const;
    /// No other member is known to be reachable.
    bool hasNoLivePeers(TimePoint now) const;
    /// Grows whenever the set of members, or the state, zone or caller address of one of them, changes.
    std::uint64_t revision() const;
    /// State changes since the last call; the oldest are dropped beyond 1,024.
    std::vector<MemberChange> takeChanges();
    /// May rise above the value given to the builder if peers know a higher one (the wall clock went back).
    std::uint64_t incarnation() const;
    MembershipCounters counters() const;

private:
    class Private;
    explicit Membership(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

class Membership::Builder
{
public:
    /// Peer address; also the address from which heartbeats are sent.
    Builder &self(InstanceId id);
    Builder &zone(std::string zone);
    Builder &callerAddress(Endpoint address);
    /// Start time of the process, in ms of the wall clock; must grow with each start.
    Builder &incarnation(std::uint64_t incarnation);
    Builder &seeds(std::vector<InstanceId> seeds);
    Builder &period(Milliseconds period);
    /// Seed of the random choice of receivers.
    Builder &randomSeed(std::uint64_t seed);
    /// Throws InvariantError without an address, an incarnation, or with a period below 1 ms; EncodeError for an
    /// address that is not an IP address.
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
