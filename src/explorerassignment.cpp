#include "laburnumspar/explorerassignment.h"

#include <xxhash.h>

namespace laburnumspar {

namespace {

std::uint64_t score(const std::string &ip, const std::string &upstream)
{
    return XXH3_64bits_withSeed(ip.data(), ip.size(), XXH3_64bits(upstream.data(), upstream.size()));
}

} // namespace

ExplorerAssignment::ExplorerAssignment(std::string selfIp)
    : m_selfIp(std::move(selfIp))
{
}

void ExplorerAssignment::update(const std::vector<InstanceStatus> &activeInstances)
{
    m_all.clear();
    m_byZone.clear();
    for (const auto &it : activeInstances) {
        m_all.push_back(it.ip);
        m_byZone[it.zone].push_back(it.ip);
    }
}

bool ExplorerAssignment::isExplorer(const RegisteredUpstream &upstream) const
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

} // namespace laburnumspar
