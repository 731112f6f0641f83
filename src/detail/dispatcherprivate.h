#pragma once

#include "detail/classestimator.h"
#include "detail/fairqueue.h"
#include "detail/slottable.h"
#include "laburnumspar/dispatcher.h"

#include <boost/circular_buffer.hpp>

#include <set>
#include <unordered_map>

namespace laburnumspar {

/// State of a dispatcher. Admission is in dispatcher.cpp, the start and refusal of queued requests in
/// detail/dispatcherstart.cpp, the load report and the dump in detail/dispatcherdump.cpp.
class Dispatcher::Private
{
public:
    using Decisions = std::vector<Decision>;

    explicit Private(const Builder &builder);

    void setUpstreams(std::vector<UpstreamCapacity> upstreams, TimePoint now);
    void setLimits(DispatcherLimits limits, TimePoint now);
    Decisions submit(DispatchRequest request, TimePoint now);
    Decisions finish(std::uint64_t ticket, const Completion &completion, TimePoint now);
    Decisions cancel(std::uint64_t ticket, TimePoint now);
    Decisions poll(TimePoint now);
    DispatcherLoad load() const;
    bool retriesAllowed() const;
    DispatcherDump dump() const;

private:
    struct Entry {
        DispatchRequest request;
        RequestClass requestClass = RequestClass::Short; ///< learned for the route, or declared
        detail::Team *team = nullptr;
        detail::QueueKey key;
        detail::UpstreamSlots *upstream = nullptr; ///< null while queued
        TimePoint submittedAt;
        TimePoint startedAt;
        double costUs = 0; ///< slot time charged to the team
        bool trial = false; ///< runs although the typical execution time exceeds its deadline
        bool cancelled = false;
    };
    using Entries = std::unordered_map<std::uint64_t, Entry>;

    TimePoint advance(TimePoint now, bool force = false);

    // Admission.
    Reason admit(Entry &entry, TimePoint now);
    Reason admitToQueue(const Entry &entry, TimePoint now) const;
    bool exceedsTargetWait(const detail::Team &team, RequestClass requestClass, TimePoint now) const;
    bool evictForTeam(const detail::Team &team, TimePoint now, Decisions &decisions);
    double classSlots(RequestClass requestClass, TimePoint now) const;
    detail::DrainRate drainRate(const detail::Team &team, RequestClass requestClass, TimePoint now) const;
    std::uint32_t estimatedWaitUs(RequestClass requestClass) const;

    // Start and refusal.
    void startQueued(TimePoint now, Decisions &decisions);
    bool decideNext(TimePoint now, Decisions &decisions);
    bool decideFor(detail::Team &team, RequestClass requestClass, TimePoint now, Decisions &decisions);
    bool updateClass(Entry &entry);
    void start(Entry &entry, detail::UpstreamSlots &upstream, TimePoint now, Decisions &decisions);
    void refuse(Entries::iterator it, Reason reason, TimePoint now, Decisions &decisions);
    Reason refusalReason(const Entry &entry, TimePoint now) const;
    void recordDecision(const Entry &entry, const Decision &decision, TimePoint now, Decisions &decisions);

    // Periodic checks and learned execution times.
    void reclassifyOverruns(TimePoint now);
    void refuseWithoutUpstream(TimePoint now, Decisions &decisions);
    void refuseExpired(TimePoint now, Decisions &decisions);
    void refuseInfeasible(TimePoint now, Decisions &decisions);
    void recordCompletion(const Entry &entry, const Completion &completion, Microseconds held, TimePoint now);

    std::string m_service;
    unsigned m_queueLimit;
    detail::SlotTable m_slots;
    detail::FairQueue m_queue;
    detail::ClassEstimator m_estimator;
    detail::SlotMeter m_usableSlots; // average of the recently usable slots
    Entries m_entries;
    std::set<std::pair<TimePoint, std::uint64_t>> m_startedShort; // start time and ticket of started short requests
    boost::circular_buffer<DecisionDump> m_recentDecisions;
    std::uint64_t m_nextSequence = 0;
    TimePoint m_now;
};

} // namespace laburnumspar
