#include "gateway/instancegauges.h"

namespace laburnumspar::detail {

void updateGauges(MetricsRegistry &metrics, const GaugedParts &parts, TimePoint now)
{
    metrics.gauge("lspar_connections_opened").set(double(parts.forwarder.connections().opened()));
    metrics.gauge("lspar_store_calls").set(double(parts.follower.storeCalls()));
    metrics.gauge("lspar_store_era").set(double(parts.follower.storeEra()));
    metrics.gauge("lspar_store_revision").set(double(parts.follower.mirror().newestRevision().number));
    metrics.gauge("lspar_store_age_seconds").set(double(parts.follower.fleetStoreAge(now).count()) / 1000);
    metrics.gauge("lspar_pulls").set(double(parts.follower.pulls()));
    metrics.gauge("lspar_pulls_failed").set(double(parts.follower.failedPulls()));
    metrics.gauge("lspar_pulls_rejected").set(double(parts.follower.rejectedPulls()));
    metrics.gauge("lspar_store_replies_rejected").set(double(parts.follower.rejectedReplies()));
    metrics.gauge("lspar_requests_in_flight").set(double(parts.forwarder.inFlight()));
    metrics.gauge("lspar_quota_decisions", {{"result", "own-share"}}).set(double(parts.quotas.counts().ownShare));
    metrics.gauge("lspar_quota_decisions", {{"result", "reserve"}}).set(double(parts.quotas.counts().reserve));
    metrics.gauge("lspar_quota_decisions", {{"result", "refused"}}).set(double(parts.quotas.counts().refused));
    metrics.gauge("lspar_memory_budget_bytes").set(double(parts.memory.limit()));
    metrics.gauge("lspar_memory_held_bytes").set(double(parts.memory.held()));
    for (const auto use : MemoryUses) {
        metrics.gauge("lspar_memory_refused", {{"use", std::string(useName(use))}})
            .set(double(parts.memory.refused(use)));
    }
}

} // namespace laburnumspar::detail
