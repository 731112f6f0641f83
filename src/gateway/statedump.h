#pragma once

#include "gateway/storefollower.h"

#include <string>

namespace laburnumspar::detail {

/// Returns roles, versions, upstreams and queue lengths of an instance as JSON.
std::string
dumpState(const InstanceGroup &group, ServiceRegistry &serviceRegistry, const StoreFollower &follower, TimePoint now);

} // namespace laburnumspar::detail
