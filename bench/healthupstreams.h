#pragma once

#include "healthsimulation.h"

#include <chrono>
#include <random>

namespace laburnumspar::bench {

using namespace std::chrono_literals;

constexpr double LongShare = 0.05;
/// Median run times, with a log-normal distribution.
constexpr Microseconds ShortTime = 20ms;
constexpr Microseconds LongTime = 200ms;
constexpr Milliseconds ShortDeadline = 1s;
constexpr Milliseconds LongDeadline = 10s;
constexpr Milliseconds FlapPhase = 2s;
constexpr TimePoint Start{1h};
constexpr TimePoint FaultAt = Start + FaultTime;

constexpr Milliseconds deadlineOf(WorkClass workClass)
{
    return workClass == WorkClass::Short ? ShortDeadline : LongDeadline;
}

struct Attempt {
    unsigned upstream = 0;
    WorkClass workClass = WorkClass::Short;
    TimePoint sentAt;
    EvidenceKind result = EvidenceKind::Success;
    TimePoint endsAt;
};

/// The upstreams of a scenario; the first one is the faulty one.
class Upstreams
{
public:
    explicit Upstreams(const Scenario &scenario);

    /// Sets how and when an attempt ends that starts at its sentAt.
    void plan(Attempt &attempt, std::mt19937_64 &random) const;
    /// Whether no answers come from this upstream.
    bool silent(unsigned upstream, TimePoint now) const;
    bool faulty(TimePoint now) const;
    bool pressed(TimePoint now) const;

private:
    const Scenario &m_scenario;
};

} // namespace laburnumspar::bench
