#pragma once

#include "detail/healthpool.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// Moves the upstreams of a pool between the states by the evidence about them.
class HealthDecider
{
public:
    explicit HealthDecider(HealthPool &pool);

    void evaluate(TimePoint now);
    /// Run time above which an attempt is slow; empty without evidence.
    std::optional<Microseconds> slowAfter(WorkClass workClass) const
    {
        return m_slowAfter[static_cast<std::size_t>(workClass)];
    }
    /// Most upstreams seem unreachable at once.
    bool ownNetworkFault() const
    {
        return m_ownNetworkFault;
    }

private:
    void collect(TimePoint now);
    void compare(TimePoint now);
    void updateNetwork(TimePoint now);
    bool mostAreSilent(TimePoint now) const;
    void clearCommonWrongAnswers();
    void updateUnreachable(UpstreamRecord &record, TimePoint now) const;
    void step(UpstreamRecord &record, TimePoint now);
    void stepSuspect(UpstreamRecord &record, std::size_t n, TimePoint now);
    void stepReturning(UpstreamRecord &record, TimePoint now);
    void ejectWorst(TimePoint now);
    bool confirmed(std::size_t n, TimePoint now) const;
    Suspicion sumSince(std::size_t n, TimePoint from) const;
    bool mayBeSuspect(const UpstreamRecord &record) const;
    std::vector<PeerComparison::Entry> entries(std::size_t workClass, TimePoint now) const;

    HealthPool &m_pool;
    std::array<std::optional<Microseconds>, WorkClasses> m_slowAfter;
    bool m_ownNetworkFault = false;
    TimePoint m_networkFaultSince;
    std::vector<UpstreamRecord *> m_owned;
    std::vector<PeerComparison> m_comparisons;
};

} // namespace laburnumspar::detail
