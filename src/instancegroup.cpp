#include "laburnumspar/instancegroup.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

/// One instance in so many of a zone is active before there is any load.
constexpr std::size_t MembersPerActive = 16;
/// More instances become active above this share of the active ones' capacity, and fewer below the lower one.
constexpr double HighLoad = 0.5;
constexpr double LowLoad = 0.2;
constexpr std::size_t SparesWanted = 1;
/// A reader of the store whose knowledge is older is backed up by the next one.
constexpr Milliseconds FreshStoreAge{1500};
/// Age of the news of the store at which instances that are not active begin to read it, one after the other.
constexpr Milliseconds NewsPatience{1200};
constexpr Milliseconds StandInDelay{100};

std::uint64_t rankHash(const std::string &ip)
{
    return XXH3_64bits(ip.data(), ip.size());
}

/// Larger instances first; the hash spreads the active ones over the machines of a zone.
bool ranksBefore(const InstanceStatus &a, const InstanceStatus &b)
{
    if (a.capacity != b.capacity) {
        return a.capacity > b.capacity;
    }
    const auto hashA = rankHash(a.ip);
    const auto hashB = rankHash(b.ip);
    return hashA != hashB ? hashA < hashB : a.ip < b.ip;
}

std::size_t positionOf(const std::vector<InstanceStatus> &instances, const std::string &ip, auto &&counts)
{
    std::size_t n = 0;
    for (const auto &instance : instances) {
        if (instance.ip == ip) {
            break;
        }
        n += counts(instance) ? 1 : 0;
    }
    return n;
}

} // namespace

InstanceGroup::InstanceGroup(InstanceStatus self, Timing timing, TimePoint now)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_started(now)
{
}

void InstanceGroup::receiveStatus(const InstanceStatus &status, TimePoint now)
{
    if (status.ip == m_self.ip) {
        return;
    }
    auto &member = m_members[status.ip];
    if (status.incarnation < member.status.incarnation) {
        return;
    }
    member = {status, now};
}

void InstanceGroup::receiveRelayedStatus(const InstanceStatus &status, Milliseconds age, TimePoint now)
{
    if (status.ip == m_self.ip) {
        return;
    }
    const auto heard = now - age;
    const auto [it, added] = m_members.try_emplace(status.ip, Member{status, heard});
    auto &member = it->second;
    const bool newer = status.incarnation > member.status.incarnation
        || (status.incarnation == member.status.incarnation && heard > member.heard);
    if (!added && newer) {
        // The relayed status lacks what changes fast.
        const auto known = member.status;
        member = {status, heard};
        if (known.incarnation == status.incarnation) {
            member.status.storeRevision = known.storeRevision;
            member.status.storeAgeMs = known.storeAgeMs;
            member.status.fleetStoreAgeMs = known.fleetStoreAgeMs;
            member.status.storeDigest = known.storeDigest;
            member.status.load = known.load;
        }
    }
}

void InstanceGroup::markUnresponsive(const std::string &ip, TimePoint now)
{
    const auto it = m_members.find(ip);
    if (it != m_members.end()) {
        it->second.heard = std::min(it->second.heard, now - m_timing.activeTimeout);
    }
}

InstanceRole InstanceGroup::updateRole(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) { return now - entry.second.heard > 5 * m_timing.memberTimeout; });
    if (m_self.role != InstanceRole::Leaving && now - m_started >= m_timing.discoveryTime) {
        m_self.role = roleOf(ranked(m_self.zone, now), now);
    }
    return m_self.role;
}

InstanceRole InstanceGroup::roleOf(const std::vector<InstanceStatus> &zoneMembers, TimePoint now)
{
    const auto isActive = [](const InstanceStatus &it) { return it.role == InstanceRole::Active; };
    const auto isSpare = [](const InstanceStatus &it) { return it.role == InstanceRole::Spare; };
    const auto active = std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isActive));
    const auto wanted = targetActiveCount(now);
    if (m_self.role == InstanceRole::Active) {
        const bool surplus = active > wanted && positionOf(zoneMembers, m_self.ip, isActive) >= wanted;
        return surplus ? InstanceRole::Spare : InstanceRole::Active;
    }
    if (active < wanted) {
        m_shortSince = m_shortSince.value_or(now);
        // Spares go first, since they have all state.
        const auto position = m_self.role == InstanceRole::Spare
            ? positionOf(zoneMembers, m_self.ip, isSpare)
            : positionOf(zoneMembers, m_self.ip, [&](const auto &it) { return !isActive(it) && !isSpare(it); })
                + std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isSpare));
        const auto missing = wanted - active;
        const auto turn = position < missing ? 0 : position - missing + 1;
        if (now - *m_shortSince >= m_timing.takeoverDelay * int(turn)) {
            m_shortSince.reset();
            return InstanceRole::Active;
        }
    } else {
        m_shortSince.reset();
    }
    const auto sparesBefore = positionOf(zoneMembers, m_self.ip, isSpare);
    const auto spares = std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isSpare));
    if (m_self.role == InstanceRole::Spare) {
        return sparesBefore < SparesWanted ? InstanceRole::Spare : InstanceRole::Standby;
    }
    const auto standbysBefore
        = positionOf(zoneMembers, m_self.ip, [](const auto &it) { return it.role == InstanceRole::Standby; });
    return spares + standbysBefore < SparesWanted ? InstanceRole::Spare : InstanceRole::Standby;
}

void InstanceGroup::leave()
{
    m_self.role = InstanceRole::Leaving;
}

bool InstanceGroup::isHeard(const Member &member, TimePoint now) const
{
    const bool carriesTraffic
        = member.status.role == InstanceRole::Active || member.status.role == InstanceRole::Leaving;
    return now - member.heard < (carriesTraffic ? m_timing.activeTimeout : m_timing.memberTimeout);
}

std::vector<InstanceStatus> InstanceGroup::ranked(const std::string &zone, TimePoint now) const
{
    std::vector<InstanceStatus> result;
    if ((zone.empty() || m_self.zone == zone) && m_self.role != InstanceRole::Leaving) {
        result.push_back(m_self);
    }
    for (const auto &[ip, member] : m_members) {
        const bool leaving = member.status.role == InstanceRole::Leaving;
        if ((zone.empty() || member.status.zone == zone) && !leaving && isHeard(member, now)) {
            result.push_back(member.status);
        }
    }
    std::sort(result.begin(), result.end(), ranksBefore);
    return result;
}

std::vector<InstanceStatus> InstanceGroup::activeInstances(const std::string &zone, TimePoint now) const
{
    auto result = ranked(zone, now);
    std::erase_if(result, [](const InstanceStatus &it) { return it.role != InstanceRole::Active; });
    return result;
}

std::vector<InstanceStatus> InstanceGroup::members(TimePoint now) const
{
    std::vector<InstanceStatus> result;
    for (const auto &[ip, member] : m_members) {
        if (now - member.heard < m_timing.memberTimeout) {
            result.push_back(member.status);
        }
    }
    return result;
}

Milliseconds InstanceGroup::statusAge(const std::string &ip, TimePoint now) const
{
    const auto it = m_members.find(ip);
    return it == m_members.end() ? m_timing.memberTimeout
                                 : std::chrono::duration_cast<Milliseconds>(now - it->second.heard);
}

std::vector<std::string> InstanceGroup::addressesFor(const std::string &zone, TimePoint now) const
{
    auto candidates = ranked(zone, now);
    auto named = activeInstances(zone, now);
    if (named.empty()) {
        // Nobody has taken over yet: the spares, then any active instance elsewhere.
        std::erase_if(candidates, [](const InstanceStatus &it) { return it.role != InstanceRole::Spare; });
        named = candidates.empty() ? activeInstances("", now) : candidates;
    }
    std::vector<std::string> result;
    for (const auto &it : named) {
        result.push_back(it.ip);
    }
    if (result.empty()) {
        result.push_back(m_self.ip);
    }
    return result;
}

bool InstanceGroup::isStoreReader(Milliseconds fleetStoreAge, TimePoint now) const
{
    if (m_self.role != InstanceRole::Active) {
        const auto position
            = positionOf(ranked(m_self.zone, now), m_self.ip, [](const InstanceStatus &) { return true; });
        return m_self.role != InstanceRole::Leaving && fleetStoreAge > NewsPatience + int(position) * StandInDelay;
    }
    for (const auto &it : activeInstances("", now)) {
        if (it.ip == m_self.ip) {
            return true;
        }
        if (Milliseconds(it.storeAgeMs) + statusAge(it.ip, now) < FreshStoreAge) {
            return false;
        }
    }
    return true;
}

std::size_t InstanceGroup::targetActiveCount(TimePoint now) const
{
    const auto zoneMembers = ranked(m_self.zone, now);
    const auto least = std::max<std::size_t>(1, zoneMembers.size() / MembersPerActive);
    double load = 0;
    double capacity = 0;
    std::size_t active = 0;
    for (const auto &it : zoneMembers) {
        if (it.role == InstanceRole::Active) {
            load += it.load;
            capacity += it.capacity;
            ++active;
        }
    }
    if (active == 0 || capacity <= 0) {
        return least;
    }
    auto wanted = active;
    if (load > HighLoad * capacity) {
        wanted = active + 1;
    } else if (active > least && load < LowLoad * capacity * double(active - 1) / double(active)) {
        wanted = active - 1;
    }
    return std::min(std::max(wanted, least), zoneMembers.size());
}

} // namespace laburnumspar
