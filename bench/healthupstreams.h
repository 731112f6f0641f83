#pragma once

#include "healthsimulation.h"

#include <chrono>
#include <random>

namespace laburnumspar::bench {

using namespace std::chrono_literals;

constexpr double LongShare = 0.05;
/// Medians of the log-normal run times.
constexpr Microseconds ShortRunTime = 20ms;
constexpr Microseconds LongRunTime = 200ms;
constexpr Milliseconds ShortDeadline = 1s;
constexpr Milliseconds LongDeadline = 10s;
constexpr Milliseconds FlapInterval = 2s;
constexpr TimePoint Start{1h};
constexpr TimePoint FaultAt = Start + FaultTime;

constexpr Milliseconds deadlineOf(RequestClass requestClass)
{
    return requestClass == RequestClass::Short ? ShortDeadline : LongDeadline;
}

struct Attempt {
    unsigned upstream = 0;
    RequestClass requestClass = RequestClass::Short;
    TimePoint sentAt;
    EvidenceKind result = EvidenceKind::Success;
    TimePoint endsAt;
};

/// Behaviour of the upstreams of a scenario, of which the first one is faulty.
class Upstreams
{
public:
    explicit Upstreams(const Scenario &scenario);

    /// Sets the result and the end of an attempt that starts at its sentAt.
    void planResult(Attempt &attempt, std::mt19937_64 &random) const;
    /// Whether no answers arrive from this upstream.
    bool unresponsive(unsigned upstream, TimePoint now) const;
    bool faultActive(TimePoint now) const;
    bool zoneConditionActive(TimePoint now) const;

private:
    const Scenario &m_scenario;
};

} // namespace laburnumspar::bench
