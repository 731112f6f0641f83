#include "detail/healthstatemachine.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Scores from which an upstream is suspect or may be ejected. The probability of a false alarm per sample falls
/// exponentially with the score. One suspicion in about 10,000 samples costs little, as it only diverts requests for a
/// moment. One ejection in 500 million samples is one in 1,300 hours of an upstream at 100 requests per second.
constexpr double SuspectScore = 9;
constexpr double EjectScore = 20;
/// SuspectScore of a returning upstream, which is known to have been faulty and gets one request at a time.
constexpr double ReturningScore = 7;
/// Minimum score for an ejection from the samples since the upstream became suspect, without a search for the start of
/// the fault.
constexpr double ConfirmScore = 2;
/// Maximum scores, from the samples since the upstream became suspect, at which it counts as healthy again.
constexpr double ClearScore = -3.5;
/// Good results under limited traffic after which the ramp begins.
constexpr unsigned GoodResultsBeforeRamp = 3;
/// Minimum time in Suspect before an ejection, unless answers show failures. A short stop of an upstream, such as a
/// garbage collection, makes it suspect but ends earlier.
constexpr Milliseconds MinSuspectTime{300};
/// Failed connection attempts, and time since the first unanswered attempt, after which an upstream is reported as
/// unreachable. An upstream that accepts connections but does not answer is itself faulty: handing it over to another
/// dispatcher would only lose that dispatcher's requests as well.
constexpr unsigned UnreachableAttempts = 3;
constexpr Milliseconds UnreachableTime{300};
/// Upstreams with evidence within this time are counted to detect a fault of this instance's own network.
constexpr Milliseconds NetworkFaultWindow{2000};
/// Minimum duration of a network fault whose evidence is discarded. When all upstreams become slow at once, their
/// attempts in flight appear unanswered for a shorter time.
constexpr Milliseconds MinNetworkFaultTime{200};

} // namespace

namespace {

HealthReason reasonOf(const UpstreamRecord &record)
{
    if (record.wrongScore() > 0 && record.wrongScore() >= std::max(record.scores.slow, record.scores.failure)) {
        return HealthReason::WrongAnswers;
    }
    if (record.unreachable) {
        return HealthReason::Unreachable;
    }
    return record.scores.slow > record.scores.failure ? HealthReason::Slow : HealthReason::Failing;
}

bool isReference(HealthState state)
{
    return state == HealthState::Unknown || state == HealthState::Healthy;
}

} // namespace

HealthStateMachine::HealthStateMachine(HealthPool &pool)
    : m_pool(pool)
{
}

void HealthStateMachine::evaluate(TimePoint now)
{
    collectOwned(now);
    updateScores(now);
    updateNetworkFault(now);
    clearCommonWrongAnswers();
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        updateUnreachable(record, now);
        if (record.state == HealthState::Suspect) {
            updateSuspect(record, n, now);
        } else {
            updateState(record, now);
        }
        record.clearFailureBurst(now);
    }
    ejectSuspects(now);
    m_pool.restoreFloors(now);
}

void HealthStateMachine::collectOwned(TimePoint now)
{
    m_owned.clear();
    for (auto &[id, record] : m_pool.records()) {
        for (auto &window : record.windows) {
            window.discardBefore(now - EvidenceLifetime);
        }
        std::erase_if(record.wrongAnswers, [&](TimePoint at) { return at < now - EvidenceLifetime; });
        if (record.member.owned) {
            m_owned.push_back(&record);
        }
    }
}

std::vector<PeerComparison::Entry> HealthStateMachine::comparisonEntries(std::size_t requestClass, TimePoint now) const
{
    const auto references = std::count_if(
        m_owned.begin(), m_owned.end(), [](const UpstreamRecord *record) { return isReference(record->state); });
    // If fewer than half of the upstreams are references, the states themselves are in doubt, so all are used.
    const bool useAll = 2 * static_cast<std::size_t>(references) < m_owned.size();
    std::vector<PeerComparison::Entry> entries;
    for (const auto *record : m_owned) {
        const bool suitable = isReference(record->state) && !record->warmingUp(now, m_pool.settings());
        entries.push_back({&record->windows[requestClass], useAll || suitable});
    }
    return entries;
}

void HealthStateMachine::updateScores(TimePoint now)
{
    m_comparisons.clear();
    for (std::size_t requestClass = 0; requestClass < RequestClasses; ++requestClass) {
        m_comparisons.emplace_back(comparisonEntries(requestClass, now));
        m_slowThresholds[requestClass] = m_comparisons.back().slowThreshold();
    }
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        if (record.state == HealthState::Ejected) {
            continue; // keeps the scores of its ejection
        }
        record.scores = {};
        for (const auto &comparison : m_comparisons) {
            const auto classScores = comparison.scores(n);
            record.scores.slow = std::max(record.scores.slow, classScores.slow);
            record.scores.failure = std::max(record.scores.failure, classScores.failure);
        }
        if (record.warmingUp(now, m_pool.settings()) && record.unansweredAttempts < UnreachableAttempts) {
            record.scores.slow = 0;
        }
    }
}

bool HealthStateMachine::mostAreUnresponsive(TimePoint now) const
{
    std::size_t known = 0;
    std::size_t unresponsive = 0;
    for (const auto *record : m_owned) {
        if (record->lastEvidence && now - *record->lastEvidence <= NetworkFaultWindow) {
            ++known;
            unresponsive += record->unresponsive() ? 1 : 0;
        }
    }
    return 2 * unresponsive > known;
}

void HealthStateMachine::updateNetworkFault(TimePoint now)
{
    const bool fault = mostAreUnresponsive(now);
    if (fault && !m_ownNetworkFault) {
        m_networkFaultSince = now;
    }
    // Attempts lost during the fault time out long after its end, when their upstreams answer again.
    if (!fault && m_ownNetworkFault && now - m_networkFaultSince >= MinNetworkFaultTime) {
        for (auto *record : m_owned) {
            record->discardPaused(m_networkFaultSince, now);
        }
    }
    m_ownNetworkFault = fault;
}

/// Wrong answers from most upstreams at once are attributed to the requests or to this instance.
void HealthStateMachine::clearCommonWrongAnswers()
{
    const auto wrong = std::count_if(
        m_owned.begin(), m_owned.end(), [](const UpstreamRecord *record) { return !record->wrongAnswers.empty(); });
    if (m_owned.size() > 2 && 2 * static_cast<std::size_t>(wrong) > m_owned.size()) {
        for (auto *record : m_owned) {
            record->wrongAnswers.clear();
        }
    }
}

void HealthStateMachine::updateUnreachable(UpstreamRecord &record, TimePoint now) const
{
    if (!m_ownNetworkFault && record.unresponsive() && record.connectFailures >= UnreachableAttempts
        && now - record.unansweredSince >= UnreachableTime) {
        record.unreachable = true;
    }
}

/// At most half of the upstreams can be worse than the median of their peers, so no more than half become suspect,
/// unless their answers are wrong.
bool HealthStateMachine::canBecomeSuspect(const UpstreamRecord &record) const
{
    const auto suspects = std::count_if(m_owned.begin(), m_owned.end(), [](const UpstreamRecord *other) {
        return other->state == HealthState::Suspect || other->state == HealthState::Ejected;
    });
    return record.wrongScore() >= SuspectScore || 2 * static_cast<std::size_t>(suspects + 1) <= m_owned.size();
}

void HealthStateMachine::updateState(UpstreamRecord &record, TimePoint now)
{
    if (record.state == HealthState::Ejected) {
        return;
    }
    const bool limited = record.state == HealthState::Returning && !record.rampStart;
    if (record.score() >= (limited ? ReturningScore : SuspectScore) && canBecomeSuspect(record)) {
        // A returning upstream that fails again is ejected at once, if the floor allows it.
        if (!limited || m_ownNetworkFault || !m_pool.tryEject(record, reasonOf(record), now)) {
            m_pool.change(record, HealthState::Suspect, reasonOf(record), now);
        }
        return;
    }
    if (record.state == HealthState::Returning) {
        updateReturning(record, now);
    } else if (record.state == HealthState::Unknown && record.goodResultsInState > 0) {
        m_pool.change(record, HealthState::Healthy, HealthReason::GoodEvidence, now);
    } else if (record.state == HealthState::Healthy && record.lastGoodResult
               && now - *record.lastGoodResult > EvidenceLifetime) {
        m_pool.change(record, HealthState::Unknown, HealthReason::EvidenceExpired, now);
    }
}

void HealthStateMachine::updateReturning(UpstreamRecord &record, TimePoint now)
{
    if (!record.rampStart && record.goodResultsInState >= GoodResultsBeforeRamp) {
        record.rampStart = now;
    } else if (record.rampStart && !record.ramping(now, m_pool.settings())) {
        m_pool.change(record, HealthState::Healthy, HealthReason::RampDone, now);
    }
}

void HealthStateMachine::updateSuspect(UpstreamRecord &record, std::size_t n, TimePoint now)
{
    const auto sum = scoresSince(n, record.since);
    if (sum.slow <= ClearScore && sum.failure <= ClearScore && record.wrongAnswers.empty()) {
        m_pool.change(record, HealthState::Healthy, HealthReason::GoodEvidence, now);
    } else if (now - std::max(record.since, record.lastEvidence.value_or(record.since)) > EvidenceLifetime) {
        m_pool.change(record, HealthState::Returning, HealthReason::EvidenceExpired, now);
        record.rampStart.reset();
    } else {
        record.updateTrial(now);
    }
}

FaultScores HealthStateMachine::scoresSince(std::size_t n, TimePoint from) const
{
    FaultScores sum;
    for (const auto &comparison : m_comparisons) {
        const auto part = comparison.scoresSince(n, from);
        sum.slow += part.slow;
        sum.failure += part.failure;
    }
    return sum;
}

/// Whether requests sent since the upstream became suspect show the fault too, or no answers arrive at all. Otherwise
/// the attempts that made it suspect could lead to an ejection merely by running longer, as it gets few requests that
/// could show it to be healthy.
bool HealthStateMachine::isFaultConfirmed(std::size_t n, TimePoint now) const
{
    const auto &record = *m_owned[n];
    const bool unresponsive
        = record.unansweredAttempts >= UnreachableAttempts && now - record.unansweredSince >= UnreachableTime;
    const auto sum = scoresSince(n, record.since);
    return unresponsive || record.wrongScore() >= EjectScore || std::max(sum.slow, sum.failure) >= ConfirmScore;
}

void HealthStateMachine::ejectSuspects(TimePoint now)
{
    if (m_ownNetworkFault) {
        return;
    }
    std::vector<UpstreamRecord *> candidates;
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        // Answers that show failures need no confirmation time; missing answers may be due to a short stop or restart.
        const bool failing
            = std::max(record.scores.failure, record.wrongScore()) >= EjectScore && record.unansweredAttempts == 0;
        if (record.state == HealthState::Suspect && record.score() >= EjectScore
            && (failing || now - record.since >= MinSuspectTime) && isFaultConfirmed(n, now)) {
            candidates.push_back(&record);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const UpstreamRecord *a, const UpstreamRecord *b) {
        return a->score() > b->score();
    });
    for (auto *record : candidates) {
        m_pool.tryEject(*record, reasonOf(*record), now);
    }
}

} // namespace laburnumspar::detail
