#include "detail/upstreamrecord.h"

#include <algorithm>

namespace laburnumspar::detail {

using namespace std::chrono_literals;

namespace {

/// The exclusion starts at the minimum and doubles with each repeated ejection.
constexpr Milliseconds MinExclusion{2000};
constexpr Milliseconds MaxExclusion{60000};
/// An ejection within this time after a return doubles the exclusion; a later one resets it.
constexpr Milliseconds BackoffResetTime{60000};
/// Interval between trial requests to a suspect upstream; doubles with each trial. Without trials an upstream that
/// others can replace would get no requests and could not recover.
constexpr Milliseconds MinTrialInterval{1000};
constexpr Milliseconds MaxTrialInterval{8000};
/// Consecutive failures after which an upstream is throttled until the next evaluation. An upstream that fails
/// requests immediately has free slots and would attract further requests until then.
constexpr unsigned BurstFailures = 3;
/// Minimum time between the evaluation of a burst of failures and the next throttling.
constexpr Milliseconds BurstInterval{1000};
/// Shed requests halve the slots at most once per interval; one slot is restored after each interval.
constexpr Milliseconds ShedAdjustInterval{100};
/// Score per wrong answer: one exceeds SuspectScore, two exceed EjectScore in healthstatemachine.cpp.
constexpr double WrongAnswerScore = 12;

bool isAnswer(EvidenceKind kind)
{
    switch (kind) {
    case EvidenceKind::Success:
    case EvidenceKind::Error:
    case EvidenceKind::Truncated:
    case EvidenceKind::Wrong:
    case EvidenceKind::Shed:
        return true;
    default:
        return false;
    }
}

bool isProbe(EvidenceKind kind)
{
    return kind == EvidenceKind::ProbeOk || kind == EvidenceKind::ProbeFailed;
}

} // namespace

UpstreamRecord::UpstreamRecord(const PoolMember &poolMember)
    : member(poolMember)
{
}

void UpstreamRecord::update(const PoolMember &poolMember, TimePoint now)
{
    if (poolMember.phase == UpstreamPhase::Starting && member.phase != UpstreamPhase::Starting) {
        rampStart = now;
    }
    if (poolMember.owned != member.owned) {
        enterState(HealthState::Unknown, HealthReason::OwnerChanged, now);
    }
    member = poolMember;
}

void UpstreamRecord::record(const Evidence &evidence, std::optional<Microseconds> slowThreshold)
{
    ++counts[static_cast<std::size_t>(evidence.kind)];
    if (evidence.sentAt < ignoreSentBefore) {
        return;
    }
    lastEvidence = evidence.at;
    if (evidence.kind == EvidenceKind::Shed) {
        recordShed(evidence.at);
    }
    bool newAttempt = true;
    if (!isProbe(evidence.kind) && evidence.kind != EvidenceKind::Shed) {
        const Sample sample{evidence.kind, evidence.runTime, evidence.sentAt, evidence.at, evidence.attempt};
        newAttempt = windows[static_cast<std::size_t>(evidence.requestClass)].add(sample);
    }
    updateFailureCounts(evidence, newAttempt);
    if (evidence.kind == EvidenceKind::Wrong) {
        wrongAnswers.push_back(evidence.at);
    }
    if (evidence.kind == EvidenceKind::Success && (!slowThreshold || evidence.runTime <= *slowThreshold)) {
        recordGoodResult(evidence);
    } else if (evidence.kind != EvidenceKind::Shed && !isProbe(evidence.kind) && evidence.sentAt >= since) {
        m_trialAllowed = false;
    }
}

void UpstreamRecord::updateFailureCounts(const Evidence &evidence, bool newAttempt)
{
    if (evidence.kind == EvidenceKind::ProbeOk) {
        // Shows that the upstream is reachable, but not that it processes requests.
        lastProbeOk = evidence.at;
        connectFailures = 0;
        unreachable = false;
    } else if (isAnswer(evidence.kind)) {
        unansweredAttempts = 0;
        connectFailures = 0;
        unreachable = false;
    } else if (newAttempt && evidence.kind != EvidenceKind::ProbeFailed) {
        unansweredSince = unansweredAttempts == 0 ? evidence.at : unansweredSince;
        ++unansweredAttempts;
        connectFailures += evidence.kind == EvidenceKind::ConnectFailed ? 1 : 0;
    }
    if (evidence.kind == EvidenceKind::Success || evidence.kind == EvidenceKind::Shed) {
        m_consecutiveFailures = 0;
        failureBurst = false;
    } else if (!isProbe(evidence.kind) && evidence.kind != EvidenceKind::Overdue) {
        failureBurst = ++m_consecutiveFailures >= BurstFailures && evidence.at >= m_nextBurstAt;
    }
}

void UpstreamRecord::recordGoodResult(const Evidence &evidence)
{
    lastGoodResult = evidence.at;
    if (evidence.sentAt >= since) {
        ++goodResultsInState;
    }
}

void UpstreamRecord::recordShed(TimePoint at)
{
    if (!m_lastShedAt || at - m_shedSlotsCutAt >= ShedAdjustInterval) {
        const unsigned limit = m_lastShedAt ? shedLimit(at, member.slots) : member.slots;
        m_shedSlots = std::max(1U, limit / 2);
        m_shedSlotsCutAt = at;
    }
    m_lastShedAt = at;
}

void UpstreamRecord::discardPaused(TimePoint from, TimePoint to)
{
    for (auto &window : windows) {
        window.discardIf([&](const Sample &sample) { return sample.at >= from && sample.sentAt < to; });
    }
    std::erase_if(wrongAnswers, [&](TimePoint at) { return at >= from; });
    ignoreSentBefore = std::max(ignoreSentBefore, to);
    unansweredAttempts = 0;
    connectFailures = 0;
    m_consecutiveFailures = 0;
    failureBurst = false;
}

void UpstreamRecord::enterState(HealthState nextState, HealthReason changeReason, TimePoint now)
{
    if (state == HealthState::Ejected) {
        m_returnedAt = now;
    }
    // Evidence that led out of Ejected or Suspect, or into Ejected or Returning, must not cause the next change too.
    const bool resetEvidence = state == HealthState::Ejected || state == HealthState::Suspect
        || nextState == HealthState::Ejected || nextState == HealthState::Returning
        || changeReason == HealthReason::OwnerChanged;
    state = nextState;
    reason = changeReason;
    since = now;
    goodResultsInState = 0;
    floorBinding = false;
    m_trialAllowed = false;
    m_trialInterval = MinTrialInterval;
    m_nextTrialAt = now + m_trialInterval;
    if (resetEvidence) {
        for (auto &window : windows) {
            window.clear();
        }
        wrongAnswers.clear();
        scores = {};
        unansweredAttempts = 0;
        failureBurst = false;
        m_consecutiveFailures = 0;
        ignoreSentBefore = std::max(ignoreSentBefore, now);
    }
}

void UpstreamRecord::eject(HealthReason changeReason, TimePoint now)
{
    const bool repeated = m_returnedAt && now - *m_returnedAt <= BackoffResetTime;
    exclusion = repeated ? std::min(2 * exclusion, MaxExclusion) : MinExclusion;
    excludedUntil = now + exclusion;
    ejectionScore = score();
    const auto scoresAtEjection = scores;
    enterState(HealthState::Ejected, changeReason, now);
    scores = scoresAtEjection;
    rampStart.reset();
}

void UpstreamRecord::clearFailureBurst(TimePoint now)
{
    if (failureBurst) {
        failureBurst = false;
        m_consecutiveFailures = 0;
        m_nextBurstAt = now + BurstInterval;
    }
}

void UpstreamRecord::updateTrial(TimePoint now)
{
    if (state == HealthState::Suspect && !m_trialAllowed && now >= m_nextTrialAt) {
        m_trialAllowed = true;
        m_trialInterval = std::min(2 * m_trialInterval, MaxTrialInterval);
        m_nextTrialAt = now + m_trialInterval;
    }
}

/// One slot more than there are overdue attempts, which would otherwise prevent a trial from starting.
unsigned UpstreamRecord::trialSlots() const
{
    std::size_t overdueAttempts = 0;
    for (const auto &window : windows) {
        overdueAttempts += window.overdue();
    }
    return std::min(static_cast<unsigned>(overdueAttempts) + 1, member.slots);
}

unsigned UpstreamRecord::shedLimit(TimePoint now, unsigned slots) const
{
    const auto steps = static_cast<unsigned>((now - m_shedSlotsCutAt) / ShedAdjustInterval);
    return std::min(slots, m_shedSlots + steps);
}

bool UpstreamRecord::ramping(TimePoint now, const HealthSettings &settings) const
{
    return rampStart && now < *rampStart + settings.rampTime;
}

bool UpstreamRecord::warmingUp(TimePoint now, const HealthSettings &settings) const
{
    return state != HealthState::Returning && ramping(now, settings);
}

unsigned UpstreamRecord::rampedSlots(TimePoint now, const HealthSettings &settings) const
{
    const auto slots = member.slots;
    if (!ramping(now, settings)) {
        return slots;
    }
    const auto passed = std::max(now - *rampStart, TimePoint::duration(0));
    return std::clamp(static_cast<unsigned>(slots * passed / settings.rampTime), 1U, std::max(slots, 1U));
}

Admission UpstreamRecord::admission(TimePoint now, const HealthSettings &settings) const
{
    if (!usable()) {
        return {};
    }
    const unsigned oneSlot = std::min(1U, member.slots);
    if (!member.owned) {
        return {oneSlot, 0, false};
    }
    if (state == HealthState::Suspect) {
        return m_trialAllowed ? Admission{trialSlots(), 0, true} : Admission{oneSlot, 1, true};
    }
    if (failureBurst) {
        return {oneSlot, 1, true};
    }
    const bool limited = state == HealthState::Returning && !rampStart;
    const unsigned slots = limited ? oneSlot : rampedSlots(now, settings);
    if (!m_lastShedAt) {
        return {slots, 0, limited};
    }
    return {shedLimit(now, slots), now - *m_lastShedAt < ShedAdjustInterval ? 1U : 0U, limited};
}

bool UpstreamRecord::confirmedHealthy(TimePoint now, const HealthSettings &settings) const
{
    return member.owned && state == HealthState::Healthy && member.phase == UpstreamPhase::Serving
        && !ramping(now, settings) && lastGoodResult && now - *lastGoodResult <= EvidenceLifetime;
}

bool UpstreamRecord::usable() const
{
    return state != HealthState::Ejected && member.phase != UpstreamPhase::Draining;
}

double UpstreamRecord::wrongScore() const
{
    return WrongAnswerScore * static_cast<double>(wrongAnswers.size());
}

double UpstreamRecord::score() const
{
    return std::max({scores.slow, scores.failure, wrongScore()});
}

} // namespace laburnumspar::detail
