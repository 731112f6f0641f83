#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar {

/// Entry that an upstream publishes about itself in the store.
struct RegisteredUpstream {
    std::string id; ///< of one process of the upstream; later processes may have the same address
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1;
    UpstreamPhase phase = UpstreamPhase::Serving;
    Milliseconds warmupLeft{0}; ///< remaining warm-up time when the entry was written
    std::int64_t startedAtMs = 0; ///< Unix time; 0 if unknown

    /// True if the entries differ at most in fields that change with every heartbeat.
    bool equalsIgnoringHeartbeat(const RegisteredUpstream &other) const;
    /// Hash of the fields that equalsIgnoringHeartbeat() compares; never 0.
    std::uint32_t fingerprint() const;
};

/// Upstreams that may receive requests, by identity.
///
/// While the store is unreachable, upstreams cannot renew the leases of their entries although they are alive. An entry
/// that disappears shortly after such an outage, or because the store has lost it, is retained until the upstream has
/// had time to register again.
class UpstreamRegistry
{
public:
    struct Record {
        RegisteredUpstream entry;
        TimePoint readAt; ///< when the entry was read
        bool lapsed = false; ///< its lease expired during an outage; removed at `retainUntil`
        TimePoint retainUntil;
    };

    /// Time after an outage of the store within which upstreams that are alive register again.
    static constexpr Milliseconds ReregistrationTime{2000};

    /// Time within which another instance that reads the store passes a new registration on.
    static constexpr Milliseconds PassOnTime{500};

    /// `leaseDuration`: time without a heartbeat after which the store removes an entry.
    explicit UpstreamRegistry(Milliseconds leaseDuration);

    /// Adds or updates an entry. True if it is new, was lapsed, or differs in more than its heartbeat.
    bool put(RegisteredUpstream entry, TimePoint now);
    /// Removes an entry, or marks it as lapsed after an outage of the store. True if it was removed; false if it is
    /// unknown or retained.
    bool remove(const std::string &id, TimePoint now);
    /// Removes an entry without retaining it, because another instance knows that the upstream has left.
    void withdraw(const std::string &id);
    /// Marks an entry as lapsed, because another instance retains it. Removes it if it is draining.
    void lapse(const std::string &id, TimePoint now);
    /// Removes the lapsed entries whose retention time is over; returns their identities.
    std::vector<std::string> expire(TimePoint now);
    /// Records that the store was unreachable from `since` until `now`.
    void recordOutage(TimePoint since, TimePoint now);
    /// Records that the store has lost entries, which upstreams that are alive write again.
    void recordLoss(TimePoint now);
    Milliseconds leaseDuration() const
    {
        return m_leaseDuration;
    }

    const std::map<std::string, Record> &records() const
    {
        return m_records;
    }
    /// Returns null if the identity is unknown.
    const RegisteredUpstream *find(const std::string &id) const;

private:
    bool isOutageRecent(TimePoint now) const;

    Milliseconds m_leaseDuration;
    std::map<std::string, Record> m_records;
    std::optional<TimePoint> m_outageEnd;
};

} // namespace laburnumspar
