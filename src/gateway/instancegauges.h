#pragma once

#include "gateway/forwarder.h"
#include "gateway/storefollower.h"
#include "laburnumspar/metrics.h"
#include "laburnumspar/quotaledger.h"

namespace laburnumspar::detail {

/// The parts of an instance whose state is shown as gauges.
struct GaugedParts {
    Forwarder &forwarder;
    const StoreFollower &follower;
    const QuotaLedger &quotas;
    const MemoryBudget &memory;
};

/// Sets the metrics that are read from the state of the parts when they are asked for.
void updateGauges(MetricsRegistry &metrics, const GaugedParts &parts, TimePoint now);

} // namespace laburnumspar::detail
