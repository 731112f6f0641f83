#include "detail/healthpool.h"

#include "laburnumspar/errors.h"

#include <algorithm>
#include <set>

namespace laburnumspar::detail {

namespace {

/// Maximum random delay of the first probe, so that upstreams ejected together are not probed at the same time.
constexpr Milliseconds MaxProbeJitter{250};

} // namespace

HealthPool::HealthPool(const HealthSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void HealthPool::setPool(std::vector<PoolMember> pool, TimePoint now)
{
    std::set<UpstreamId> present;
    std::erase_if(pool, [&](const PoolMember &member) { return !present.insert(member.id).second; });
    std::erase_if(m_records, [&](const auto &entry) { return !present.contains(entry.first); });
    for (auto &member : pool) {
        member.slots = member.slots > 0 ? member.slots : m_settings.slots;
        const auto [it, added] = m_records.try_emplace(member.id, member);
        auto &record = it->second;
        if (added && member.phase == UpstreamPhase::Starting) {
            record.rampStart = now;
        }
        const auto from = record.state;
        record.update(member, now);
        if (from != record.state) {
            m_changes.push_back({member.id, from, record.state, record.reason, 0, now});
        }
    }
    m_members = std::move(pool);
    updateFloors(now);
}

void HealthPool::setSettings(const HealthSettings &settings, TimePoint now)
{
    m_settings = settings;
    updateFloors(now);
}

void HealthPool::updateFloors(TimePoint now)
{
    m_floors = zoneFloors(m_members, m_settings);
    restoreFloors(now);
}

void HealthPool::change(UpstreamRecord &record, HealthState nextState, HealthReason reason, TimePoint now)
{
    m_changes.push_back({record.member.id, record.state, nextState, reason, record.score(), now});
    record.enterState(nextState, reason, now);
}

unsigned HealthPool::confirmedInZone(const std::string &zone, const UpstreamRecord *excluded, TimePoint now) const
{
    return static_cast<unsigned>(std::count_if(m_records.begin(), m_records.end(), [&](const auto &entry) {
        const auto &record = entry.second;
        return &record != excluded && record.member.zone == zone && record.confirmedHealthy(now, m_settings);
    }));
}

bool HealthPool::tryEject(UpstreamRecord &record, HealthReason reason, TimePoint now)
{
    const auto &zone = record.member.zone;
    const auto floor = m_floors.at(zone);
    if (confirmedInZone(zone, &record, now) < floor) {
        if (!record.floorBinding) {
            record.floorBinding = true;
            m_changes.push_back(
                {record.member.id, record.state, record.state, HealthReason::FloorBinding, record.score(), now});
        }
        return false;
    }
    m_changes.push_back({record.member.id, record.state, HealthState::Ejected, reason, record.score(), now});
    record.eject(reason, now);
    const auto jitter = std::uniform_int_distribution<Milliseconds::rep>(0, MaxProbeJitter.count())(m_random);
    record.nextProbe = record.excludedUntil + Milliseconds(jitter);
    // Counts again with the upstream ejected, to detect an error in the check above.
    requireInvariant(confirmedInZone(zone, nullptr, now) >= floor,
                     "an ejection leaves at least the floor of healthy upstreams in its zone");
    return true;
}

void HealthPool::restoreFloors(TimePoint now)
{
    for (const auto &[zone, floor] : m_floors) {
        restoreZone(zone, floor, now);
    }
}

void HealthPool::restoreZone(const std::string &zone, unsigned floor, TimePoint now)
{
    std::vector<UpstreamRecord *> ejected;
    unsigned usable = 0;
    for (auto &[id, record] : m_records) {
        if (record.member.zone != zone) {
            continue;
        }
        usable += record.usable() ? 1 : 0;
        if (record.state == HealthState::Ejected && record.member.phase != UpstreamPhase::Draining) {
            ejected.push_back(&record);
        }
    }
    std::sort(ejected.begin(), ejected.end(), [](const UpstreamRecord *a, const UpstreamRecord *b) {
        return a->ejectionScore < b->ejectionScore;
    });
    for (auto *record : ejected) {
        if (usable >= floor) {
            return;
        }
        change(*record, HealthState::Suspect, HealthReason::FloorRestored, now);
        ++usable;
    }
}

std::vector<HealthChange> HealthPool::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<ZoneHealth> HealthPool::zones(TimePoint now) const
{
    std::vector<ZoneHealth> zones;
    for (const auto &[zone, floor] : m_floors) {
        ZoneHealth entry{zone, 0, floor, confirmedInZone(zone, nullptr, now), 0};
        for (const auto &[id, record] : m_records) {
            if (record.member.zone == zone) {
                ++entry.upstreams;
                const bool draining = record.member.phase == UpstreamPhase::Draining;
                entry.ejected += record.state == HealthState::Ejected && !draining ? 1 : 0;
            }
        }
        zones.push_back(entry);
    }
    return zones;
}

UpstreamRecord *HealthPool::find(const UpstreamId &id)
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

const UpstreamRecord *HealthPool::find(const UpstreamId &id) const
{
    const auto it = m_records.find(id);
    return it == m_records.end() ? nullptr : &it->second;
}

} // namespace laburnumspar::detail
