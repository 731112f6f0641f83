#include "laburnumspar/healthbaselines.h"

namespace laburnumspar {

namespace {

const Registration<HealthPolicy, PeerComparisonPolicy> peerComparison("judge");
const Registration<HealthPolicy, ConsecutiveErrorsPolicy> consecutiveErrors("consecutive-errors");
const Registration<HealthPolicy, ProbesOnlyPolicy> probesOnly("probes-only");

} // namespace

} // namespace laburnumspar
