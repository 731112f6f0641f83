#pragma once

#include "detail/healthpool.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// Changes the states of the owned upstreams of a pool according to their evidence.
class HealthStateMachine
{
public:
    explicit HealthStateMachine(HealthPool &pool);

    /// Updates the scores and states of all owned upstreams.
    void evaluate(TimePoint now);
    /// Run time above which an attempt is slow; empty without evidence.
    std::optional<Microseconds> slowThreshold(RequestClass requestClass) const
    {
        return m_slowThresholds[static_cast<std::size_t>(requestClass)];
    }
    /// Whether most owned upstreams are unresponsive at once.
    bool ownNetworkFault() const
    {
        return m_ownNetworkFault;
    }

private:
    void collectOwned(TimePoint now);
    void updateScores(TimePoint now);
    void updateNetworkFault(TimePoint now);
    bool mostAreUnresponsive(TimePoint now) const;
    void clearCommonWrongAnswers();
    void updateUnreachable(UpstreamRecord &record, TimePoint now) const;
    void updateState(UpstreamRecord &record, TimePoint now);
    void updateSuspect(UpstreamRecord &record, std::size_t n, TimePoint now);
    void updateReturning(UpstreamRecord &record, TimePoint now);
    void ejectSuspects(TimePoint now);
    bool isFaultConfirmed(std::size_t n, TimePoint now) const;
    FaultScores scoresSince(std::size_t n, TimePoint from) const;
    bool canBecomeSuspect(const UpstreamRecord &record) const;
    std::vector<PeerComparison::Entry> comparisonEntries(std::size_t requestClass, TimePoint now) const;

    HealthPool &m_pool;
    std::array<std::optional<Microseconds>, RequestClasses> m_slowThresholds;
    bool m_ownNetworkFault = false;
    TimePoint m_networkFaultSince;
    std::vector<UpstreamRecord *> m_owned;
    std::vector<PeerComparison> m_comparisons;
};

} // namespace laburnumspar::detail
