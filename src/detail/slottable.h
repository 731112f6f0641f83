#pragma once

#include "laburnumspar/dispatcher.h"

#include <memory>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// One upstream and the work that this dispatcher has started on it.
struct UpstreamSlots {
    UpstreamId id;
    unsigned capacity = 0; ///< configured slots; 0 once given up
    Admission admission;
    unsigned outstanding = 0;
    unsigned longOutstanding = 0;
    unsigned externalLoad = 0; ///< reported work of others
    TimePoint externalLoadUntil;
    unsigned shedLimit = 0; ///< in force until shedUntil
    TimePoint shedUntil;
    unsigned limit = 0; ///< hasUsableUpstream slots as of the last refresh
    bool longAllowed = false;

    /// Slots that the configuration and the admission hook allow.
    unsigned admitted() const;
};

/// Slots of the owned upstreams with the rules on who may take them.
class SlotTable
{
public:
    struct Options {
        double longShare = 0.5;
        LongPlacement placement = LongPlacement::SharePerUpstream;
        AdmissionHook hook;
        std::unique_ptr<DispatchPolicy> policy;
        std::uint64_t seed = 1;
    };

    explicit SlotTable(Options options);

    void setUpstreams(std::vector<UpstreamCapacity> upstreams);
    /// Applies from the next refresh on.
    void setLongShare(double share)
    {
        m_options.longShare = share;
    }
    /// Recomputes the limits; asks the hook again if `force` is set or its answers are older than 1 ms.
    void refresh(TimePoint now, bool force);

    /// Upstream for an item of the class; null if none has a slot for it.
    UpstreamSlots *choose(WorkClass workClass, const std::vector<UpstreamId> &exclude, bool idempotent);
    void start(UpstreamSlots &upstream, WorkClass workClass);
    void finish(UpstreamSlots &upstream, WorkClass workClass, const Completion &completion, TimePoint now);
    /// Counts a started short item as long from now on.
    void reclassify(UpstreamSlots &upstream);

    /// True if some upstream outside of `exclude` admits work, even if none is free now.
    bool hasUsableUpstream(const std::vector<UpstreamId> &exclude) const;
    bool hasFreeSlot(WorkClass workClass) const;
    /// Sum of the limits.
    unsigned slots() const
    {
        return m_slotSum;
    }
    unsigned freeSlots() const;
    unsigned longLimit() const
    {
        return m_longLimit;
    }
    unsigned longRunning() const
    {
        return m_longRunning;
    }
    const std::vector<std::unique_ptr<UpstreamSlots>> &upstreams() const
    {
        return m_upstreams;
    }

private:
    bool accepts(const UpstreamSlots &upstream, WorkClass workClass) const;
    bool acceptsLong(const UpstreamSlots &upstream) const;
    void assignLongUpstreams();
    void dropUnused();

    Options m_options;
    RandomEngine m_random;
    std::vector<std::unique_ptr<UpstreamSlots>> m_upstreams; // sorted by id
    std::vector<PolicyCandidate> m_candidates; // reused by choose()
    std::vector<UpstreamSlots *> m_candidateUpstreams;
    std::optional<TimePoint> m_hookCalledAt;
    unsigned m_slotSum = 0;
    unsigned m_longLimit = 0;
    unsigned m_longRunning = 0;
    bool m_allOnTrial = false; ///< every hasUsableUpstream upstream is on trial
    bool m_noSpareForLong = false; // no upstream can spare a slot for long work
};

} // namespace laburnumspar::detail
