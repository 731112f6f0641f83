#pragma once

#include "detail/memberlist.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace laburnumspar::detail {

/// Instances in the platform's list, and whether each is listed as leaving.
using ListedInstances = std::map<InstanceId, bool>;

/// Selects the receivers of heartbeats. Their number per period does not depend on the size of the fleet.
class PeerSelector
{
public:
    PeerSelector(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t randomSeed);

    const ListedInstances &listedInstances() const
    {
        return m_listed;
    }
    void setListedInstances(ListedInstances instances);
    /// Selects the member ahead of the random order, for example because it is new or receives nothing from this
    /// instance.
    void prioritize(const InstanceId &id);
    /// Returns the receivers of this period; call once per period.
    std::vector<InstanceId> select(const Members &members);

private:
    using Selection = std::vector<InstanceId>;

    bool isCandidate(const InstanceId &id, const Members &members, const Selection &selection) const;
    std::optional<InstanceId> nextPrioritized(const Members &members, const Selection &selection);
    std::optional<InstanceId> nextInRound(const Members &members, const Selection &selection);
    std::optional<InstanceId> nextDiscoveryTarget(const Members &members, const Selection &selection);
    void startRound(const Members &members);

    InstanceId m_self;
    ListedInstances m_seeds;
    ListedInstances m_listed;
    std::mt19937_64 m_random;
    std::vector<InstanceId> m_round; ///< members still to be selected in this round, from the back
    std::deque<InstanceId> m_prioritized;
    std::uint64_t m_ticks = 0;
    std::size_t m_discoverySource = 0; ///< modulo 3, next source to search: seeds, listed instances, dead members
    InstanceId m_seedCursor;
    InstanceId m_listedCursor;
    InstanceId m_deadCursor;
};

} // namespace laburnumspar::detail
