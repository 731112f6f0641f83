#include "gateway/pullsource.h"

#include <algorithm>
#include <tuple>

namespace laburnumspar::detail {

namespace {

/// Time for which an instance that did not answer a pull is asked only if no other one has newer changes.
constexpr Milliseconds PeerAvoidance{2000};
/// Time for which an instance whose answer was unusable is not asked. The same answer is likely to come back.
constexpr Milliseconds RejectionTime{2000};
/// Age from which a difference between two instances is not explained by a change that is still being passed on.
constexpr Milliseconds DifferenceTimeout{1200};
constexpr Milliseconds MaxPeerStatusAge{700};
/// Time for which an inactive instance waits for one of its own zone before it pulls changes from another zone.
constexpr Milliseconds OwnZoneTimeout{500};

} // namespace

PullSource::PullSource(std::string ip, std::string zone, const InstanceGroup &group, const StoreMirror &mirror)
    : m_ip(std::move(ip))
    , m_zone(std::move(zone))
    , m_group(group)
    , m_mirror(mirror)
{
}

const InstanceStatus *PullSource::newer(TimePoint now)
{
    m_peers = m_group.members(now);
    const bool ownZoneFirst
        = m_group.self().role != InstanceRole::Active && !m_group.activeInstances(m_zone, now).empty();
    const auto *best = newest(ownZoneFirst, now);
    if (!ownZoneFirst || (best != nullptr && !isAvoided(best->ip, now))) {
        m_otherZoneNewerSince.reset();
        return best;
    }
    const bool ownZoneFailed = best != nullptr;
    best = newest(false, now);
    if (best == nullptr || ownZoneFailed) {
        m_otherZoneNewerSince.reset();
        return best;
    }
    m_otherZoneNewerSince = m_otherZoneNewerSince.value_or(now);
    return now - *m_otherZoneNewerSince >= OwnZoneTimeout ? best : nullptr;
}

bool PullSource::isBehind(TimePoint now) const
{
    const auto members = m_group.members(now);
    return std::any_of(members.begin(), members.end(), [this](const InstanceStatus &it) {
        return it.storeRevision > m_mirror.newestRevision();
    });
}

void PullSource::recordAnswer(const std::string &ip, bool answered, TimePoint now)
{
    if (answered) {
        m_avoidedUntil.erase(ip);
        m_rejectedUntil.erase(ip);
    } else {
        m_avoidedUntil[ip] = now + PeerAvoidance;
    }
}

void PullSource::recordRejection(const std::string &ip, TimePoint now)
{
    m_rejectedUntil[ip] = now + RejectionTime;
}

bool PullSource::isAvoided(const std::string &ip, TimePoint now) const
{
    const auto it = m_avoidedUntil.find(ip);
    return (it != m_avoidedUntil.end() && now < it->second) || isRejected(ip, now);
}

bool PullSource::isRejected(const std::string &ip, TimePoint now) const
{
    const auto it = m_rejectedUntil.find(ip);
    return it != m_rejectedUntil.end() && now < it->second;
}

/// Returns the instance with the newest changes, or null if none is newer than this one. Those that have not answered
/// lately come last. Among equals, prefers those of the own zone.
const InstanceStatus *PullSource::newest(bool ownZoneOnly, TimePoint now) const
{
    const InstanceStatus *best = nullptr;
    for (const auto &it : m_peers) {
        if (it.storeRevision <= m_mirror.newestRevision() || (ownZoneOnly && it.zone != m_zone)
            || isRejected(it.ip, now)) {
            continue;
        }
        // The hash makes instances that start together pull from different ones among equals.
        const auto rank = [this, now](const InstanceStatus &peer) {
            return std::tuple(!isAvoided(peer.ip, now),
                              peer.storeRevision,
                              peer.zone == m_zone,
                              std::hash<std::string>()(m_ip + '/' + peer.ip));
        };
        if (best == nullptr || rank(it) > rank(*best)) {
            best = &it;
        }
    }
    return best;
}

const InstanceStatus *PullSource::differing(TimePoint now)
{
    const bool active = m_group.self().role == InstanceRole::Active;
    for (const auto &peer : m_peers) {
        // The digests of all others are outdated, because they do not send their heartbeats to this instance.
        const bool sendsHeartbeatsHere = active || peer.zone == m_zone;
        if (peer.role != InstanceRole::Active || !sendsHeartbeatsHere || peer.storeDigest == m_mirror.digest()
            || m_group.statusAge(peer.ip, now) >= MaxPeerStatusAge || isAvoided(peer.ip, now)) {
            m_differences.erase(peer.ip);
            continue;
        }
        if (peer.storeRevision == Revision() || peer.storeRevision > m_mirror.newestRevision()) {
            continue;
        }
        const Difference seen{
            peer.storeRevision, peer.storeDigest, peer.storeRevision == m_mirror.newestRevision(), now};
        auto &known = m_differences.try_emplace(peer.ip, seen).first->second;
        const bool changed = known.revision != seen.revision || known.digest != seen.digest;
        if (!known.sameRevision && (seen.sameRevision || changed)) {
            known = seen;
        }
        if (now - known.since >= DifferenceTimeout) {
            m_differences.erase(peer.ip);
            return &peer;
        }
    }
    return nullptr;
}

} // namespace laburnumspar::detail
