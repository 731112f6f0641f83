#include "laburnumspar/upstreamassignment.h"

#include <xxhash.h>

#include <algorithm>

namespace laburnumspar {

namespace {

/// Share of an upstream's request rate for the instances of other availability zones, which use it rarely.
constexpr double OtherZonesRateShare = 0.2;

std::uint64_t score(const std::string &ip, const std::string &upstream)
{
    return XXH3_64bits_withSeed(ip.data(), ip.size(), XXH3_64bits(upstream.data(), upstream.size()));
}

} // namespace

UpstreamAssignment::UpstreamAssignment(std::string selfIp)
    : m_selfIp(std::move(selfIp))
{
}

void UpstreamAssignment::update(const std::vector<InstanceStatus> &activeInstances)
{
    m_all.clear();
    m_byZone.clear();
    for (const auto &it : activeInstances) {
        m_all.push_back(it.ip);
        m_byZone[it.zone].push_back(it.ip);
    }
}

bool UpstreamAssignment::isExplorer(const RegisteredUpstream &upstream) const
{
    const auto zone = m_byZone.find(upstream.zone);
    const auto &candidates = zone != m_byZone.end() ? zone->second : m_all;
    // Rendezvous hashing: a change of the active instances moves only the upstreams of those that come or go.
    const std::string *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &ip : candidates) {
        const auto candidateScore = score(ip, upstream.id);
        if (best == nullptr || candidateScore > bestScore || (candidateScore == bestScore && ip < *best)) {
            best = &ip;
            bestScore = candidateScore;
        }
    }
    return best != nullptr && *best == m_selfIp;
}

double UpstreamAssignment::rateShare(const RegisteredUpstream &upstream) const
{
    if (std::find(m_all.begin(), m_all.end(), m_selfIp) == m_all.end()) {
        return 0;
    }
    const auto zone = m_byZone.find(upstream.zone);
    const auto own = zone == m_byZone.end() ? 0 : zone->second.size();
    const auto others = m_all.size() - own;
    if (own == 0 || others == 0) {
        return 1.0 / double(m_all.size());
    }
    const bool inOwnZone = std::find(zone->second.begin(), zone->second.end(), m_selfIp) != zone->second.end();
    return inOwnZone ? (1 - OtherZonesRateShare) / double(own) : OtherZonesRateShare / double(others);
}

} // namespace laburnumspar
