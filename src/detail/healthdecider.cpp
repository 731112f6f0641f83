#include "detail/healthdecider.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Limits of the score. The odds of a false alarm per sample fall with its exponential: one suspicion in some 10,000
/// samples costs little, as it only turns work away for a moment; one ejection in 500 million is 1,300 hours of an
/// upstream at 100 requests a second.
constexpr double SuspectScore = 9;
constexpr double EjectScore = 20;
/// An upstream that has just returned is known to have been faulty, and gets one request at a time.
constexpr double ReturningScore = 7;
/// Sum of the samples since the suspicion, without the choice of a beginning, that an ejection needs as well.
constexpr double ConfirmScore = 2;
/// Sum of the samples since the suspicion which clears an upstream.
constexpr double ClearScore = -3.5;
/// Successes of limited traffic after which the ramp begins.
constexpr unsigned ReturnSuccesses = 3;
/// A short stop, such as a garbage collection, makes an upstream slow and so suspect, and is over before this.
constexpr Milliseconds SuspectTime{300};
/// Failed connects, and time since the first attempt without an answer, after which an upstream is reported as
/// unreachable. An upstream that takes connections and answers nothing is at fault itself: handing it to the next
/// dispatcher would only lose that one's requests too.
constexpr unsigned UnreachableAttempts = 3;
constexpr Milliseconds UnreachableTime{300};
/// Upstreams with evidence in this time are counted to tell a fault of this instance's own network.
constexpr Milliseconds NetworkWindow{2000};
/// When all upstreams become slow at once, their attempts in flight look lost for less than this.
constexpr Milliseconds NetworkFaultTime{200};

} // namespace

namespace {

HealthReason reasonOf(const UpstreamRecord &record)
{
    if (record.wrongScore() > 0 && record.wrongScore() >= std::max(record.suspicion.slow, record.suspicion.failure)) {
        return HealthReason::WrongAnswers;
    }
    if (record.unreachable) {
        return HealthReason::Unreachable;
    }
    return record.suspicion.slow > record.suspicion.failure ? HealthReason::Slow : HealthReason::Failing;
}

bool isReference(HealthState state)
{
    return state == HealthState::Unknown || state == HealthState::Healthy;
}

} // namespace

HealthDecider::HealthDecider(HealthPool &pool)
    : m_pool(pool)
{
}

void HealthDecider::evaluate(TimePoint now)
{
    collect(now);
    compare(now);
    updateNetwork(now);
    clearCommonWrongAnswers();
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        updateUnreachable(record, now);
        if (record.state == HealthState::Suspect) {
            stepSuspect(record, n, now);
        } else {
            step(record, now);
        }
        record.noteJudged(now);
    }
    ejectWorst(now);
    m_pool.restoreFloors(now);
}

void HealthDecider::collect(TimePoint now)
{
    m_owned.clear();
    for (auto &[id, record] : m_pool.records()) {
        for (auto &window : record.windows) {
            window.discardBefore(now - EvidenceLife);
        }
        std::erase_if(record.wrongAnswers, [&](TimePoint at) { return at < now - EvidenceLife; });
        if (record.member.owned) {
            m_owned.push_back(&record);
        }
    }
}

std::vector<PeerComparison::Entry> HealthDecider::entries(std::size_t workClass, TimePoint now) const
{
    const auto references = std::count_if(
        m_owned.begin(), m_owned.end(), [](const UpstreamRecord *record) { return isReference(record->state); });
    // With few unsuspected upstreams left, the suspicion itself is in doubt, so all count.
    const bool all = 2 * static_cast<std::size_t>(references) < m_owned.size();
    std::vector<PeerComparison::Entry> entries;
    for (const auto *record : m_owned) {
        const bool usual = isReference(record->state) && !record->cold(now, m_pool.settings());
        entries.push_back({&record->windows[workClass], all || usual});
    }
    return entries;
}

void HealthDecider::compare(TimePoint now)
{
    m_comparisons.clear();
    for (std::size_t workClass = 0; workClass < WorkClasses; ++workClass) {
        m_comparisons.emplace_back(entries(workClass, now));
        m_slowAfter[workClass] = m_comparisons.back().slowAfter();
    }
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        if (record.state == HealthState::Ejected) {
            continue; // keeps the score of its ejection
        }
        record.suspicion = {};
        for (const auto &comparison : m_comparisons) {
            const auto suspicion = comparison.suspicion(n);
            record.suspicion.slow = std::max(record.suspicion.slow, suspicion.slow);
            record.suspicion.failure = std::max(record.suspicion.failure, suspicion.failure);
        }
        if (record.cold(now, m_pool.settings()) && record.silentCount < UnreachableAttempts) {
            record.suspicion.slow = 0;
        }
    }
}

bool HealthDecider::mostAreSilent(TimePoint now) const
{
    std::size_t known = 0;
    std::size_t silent = 0;
    for (const auto *record : m_owned) {
        if (record->lastEvidence && now - *record->lastEvidence <= NetworkWindow) {
            ++known;
            silent += record->silent() ? 1 : 0;
        }
    }
    return 2 * silent > known;
}

void HealthDecider::updateNetwork(TimePoint now)
{
    const bool fault = mostAreSilent(now);
    if (fault && !m_ownNetworkFault) {
        m_networkFaultSince = now;
    }
    // Attempts that were lost in the fault time out long after it, at upstreams that answer again.
    if (!fault && m_ownNetworkFault && now - m_networkFaultSince >= NetworkFaultTime) {
        for (auto *record : m_owned) {
            record->discardPaused(m_networkFaultSince, now);
        }
    }
    m_ownNetworkFault = fault;
}

/// Wrong answers from most upstreams at once point to the requests or to this instance, not to the upstreams.
void HealthDecider::clearCommonWrongAnswers()
{
    const auto wrong = std::count_if(
        m_owned.begin(), m_owned.end(), [](const UpstreamRecord *record) { return !record->wrongAnswers.empty(); });
    if (m_owned.size() > 2 && 2 * static_cast<std::size_t>(wrong) > m_owned.size()) {
        for (auto *record : m_owned) {
            record->wrongAnswers.clear();
        }
    }
}

void HealthDecider::updateUnreachable(UpstreamRecord &record, TimePoint now) const
{
    if (!m_ownNetworkFault && record.silent() && record.connectFailures >= UnreachableAttempts
        && now - record.silentSince >= UnreachableTime) {
        record.unreachable = true;
    }
}

/// Being worse than the median of the peers holds for half of the upstreams at most.
bool HealthDecider::mayBeSuspect(const UpstreamRecord &record) const
{
    const auto suspects = std::count_if(m_owned.begin(), m_owned.end(), [](const UpstreamRecord *other) {
        return other->state == HealthState::Suspect || other->state == HealthState::Ejected;
    });
    return record.wrongScore() >= SuspectScore || 2 * static_cast<std::size_t>(suspects + 1) <= m_owned.size();
}

void HealthDecider::step(UpstreamRecord &record, TimePoint now)
{
    if (record.state == HealthState::Ejected) {
        return;
    }
    const bool limited = record.state == HealthState::Returning && !record.rampFrom;
    if (record.score() >= (limited ? ReturningScore : SuspectScore) && mayBeSuspect(record)) {
        // A returning upstream that fails again is ejected at once, if the floor allows it.
        if (!limited || m_ownNetworkFault || !m_pool.tryEject(record, reasonOf(record), now)) {
            m_pool.change(record, HealthState::Suspect, reasonOf(record), now);
        }
        return;
    }
    if (record.state == HealthState::Returning) {
        stepReturning(record, now);
    } else if (record.state == HealthState::Unknown && record.goodSinceEntry > 0) {
        m_pool.change(record, HealthState::Healthy, HealthReason::GoodEvidence, now);
    } else if (record.state == HealthState::Healthy && record.lastGood && now - *record.lastGood > EvidenceLife) {
        m_pool.change(record, HealthState::Unknown, HealthReason::EvidenceExpired, now);
    }
}

void HealthDecider::stepReturning(UpstreamRecord &record, TimePoint now)
{
    if (!record.rampFrom && record.goodSinceEntry >= ReturnSuccesses) {
        record.rampFrom = now;
    } else if (record.rampFrom && !record.ramping(now, m_pool.settings())) {
        m_pool.change(record, HealthState::Healthy, HealthReason::RampDone, now);
    }
}

void HealthDecider::stepSuspect(UpstreamRecord &record, std::size_t n, TimePoint now)
{
    const auto sum = sumSince(n, record.since);
    if (sum.slow <= ClearScore && sum.failure <= ClearScore && record.wrongAnswers.empty()) {
        m_pool.change(record, HealthState::Healthy, HealthReason::GoodEvidence, now);
    } else if (now - std::max(record.since, record.lastEvidence.value_or(record.since)) > EvidenceLife) {
        m_pool.change(record, HealthState::Returning, HealthReason::EvidenceExpired, now);
        record.rampFrom.reset();
    } else {
        record.updateTrial(now);
    }
}

Suspicion HealthDecider::sumSince(std::size_t n, TimePoint from) const
{
    Suspicion sum;
    for (const auto &comparison : m_comparisons) {
        const auto part = comparison.sumSince(n, from);
        sum.slow += part.slow;
        sum.failure += part.failure;
    }
    return sum;
}

/// Whether work sent since the suspicion went badly too, or nothing at all comes back. Else the attempts that
/// raised the suspicion could lead to an ejection by running on, while quick ones are no longer sent.
bool HealthDecider::confirmed(std::size_t n, TimePoint now) const
{
    const auto &record = *m_owned[n];
    const bool silent = record.silentCount >= UnreachableAttempts && now - record.silentSince >= UnreachableTime;
    const auto sum = sumSince(n, record.since);
    return silent || record.wrongScore() >= EjectScore || std::max(sum.slow, sum.failure) >= ConfirmScore;
}

void HealthDecider::ejectWorst(TimePoint now)
{
    if (m_ownNetworkFault) {
        return;
    }
    std::vector<UpstreamRecord *> candidates;
    for (std::size_t n = 0; n < m_owned.size(); ++n) {
        auto &record = *m_owned[n];
        // Answers that show a failure need no time to confirm; silence may still be a short stop or a restart.
        const bool failing
            = std::max(record.suspicion.failure, record.wrongScore()) >= EjectScore && record.silentCount == 0;
        if (record.state == HealthState::Suspect && record.score() >= EjectScore
            && (failing || now - record.since >= SuspectTime) && confirmed(n, now)) {
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
