#pragma once

#include "laburnumspar/dispatcher.h"

#include <memory>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// One upstream and the work that this dispatcher has started on it.
struct Slot {
    UpstreamId id;
    unsigned capacity = 0; ///< configured slots; 0 once given up
    Admission admission;
    unsigned outstanding = 0;
    unsigned longOutstanding = 0;
    unsigned foreign = 0; ///< reported work of others
    TimePoint foreignUntil;
    unsigned shedLimit = 0; ///< in force until shedUntil
    TimePoint shedUntil;
    unsigned limit = 0; ///< usable slots as of the last refresh
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
    Slot *choose(WorkClass workClass, const std::vector<UpstreamId> &exclude, bool idempotent);
    void start(Slot &slot, WorkClass workClass);
    void finish(Slot &slot, WorkClass workClass, const Completion &completion, TimePoint now);
    /// Counts a started short item as long from now on.
    void reclassify(Slot &slot);

    /// True if some upstream outside of `exclude` admits work, even if none is free now.
    bool usable(const std::vector<UpstreamId> &exclude) const;
    bool hasFree(WorkClass workClass) const;
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
    const std::vector<std::unique_ptr<Slot>> &all() const
    {
        return m_slots;
    }

private:
    bool accepts(const Slot &slot, WorkClass workClass) const;
    bool acceptsLong(const Slot &slot) const;
    void assignLong();
    void dropUnused();

    Options m_options;
    RandomEngine m_random;
    std::vector<std::unique_ptr<Slot>> m_slots; // sorted by id
    std::vector<PolicyCandidate> m_candidates; // reused by choose()
    std::vector<Slot *> m_candidateSlots;
    std::optional<TimePoint> m_hookReadAt;
    unsigned m_slotSum = 0;
    unsigned m_longLimit = 0;
    unsigned m_longRunning = 0;
    bool m_allInDoubt = false; ///< every usable upstream is on trial
    bool m_lastResort = false; // no upstream can spare a slot for long work
};

} // namespace laburnumspar::detail
