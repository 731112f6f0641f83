#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar {

/// What an upstream has published about itself.
struct RegisteredUpstream {
    std::string id; ///< one start of an upstream; other starts may have the same address
    std::string service;
    Endpoint address;
    std::string zone;
    unsigned slots = 1;
    UpstreamPhase phase = UpstreamPhase::Serving;
    Milliseconds warmupLeft{0}; ///< at the time of the entry
    std::int64_t startedAtMs = 0; ///< Unix time; 0 if unknown

    /// Whether only what changes with every heartbeat differs.
    bool equalsIgnoringHeartbeat(const RegisteredUpstream &other) const;
    /// Equal for entries that are the same in this sense; never 0.
    std::uint32_t fingerprint() const;
};

/// The upstreams that may get work, by identity.
///
/// Leases of entries lapse while the store cannot be reached, although their upstreams live. An entry that disappears
/// around such an outage is kept until the upstream has had time to register again.
class UpstreamRegistry
{
public:
    struct Record {
        RegisteredUpstream entry;
        TimePoint readAt; ///< when the entry was read
        bool lapsed = false; ///< its lease ran out during an outage; removed at `keptUntil`
        TimePoint retainUntil;
    };

    /// Time after the return of the store within which the entries of living upstreams are back.
    static constexpr Milliseconds ReregistrationTime{2000};

    /// `leaseTime`: silence after which the store removes an entry.
    explicit UpstreamRegistry(Milliseconds leaseDuration);

    /// True if the entry is new or differs in more than its heartbeat.
    bool put(RegisteredUpstream entry, TimePoint now);
    /// True if the upstream gets no work from now on; false if it is unknown or kept for now.
    bool remove(const std::string &id, TimePoint now);
    /// Removes the lapsed entries whose time is over; returns their identities.
    std::vector<std::string> expire(TimePoint now);
    /// The store could not be reached from `since` until `now`.
    void recordOutage(TimePoint since, TimePoint now);

    const std::map<std::string, Record> &records() const
    {
        return m_records;
    }
    const RegisteredUpstream *find(const std::string &id) const;

private:
    bool isOutageRecent(TimePoint now) const;

    Milliseconds m_leaseDuration;
    std::map<std::string, Record> m_records;
    std::optional<TimePoint> m_outageEnd;
};

} // namespace laburnumspar
