#include "laburnumspar/instancegroup.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

/// A zone with at least this many instances has two active ones without load. More would each observe fewer attempts
/// at every upstream, and exchange more observations.
constexpr std::size_t MinMembersForTwoActive = 32;
/// One more instance becomes active when the load exceeds the first share of the capacity of the active instances. One
/// fewer is active when the load without it would stay below the second share.
constexpr double ScaleUpLoad = 0.5;
constexpr double ScaleDownLoad = 0.2;
constexpr std::size_t TargetSpares = 1;
/// If the last response of the store to a reader is older than this, the next active instance by rank reads as well.
constexpr Milliseconds MaxReaderStoreAge{1500};
/// Time without a response of the store to any instance after which instances that are not active start to read it, one
/// after the other in the order of their ranks.
constexpr Milliseconds BackupReaderTimeout{1200};
constexpr Milliseconds BackupReaderDelayPerRank{100};

std::uint64_t rankHash(const std::string &ip)
{
    return XXH3_64bits(ip.data(), ip.size());
}

/// Instances with more capacity rank first. The hash spreads the active instances over the machines of a zone.
bool ranksBefore(const InstanceStatus &a, const InstanceStatus &b)
{
    if (a.capacity != b.capacity) {
        return a.capacity > b.capacity;
    }
    const auto hashA = rankHash(a.ip);
    const auto hashB = rankHash(b.ip);
    return hashA != hashB ? hashA < hashB : a.ip < b.ip;
}

std::size_t countBefore(const std::vector<InstanceStatus> &instances, const std::string &ip, auto &&predicate)
{
    std::size_t n = 0;
    for (const auto &instance : instances) {
        if (instance.ip == ip) {
            break;
        }
        n += predicate(instance) ? 1 : 0;
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
    const auto lastSeen = now - age;
    const auto [it, added] = m_members.try_emplace(status.ip, Member{status, lastSeen});
    auto &member = it->second;
    const bool newer = status.incarnation > member.status.incarnation
        || (status.incarnation == member.status.incarnation && lastSeen > member.lastSeen);
    if (!added && newer) {
        // Relayed statuses do not contain the load and the state of the store, so the known values are kept.
        const auto known = member.status;
        member = {status, lastSeen};
        if (known.incarnation == status.incarnation) {
            member.status.storeRevision = known.storeRevision;
            member.status.storeAgeMs = known.storeAgeMs;
            member.status.fleetStoreAgeMs = known.fleetStoreAgeMs;
            member.status.storeDigest = known.storeDigest;
            member.status.load = known.load;
            member.status.requestRate = known.requestRate;
        }
    }
}

void InstanceGroup::markUnresponsive(const std::string &ip, TimePoint now)
{
    const auto it = m_members.find(ip);
    if (it != m_members.end()) {
        it->second.lastSeen = std::min(it->second.lastSeen, now - m_timing.activeTimeout);
    }
}

InstanceRole InstanceGroup::updateRole(TimePoint now)
{
    std::erase_if(m_members,
                  [&](const auto &entry) { return now - entry.second.lastSeen > 5 * m_timing.memberTimeout; });
    if (m_self.role != InstanceRole::Leaving && now - m_started >= m_timing.discoveryTime) {
        m_self.role = chooseRole(rankedInstances(m_self.zone, now), now);
    }
    return m_self.role;
}

InstanceRole InstanceGroup::chooseRole(const std::vector<InstanceStatus> &zoneMembers, TimePoint now)
{
    const auto isActive = [](const InstanceStatus &it) { return it.role == InstanceRole::Active; };
    const auto isSpare = [](const InstanceStatus &it) { return it.role == InstanceRole::Spare; };
    const auto active = std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isActive));
    const auto target = targetActiveCount(now);
    if (m_self.role == InstanceRole::Active) {
        const bool redundant = active > target && countBefore(zoneMembers, m_self.ip, isActive) >= target;
        return redundant ? InstanceRole::Spare : InstanceRole::Active;
    }
    if (active < target) {
        m_shortageSince = m_shortageSince.value_or(now);
        // Spares take over first, since their state is complete.
        const auto position = m_self.role == InstanceRole::Spare
            ? countBefore(zoneMembers, m_self.ip, isSpare)
            : countBefore(zoneMembers, m_self.ip, [&](const auto &it) { return !isActive(it) && !isSpare(it); })
                + std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isSpare));
        const auto shortage = target - active;
        const auto delaySteps = position < shortage ? 0 : position - shortage + 1;
        if (now - *m_shortageSince >= m_timing.takeoverDelay * int(delaySteps)) {
            m_shortageSince.reset();
            return InstanceRole::Active;
        }
    } else {
        m_shortageSince.reset();
    }
    const auto sparesBefore = countBefore(zoneMembers, m_self.ip, isSpare);
    const auto spares = std::size_t(std::count_if(zoneMembers.begin(), zoneMembers.end(), isSpare));
    if (m_self.role == InstanceRole::Spare) {
        return sparesBefore < TargetSpares ? InstanceRole::Spare : InstanceRole::Standby;
    }
    const auto standbysBefore
        = countBefore(zoneMembers, m_self.ip, [](const auto &it) { return it.role == InstanceRole::Standby; });
    return spares + standbysBefore < TargetSpares ? InstanceRole::Spare : InstanceRole::Standby;
}

void InstanceGroup::leave()
{
    m_self.role = InstanceRole::Leaving;
}

bool InstanceGroup::isResponsive(const Member &member, TimePoint now) const
{
    const bool carriesTraffic
        = member.status.role == InstanceRole::Active || member.status.role == InstanceRole::Leaving;
    return now - member.lastSeen < (carriesTraffic ? m_timing.activeTimeout : m_timing.memberTimeout);
}

std::vector<InstanceStatus> InstanceGroup::rankedInstances(const std::string &zone, TimePoint now) const
{
    std::vector<InstanceStatus> result;
    if ((zone.empty() || m_self.zone == zone) && m_self.role != InstanceRole::Leaving) {
        result.push_back(m_self);
    }
    for (const auto &[ip, member] : m_members) {
        const bool leaving = member.status.role == InstanceRole::Leaving;
        if ((zone.empty() || member.status.zone == zone) && !leaving && isResponsive(member, now)) {
            result.push_back(member.status);
        }
    }
    std::sort(result.begin(), result.end(), ranksBefore);
    return result;
}

std::vector<InstanceStatus> InstanceGroup::activeInstances(const std::string &zone, TimePoint now) const
{
    auto result = rankedInstances(zone, now);
    std::erase_if(result, [](const InstanceStatus &it) { return it.role != InstanceRole::Active; });
    return result;
}

std::vector<InstanceStatus> InstanceGroup::members(TimePoint now) const
{
    std::vector<InstanceStatus> result;
    for (const auto &[ip, member] : m_members) {
        if (now - member.lastSeen < m_timing.memberTimeout) {
            result.push_back(member.status);
        }
    }
    return result;
}

Milliseconds InstanceGroup::statusAge(const std::string &ip, TimePoint now) const
{
    const auto it = m_members.find(ip);
    return it == m_members.end() ? m_timing.memberTimeout
                                 : std::chrono::duration_cast<Milliseconds>(now - it->second.lastSeen);
}

std::vector<std::string> InstanceGroup::addressesFor(const std::string &zone, TimePoint now) const
{
    auto fallback = rankedInstances(zone, now);
    auto candidates = activeInstances(zone, now);
    if (candidates.empty()) {
        // No instance has taken over yet: use the spares, or else active instances of other zones.
        std::erase_if(fallback, [](const InstanceStatus &it) { return it.role != InstanceRole::Spare; });
        candidates = fallback.empty() ? activeInstances("", now) : fallback;
    }
    std::vector<std::string> result;
    for (const auto &it : candidates) {
        result.push_back(it.ip);
    }
    if (result.empty()) {
        result.push_back(m_self.ip);
    }
    return result;
}

bool InstanceGroup::isStoreReader(Milliseconds fleetStoreAge, TimePoint now) const
{
    // Just after a start no answer is known, although others may have had one.
    const auto uptime = std::chrono::duration_cast<Milliseconds>(now - m_started);
    const auto age = std::min(fleetStoreAge, uptime);
    if (m_self.role != InstanceRole::Active) {
        const auto position
            = countBefore(rankedInstances(m_self.zone, now), m_self.ip, [](const InstanceStatus &) { return true; });
        return m_self.role != InstanceRole::Leaving
            && age > BackupReaderTimeout + int(position) * BackupReaderDelayPerRank;
    }
    const bool readsAlready = Milliseconds(m_self.storeAgeMs) < MaxReaderStoreAge;
    for (const auto &it : activeInstances("", now)) {
        if (it.ip == m_self.ip) {
            return true;
        }
        const bool fresh = Milliseconds(it.storeAgeMs) + statusAge(it.ip, now) < MaxReaderStoreAge;
        if (fresh || (!readsAlready && age < MaxReaderStoreAge)) {
            return false;
        }
    }
    return true;
}

std::size_t InstanceGroup::targetActiveCount(TimePoint now) const
{
    const auto zoneMembers = rankedInstances(m_self.zone, now);
    const std::size_t minimum = zoneMembers.size() < MinMembersForTwoActive ? 1 : 2;
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
        return minimum;
    }
    auto target = active;
    if (load > ScaleUpLoad * capacity) {
        target = active + 1;
    } else if (active > minimum && load < ScaleDownLoad * capacity * double(active - 1) / double(active)) {
        target = active - 1;
    }
    return std::min(std::max(target, minimum), zoneMembers.size());
}

} // namespace laburnumspar
