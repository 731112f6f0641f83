#include "detail/upstreamrecord.h"

#include <algorithm>

namespace laburnumspar::detail {

using namespace std::chrono_literals;

namespace {

constexpr Milliseconds FirstExclusion{2000};
constexpr Milliseconds LongestExclusion{60000};
/// An ejection this soon after the return doubles the exclusion.
constexpr Milliseconds BackoffMemory{60000};
/// A suspect upstream that others could replace would get no work, and so no chance to recover.
constexpr Milliseconds FirstTrial{1000};
constexpr Milliseconds LongestTrial{8000};
/// A failing upstream may answer at once and so attract work between two evaluations.
constexpr unsigned BurstFailures = 3;
constexpr Milliseconds BurstPause{1000};
/// The slots are cut at most once in this time, and one is given back after each.
constexpr Milliseconds ShedStep{100};
/// One wrong answer is enough for suspicion, two for an ejection; see the limits in healthdecider.cpp.
constexpr double WrongWeight = 12;

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
        rampFrom = now;
    }
    if (poolMember.owned != member.owned) {
        enter(HealthState::Unknown, HealthReason::OwnerChanged, now);
    }
    member = poolMember;
}

void UpstreamRecord::record(const Evidence &evidence, std::optional<Microseconds> slowAfter)
{
    ++counts[static_cast<std::size_t>(evidence.kind)];
    if (evidence.sentAt < ignoreSentBefore) {
        return;
    }
    lastEvidence = evidence.at;
    if (evidence.kind == EvidenceKind::Shed) {
        noteShed(evidence.at);
    }
    bool newAttempt = true;
    if (!isProbe(evidence.kind) && evidence.kind != EvidenceKind::Shed) {
        const Sample sample{evidence.kind, evidence.runTime, evidence.sentAt, evidence.at, evidence.attempt};
        newAttempt = windows[static_cast<std::size_t>(evidence.workClass)].add(sample);
    }
    noteAnswer(evidence, newAttempt);
    if (evidence.kind == EvidenceKind::Wrong) {
        wrongAnswers.push_back(evidence.at);
    }
    if (evidence.kind == EvidenceKind::Success && (!slowAfter || evidence.runTime <= *slowAfter)) {
        noteGood(evidence);
    } else if (evidence.kind != EvidenceKind::Shed && !isProbe(evidence.kind) && evidence.sentAt >= since) {
        m_trialOpen = false;
    }
}

void UpstreamRecord::noteAnswer(const Evidence &evidence, bool newAttempt)
{
    if (evidence.kind == EvidenceKind::ProbeOk) {
        // The path is good, which says nothing about the work.
        lastProbeOk = evidence.at;
        connectFailures = 0;
        unreachable = false;
    } else if (isAnswer(evidence.kind)) {
        silentCount = 0;
        connectFailures = 0;
        unreachable = false;
    } else if (newAttempt && evidence.kind != EvidenceKind::ProbeFailed) {
        silentSince = silentCount == 0 ? evidence.at : silentSince;
        ++silentCount;
        connectFailures += evidence.kind == EvidenceKind::ConnectFailed ? 1 : 0;
    }
    if (evidence.kind == EvidenceKind::Success || evidence.kind == EvidenceKind::Shed) {
        m_failuresInRow = 0;
        failureBurst = false;
    } else if (!isProbe(evidence.kind) && evidence.kind != EvidenceKind::Overdue) {
        failureBurst = ++m_failuresInRow >= BurstFailures && evidence.at >= m_nextBurst;
    }
}

void UpstreamRecord::noteGood(const Evidence &evidence)
{
    lastGood = evidence.at;
    if (evidence.sentAt >= since) {
        ++goodSinceEntry;
    }
}

void UpstreamRecord::noteShed(TimePoint at)
{
    if (!m_lastShed || at - m_lastShedCut >= ShedStep) {
        const unsigned limit = m_lastShed ? shedLimit(at, member.slots) : member.slots;
        m_shedSlots = std::max(1U, limit / 2);
        m_lastShedCut = at;
    }
    m_lastShed = at;
}

void UpstreamRecord::discardPaused(TimePoint from, TimePoint to)
{
    for (auto &window : windows) {
        window.discardIf([&](const Sample &sample) { return sample.at >= from && sample.sentAt < to; });
    }
    std::erase_if(wrongAnswers, [&](TimePoint at) { return at >= from; });
    ignoreSentBefore = std::max(ignoreSentBefore, to);
    silentCount = 0;
    connectFailures = 0;
    m_failuresInRow = 0;
    failureBurst = false;
}

void UpstreamRecord::enter(HealthState next, HealthReason why, TimePoint now)
{
    if (state == HealthState::Ejected) {
        m_returnedAt = now;
    }
    // Evidence that led out of one of these states, or into exclusion and return, must not decide the next change too.
    const bool fresh = state == HealthState::Ejected || state == HealthState::Suspect || next == HealthState::Ejected
        || next == HealthState::Returning || why == HealthReason::OwnerChanged;
    state = next;
    reason = why;
    since = now;
    goodSinceEntry = 0;
    floorBinding = false;
    m_trialOpen = false;
    m_trialInterval = FirstTrial;
    m_nextTrial = now + m_trialInterval;
    if (fresh) {
        for (auto &window : windows) {
            window.clear();
        }
        wrongAnswers.clear();
        suspicion = {};
        silentCount = 0;
        failureBurst = false;
        m_failuresInRow = 0;
        ignoreSentBefore = std::max(ignoreSentBefore, now);
    }
}

void UpstreamRecord::eject(HealthReason why, TimePoint now)
{
    const bool again = m_returnedAt && now - *m_returnedAt <= BackoffMemory;
    exclusion = again ? std::min(2 * exclusion, LongestExclusion) : FirstExclusion;
    excludedUntil = now + exclusion;
    ejectionScore = score();
    const auto kept = suspicion;
    enter(HealthState::Ejected, why, now);
    suspicion = kept;
    rampFrom.reset();
}

void UpstreamRecord::noteJudged(TimePoint now)
{
    if (failureBurst) {
        failureBurst = false;
        m_failuresInRow = 0;
        m_nextBurst = now + BurstPause;
    }
}

void UpstreamRecord::updateTrial(TimePoint now)
{
    if (state == HealthState::Suspect && !m_trialOpen && now >= m_nextTrial) {
        m_trialOpen = true;
        m_trialInterval = std::min(2 * m_trialInterval, LongestTrial);
        m_nextTrial = now + m_trialInterval;
    }
}

/// One more than the attempts that are stuck, or these would keep a trial from starting.
unsigned UpstreamRecord::trialSlots() const
{
    std::size_t stuck = 0;
    for (const auto &window : windows) {
        stuck += window.overdue();
    }
    return std::min(static_cast<unsigned>(stuck) + 1, member.slots);
}

unsigned UpstreamRecord::shedLimit(TimePoint now, unsigned slots) const
{
    const auto steps = static_cast<unsigned>((now - m_lastShedCut) / ShedStep);
    return std::min(slots, m_shedSlots + steps);
}

bool UpstreamRecord::ramping(TimePoint now, const HealthSettings &settings) const
{
    return rampFrom && now < *rampFrom + settings.rampTime;
}

bool UpstreamRecord::cold(TimePoint now, const HealthSettings &settings) const
{
    return state != HealthState::Returning && ramping(now, settings);
}

unsigned UpstreamRecord::rampedSlots(TimePoint now, const HealthSettings &settings) const
{
    const auto slots = member.slots;
    if (!ramping(now, settings)) {
        return slots;
    }
    const auto passed = std::max(now - *rampFrom, TimePoint::duration(0));
    return std::clamp(static_cast<unsigned>(slots * passed / settings.rampTime), 1U, std::max(slots, 1U));
}

Admission UpstreamRecord::admission(TimePoint now, const HealthSettings &settings) const
{
    if (!usable()) {
        return {};
    }
    const unsigned most = std::min(1U, member.slots);
    if (!member.owned) {
        return {most, 0, false};
    }
    if (state == HealthState::Suspect) {
        return m_trialOpen ? Admission{trialSlots(), 0, true} : Admission{most, 1, true};
    }
    if (failureBurst) {
        return {most, 1, true};
    }
    const bool limited = state == HealthState::Returning && !rampFrom;
    const unsigned slots = limited ? most : rampedSlots(now, settings);
    if (!m_lastShed) {
        return {slots, 0, limited};
    }
    return {shedLimit(now, slots), now - *m_lastShed < ShedStep ? 1U : 0U, limited};
}

bool UpstreamRecord::confirmedHealthy(TimePoint now, const HealthSettings &settings) const
{
    return member.owned && state == HealthState::Healthy && member.phase == UpstreamPhase::Serving
        && !ramping(now, settings) && lastGood && now - *lastGood <= EvidenceLife;
}

bool UpstreamRecord::usable() const
{
    return state != HealthState::Ejected && member.phase != UpstreamPhase::Draining;
}

double UpstreamRecord::wrongScore() const
{
    return WrongWeight * static_cast<double>(wrongAnswers.size());
}

double UpstreamRecord::score() const
{
    return std::max({suspicion.slow, suspicion.failure, wrongScore()});
}

} // namespace laburnumspar::detail
