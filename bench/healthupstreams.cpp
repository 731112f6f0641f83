#include "healthupstreams.h"

namespace laburnumspar::bench {

namespace {

constexpr Milliseconds UnresponsiveTime = 3s;
constexpr Milliseconds SpikeTime = 5s;

} // namespace

Upstreams::Upstreams(const Scenario &scenario)
    : m_scenario(scenario)
{
}

bool Upstreams::zoneConditionActive(TimePoint now) const
{
    const auto end = m_scenario.zoneCondition == ZoneCondition::Spike ? FaultAt + SpikeTime : TimePoint::max();
    return m_scenario.zoneCondition != ZoneCondition::None && now >= FaultAt && now < end;
}

bool Upstreams::faultActive(TimePoint now) const
{
    if (now < FaultAt || m_scenario.fault == Fault::None || m_scenario.fault == Fault::Pause) {
        return false;
    }
    const auto since = now - FaultAt;
    if (m_scenario.fault == Fault::Flapping) {
        return (since / FlapInterval) % 2 == 0;
    }
    return m_scenario.fault != Fault::AllUnresponsive || since < UnresponsiveTime;
}

bool Upstreams::unresponsive(unsigned upstream, TimePoint now) const
{
    if (!faultActive(now)) {
        return false;
    }
    switch (m_scenario.fault) {
    case Fault::AllUnresponsive:
        return true;
    case Fault::BlackHole:
    case Fault::Flapping:
    case Fault::OneWayPartition:
        return upstream == 0;
    default:
        return false;
    }
}

void Upstreams::planResult(Attempt &attempt, std::mt19937_64 &random) const
{
    const bool isShort = attempt.requestClass == RequestClass::Short;
    const auto deadline = deadlineOf(attempt.requestClass);
    double factor = std::lognormal_distribution<double>(0, m_scenario.sigma)(random)
        * (zoneConditionActive(attempt.sentAt) ? 3 : 1);
    const bool faulty = faultActive(attempt.sentAt) && attempt.upstream == 0;
    factor *= faulty && m_scenario.fault == Fault::SlowTenfold ? 10 : 1;
    const auto median = isShort ? ShortRunTime : LongRunTime;
    auto runTime = std::chrono::duration_cast<Microseconds>(median * factor);
    if (zoneConditionActive(attempt.sentAt) && m_scenario.zoneCondition == ZoneCondition::Spike && random() % 10 < 3) {
        attempt.result = EvidenceKind::Shed;
        runTime = 1ms;
    } else if (faulty && m_scenario.fault == Fault::RequestErrors) {
        attempt.result = EvidenceKind::Error;
        runTime = 5ms;
    } else if (faulty && m_scenario.fault == Fault::WrongAnswers && random() % 10 < 3) {
        attempt.result = EvidenceKind::Wrong;
    }
    if (unresponsive(attempt.upstream, attempt.sentAt) || runTime > deadline) {
        attempt.result = EvidenceKind::Timeout;
        runTime = deadline;
    }
    attempt.endsAt = attempt.sentAt + runTime;
}

} // namespace laburnumspar::bench
