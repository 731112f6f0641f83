#include "laburnumspar/healthbaselines.h"

namespace laburnumspar {

namespace {

const Registration<HealthPolicy, JudgePolicy> judge("judge");
const Registration<HealthPolicy, ConsecutiveErrorsPolicy> consecutiveErrors("consecutive-errors");
const Registration<HealthPolicy, ProbesOnlyPolicy> probesOnly("probes-only");

} // namespace

} // namespace laburnumspar
