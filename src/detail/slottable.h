#pragma once

#include "laburnumspar/dispatcher.h"

#include <memory>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// An upstream and the requests that this dispatcher has started on it.
struct UpstreamSlots {
    UpstreamId id;
    unsigned capacity = 0; ///< configured slots; 0 if no longer owned
    Admission admission;
    unsigned outstanding = 0; ///< started requests that have not finished
    unsigned longOutstanding = 0; ///< those of them that count as long
    unsigned externalLoad = 0; ///< requests started by others, as last reported
    TimePoint externalLoadUntil; ///< when the report expires
    unsigned shedLimit = 0; ///< upper limit until shedUntil
    TimePoint shedUntil;
    unsigned limit = 0; ///< usable slots as of the last refresh
    bool longAllowed = false; ///< may hold long requests

    /// Slots that the configuration and the admission hook allow.
    unsigned admitted() const;
};

/// Slots of the owned upstreams, and the rules on which requests may use them.
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

    /// Replaces the owned upstreams. Others are kept with a capacity of 0 until their requests have finished.
    void setUpstreams(std::vector<UpstreamCapacity> upstreams);
    /// Takes effect with the next refresh().
    void setLongShare(double share)
    {
        m_options.longShare = share;
    }
    /// Recomputes the limits. Calls the hook if `force` is set or its last results are 1 ms old.
    void refresh(TimePoint now, bool force);

    /// Upstream for a request of the class; null if none has a slot for it.
    UpstreamSlots *choose(RequestClass requestClass, const std::vector<UpstreamId> &exclude, bool idempotent);
    void start(UpstreamSlots &upstream, RequestClass requestClass);
    void finish(UpstreamSlots &upstream, RequestClass requestClass, const Completion &completion, TimePoint now);
    /// Counts a started short request as long from now on.
    void reclassify(UpstreamSlots &upstream);

    /// True if any upstream outside of `exclude` admits requests, even if it has no free slot.
    bool hasUsableUpstream(const std::vector<UpstreamId> &exclude) const;
    bool hasFreeSlot(RequestClass requestClass) const;
    /// Sum of the limits of all upstreams.
    unsigned slots() const
    {
        return m_slotSum;
    }
    /// Free slots to publish; those of upstreams on trial count only if all upstreams are on trial.
    unsigned freeSlots() const;
    /// Maximum number of long requests that may run at once.
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
    bool accepts(const UpstreamSlots &upstream, RequestClass requestClass) const;
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
    bool m_allOnTrial = false; // every usable upstream is on trial
    bool m_noSpareForLong = false; // no upstream has a slot beyond the one reserved for short requests
};

} // namespace laburnumspar::detail
