#pragma once

#include "detail/upstreamrecord.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// The pool of one service with the states of its upstreams. All state changes go through this class, which enforces
/// the floor.
class HealthPool
{
public:
    HealthPool(const HealthSettings &settings, std::uint64_t seed);

    void setPool(std::vector<PoolMember> pool, TimePoint now);
    void setSettings(const HealthSettings &settings, TimePoint now);

    void change(UpstreamRecord &record, HealthState nextState, HealthReason reason, TimePoint now);
    /// Ejects the upstream if the floor of its zone allows it, and returns whether it did. Throws InvariantError if the
    /// ejection violated the floor.
    bool tryEject(UpstreamRecord &record, HealthReason reason, TimePoint now);
    /// Readmits the ejected upstreams with the lowest scores in zones with fewer usable upstreams than the floor.
    void restoreFloors(TimePoint now);
    /// Returns the changes since the last call.
    std::vector<HealthChange> takeChanges();

    std::vector<ZoneHealth> zones(TimePoint now) const;
    UpstreamRecord *find(const UpstreamId &id);
    const UpstreamRecord *find(const UpstreamId &id) const;
    std::map<UpstreamId, UpstreamRecord> &records()
    {
        return m_records;
    }
    const std::map<UpstreamId, UpstreamRecord> &records() const
    {
        return m_records;
    }
    const HealthSettings &settings() const
    {
        return m_settings;
    }

private:
    unsigned confirmedInZone(const std::string &zone, const UpstreamRecord *excluded, TimePoint now) const;
    void restoreZone(const std::string &zone, unsigned floor, TimePoint now);
    void updateFloors(TimePoint now);

    HealthSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<PoolMember> m_members;
    std::map<UpstreamId, UpstreamRecord> m_records;
    std::map<std::string, unsigned> m_floors;
    std::vector<HealthChange> m_changes;
};

} // namespace laburnumspar::detail
