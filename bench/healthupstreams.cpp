#include "healthupstreams.h"

namespace laburnumspar::bench {

namespace {

constexpr Milliseconds SilenceLength = 3s;
constexpr Milliseconds SpikeLength = 5s;

} // namespace

Upstreams::Upstreams(const Scenario &scenario)
    : m_scenario(scenario)
{
}

bool Upstreams::pressed(TimePoint now) const
{
    const auto end = m_scenario.pressure == Pressure::Spike ? FaultAt + SpikeLength : TimePoint::max();
    return m_scenario.pressure != Pressure::None && now >= FaultAt && now < end;
}

bool Upstreams::faulty(TimePoint now) const
{
    if (now < FaultAt || m_scenario.fault == Fault::None || m_scenario.fault == Fault::Pause) {
        return false;
    }
    const auto since = now - FaultAt;
    if (m_scenario.fault == Fault::Flapping) {
        return (since / FlapPhase) % 2 == 0;
    }
    return m_scenario.fault != Fault::AllSilent || since < SilenceLength;
}

bool Upstreams::silent(unsigned upstream, TimePoint now) const
{
    if (!faulty(now)) {
        return false;
    }
    switch (m_scenario.fault) {
    case Fault::AllSilent:
        return true;
    case Fault::BlackHole:
    case Fault::Flapping:
    case Fault::OneWayPartition:
        return upstream == 0;
    default:
        return false;
    }
}

void Upstreams::plan(Attempt &attempt, std::mt19937_64 &random) const
{
    const bool isShort = attempt.workClass == WorkClass::Short;
    const auto deadline = deadlineOf(attempt.workClass);
    double factor
        = std::lognormal_distribution<double>(0, m_scenario.sigma)(random) * (pressed(attempt.sentAt) ? 3 : 1);
    const bool bad = faulty(attempt.sentAt) && attempt.upstream == 0;
    factor *= bad && m_scenario.fault == Fault::SlowTenfold ? 10 : 1;
    const auto median = isShort ? ShortTime : LongTime;
    auto runTime = std::chrono::duration_cast<Microseconds>(median * factor);
    if (pressed(attempt.sentAt) && m_scenario.pressure == Pressure::Spike && random() % 10 < 3) {
        attempt.result = EvidenceKind::Shed;
        runTime = 1ms;
    } else if (bad && m_scenario.fault == Fault::FailsWork) {
        attempt.result = EvidenceKind::Error;
        runTime = 5ms;
    } else if (bad && m_scenario.fault == Fault::WrongAnswers && random() % 10 < 3) {
        attempt.result = EvidenceKind::Wrong;
    }
    if (silent(attempt.upstream, attempt.sentAt) || runTime > deadline) {
        attempt.result = EvidenceKind::Timeout;
        runTime = deadline;
    }
    attempt.endsAt = attempt.sentAt + runTime;
}

} // namespace laburnumspar::bench
