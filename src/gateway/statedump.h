#pragma once

#include "gateway/storefollower.h"
#include "laburnumspar/quotaledger.h"

#include <string>

namespace laburnumspar::detail {

/// Returns roles, versions, upstreams, queue lengths and the largest organisations of an instance as JSON.
std::string dumpState(const InstanceGroup &group,
                      ServiceRegistry &serviceRegistry,
                      const QuotaLedger &quotas,
                      const StoreFollower &follower,
                      TimePoint now);

} // namespace laburnumspar::detail
