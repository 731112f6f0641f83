#include "laburnumspar/upstreampool.h"

#include "detail/duration.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspar {

using detail::seconds;

namespace {

/// Share of requests that fail on a healthy and on a faulty upstream.
constexpr double HealthyFailureShare = 0.02;
constexpr double FaultyFailureShare = 0.75;
/// Time constant with which the estimate returns to the prior: an upstream may change its state within this time.
constexpr double StateChangeSeconds = 6;
constexpr double MinPrior = 0.03;
/// Probability of a fault of an upstream without any attempts. It is above the prior of a healthy pool, so that final
/// attempts prefer upstreams that have already responded.
constexpr double InitialFault = 0.25;
constexpr double MaxPrior = 0.35;
/// Interval at which the values that depend on all upstreams are updated.
constexpr Milliseconds StateUpdateInterval{200};
/// Bounds of the probability of a fault, so that new evidence changes it soon.
constexpr double MinFault = 0.002;
constexpr double MaxFault = 0.98;
/// Weight of the evidence of other instances. It is below 1 because the fault may be in their network path.
constexpr double RemoteEvidenceWeight = 0.5;
/// Evidence of a refused connection, as log likelihood ratio. It is stronger than that of a failed request.
constexpr double UnreachableEvidence = 4.5;
/// More than this share of recent requests not served counts as many, if there are at least so many requests. The bound
/// for all instances together is a tenth.
constexpr double LossyShare = 0.09;
constexpr double MinOutcomes = 5;
/// Time constant with which ended requests are forgotten.
constexpr double OutcomeSeconds = 1;
/// If more upstreams are idle than this share of the healthy ones, idle ones receive trials whatever their health.
/// Whether they are healthy shows only then.
constexpr double MaxIdleShare = 0.4;
/// Used instead while many requests are not served.
constexpr double LossyMaxIdleShare = 0.3;
/// With fewer attempts per second than this for each healthy upstream that an instance explores, it does not spread its
/// requests over all of them: each would be used so rarely that nothing is known about it when the next request comes.
constexpr double MinAttemptRate = 0.5;
/// Trials per request. Each trial may cost a retry or a request, so the share is small.
constexpr double TrialShare = 0.25;
constexpr double MaxTrialCredit = 3;
/// Time for which an upstream that refused a request as full is not selected.
constexpr Milliseconds FullBackoff{80};
/// Time for which a request rate that an answer to this instance has named goes before what others report.
constexpr Milliseconds OwnRateLifetime{1000};
/// Half-life of the reported external load.
constexpr double ExternalLoadHalfLifeSeconds = 0.5;
/// Factor by which the execution times of an upstream that warms up are longer than usual.
constexpr double WarmupSlowdown = 2;
constexpr double MaxSlowness = 10;

/// Bayesian update of a probability.
double applyEvidence(double probability, double logLikelihoodRatio)
{
    const double odds = probability / (1 - probability) * std::exp(logLikelihoodRatio);
    return std::clamp(odds / (1 + odds), MinFault, MaxFault);
}

/// Evidence of a finished attempt, as log likelihood ratio of a fault.
const double successEvidence = std::log((1 - FaultyFailureShare) / (1 - HealthyFailureShare));
const double failureEvidence = std::log(FaultyFailureShare / HealthyFailureShare);

/// Evidence of a pending attempt, as log likelihood ratio. `longerShare` is the share of requests that a healthy
/// upstream runs for longer than this attempt has run; a faulty upstream also does not respond to the requests that it
/// fails.
double pendingEvidence(double longerShare)
{
    return std::log((FaultyFailureShare + (1 - FaultyFailureShare) * longerShare) / longerShare);
}

} // namespace

UpstreamPool::UpstreamPool(std::string zone, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_random(seed)
    , m_prior(MinPrior)
{
}

void UpstreamPool::put(const RegisteredUpstream &entry, TimePoint now)
{
    if (entry.phase == UpstreamPhase::Draining) {
        remove(entry.id);
        return;
    }
    m_firstAddedAt = m_firstAddedAt == TimePoint() ? now : m_firstAddedAt;
    m_constraints.setProcess(entry.id, entry.startedAtMs);
    const auto [it, added] = m_upstreams.try_emplace(entry.id);
    auto &upstream = it->second;
    // What was learned about an earlier process with this identity does not apply to a new one.
    if (added || upstream.entry.startedAtMs != entry.startedAtMs || upstream.entry.address != entry.address) {
        for (const auto &attempt : upstream.inFlight) {
            m_attempts.erase(attempt.id);
        }
        upstream = {};
        upstream.warmupEnd = now + entry.warmupLeft;
        upstream.fault = std::max(m_prior, InitialFault);
        upstream.faultUpdatedAt = now;
        upstream.lastSuccessStart = now;
        upstream.addedAt = now;
    }
    upstream.entry = entry;
    upstream.rateShare = m_rateShare ? m_rateShare(entry) : 1;
}

void UpstreamPool::remove(const std::string &id)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    for (const auto &attempt : it->second.inFlight) {
        m_attempts.erase(attempt.id);
    }
    m_upstreams.erase(it);
}

std::optional<UpstreamPool::Choice> UpstreamPool::startAttempt(const Request &request, TimePoint now)
{
    updatePoolState(now);
    if (!request.finalAttempt) {
        m_lastIdempotent = now;
        m_lastRetryable = request.allowTrial ? now : m_lastRetryable;
    }
    m_trialCredit = std::min(m_trialCredit + TrialShare, MaxTrialCredit);
    m_starts = m_starts * std::exp(-seconds(now - m_startsAt)) + 1;
    m_startsAt = now;
    auto [upstream, fault] = selectUpstream(request, false, now);
    if (upstream == nullptr && !hasHealthyUpstream(now)) {
        std::tie(upstream, fault) = selectUpstream(request, true, now);
    }
    if (upstream == nullptr) {
        return std::nullopt;
    }
    if (isTrialDue(*upstream, fault, request, now)) {
        const bool needsCredit = !isUnsuspectedAndIdle(*upstream, fault, now);
        m_trialCredit = std::max(0.0, m_trialCredit - (needsCredit ? 1 : 0));
        upstream->trialPending = true;
    }
    const auto attempt = m_nextAttempt++;
    upstream->inFlight.push_back({attempt, now, request.latency});
    upstream->lastAttempt = now;
    upstream->lastArrival = now;
    m_constraints.recordRequest(upstream->entry.id, upstream->rateShare, now);
    m_attempts.emplace(attempt, upstream->entry.id);
    return Choice{attempt, upstream->entry, fault};
}

void UpstreamPool::finishAttempt(AttemptId id,
                                 AttemptOutcome outcome,
                                 const std::optional<ReportedLoad> &load,
                                 TimePoint now)
{
    const auto known = m_attempts.find(id);
    if (known == m_attempts.end()) {
        return;
    }
    auto &upstream = m_upstreams.at(known->second);
    m_attempts.erase(known);
    const auto it = std::find_if(
        upstream.inFlight.begin(), upstream.inFlight.end(), [id](const Attempt &attempt) { return attempt.id == id; });
    const Attempt attempt = *it;
    const double share = longerShare(upstream, attempt, now);
    upstream.inFlight.erase(it);
    switch (outcome) {
    case AttemptOutcome::Success:
        upstream.lastSucceeded = true;
        addEvidence(upstream, successEvidence, now);
        for (auto &other : upstream.inFlight) {
            other.superseded = other.superseded || other.started < attempt.started;
        }
        ++upstream.pendingObservation.successes;
        upstream.lastSuccessStart = std::max(upstream.lastSuccessStart, attempt.started);
        upstream.timeoutReported = false;
        updateSlowness(upstream, attempt, now);
        break;
    case AttemptOutcome::Failure:
    case AttemptOutcome::Timeout:
        if (attempt.superseded) {
            break;
        }
        upstream.lastSucceeded = false;
        addEvidence(upstream, failureEvidence, now);
        ++upstream.pendingObservation.failures;
        break;
    case AttemptOutcome::Unreachable:
        addEvidence(upstream, UnreachableEvidence, now);
        break;
    case AttemptOutcome::Full:
        upstream.fullUntil = now + FullBackoff;
        break;
    case AttemptOutcome::Abandoned:
        addEvidence(upstream, attempt.superseded ? 0 : pendingEvidence(share), now);
        break;
    case AttemptOutcome::Refused:
        break;
    }
    if (load) {
        updateExternalLoad(upstream, *load, now);
    }
}

bool UpstreamPool::receiveNotice(const RegisteredUpstream &upstream, const UpstreamNotice &notice, TimePoint now)
{
    const auto it = m_upstreams.find(upstream.id);
    const bool current = it != m_upstreams.end() && it->second.entry.startedAtMs == upstream.startedAtMs;
    // A late answer of an earlier process says nothing about the one that has taken its identity.
    if (!current && it != m_upstreams.end()) {
        return false;
    }
    const bool wasLimited = m_constraints.requestRate(upstream.id) != UpstreamNotice::Unlimited;
    const bool changed = m_constraints.apply(upstream.id, upstream.startedAtMs, notice, now);
    if (!current) {
        return changed;
    }
    auto &pending = it->second.pendingObservation;
    pending.leaving = pending.leaving || notice.leaving;
    if (wasLimited || notice.requestRate != UpstreamNotice::Unlimited) {
        pending.requestRate = notice.requestRate;
        it->second.rateNamedAt = now;
    }
    // A pause concerns this instance only.
    const bool concernsOthers = notice.leaving || pending.requestRate;
    it->second.noticePending = it->second.noticePending || (changed && concernsOthers);
    return changed;
}

void UpstreamPool::addRemoteObservation(const Observation &observation, TimePoint now)
{
    const auto it = m_upstreams.find(observation.id);
    if (it == m_upstreams.end()) {
        return;
    }
    const double evidence
        = double(observation.successes) * successEvidence + double(observation.failures) * failureEvidence;
    auto &upstream = it->second;
    if (observation.successes > 0) {
        upstream.lastSuccessStart = std::max(upstream.lastSuccessStart, now - observation.successAge);
        upstream.lastArrival = std::max(upstream.lastArrival, now - observation.successAge);
    }
    if (observation.successes + observation.failures > 0) {
        upstream.lastSucceeded = observation.failures == 0;
    }
    addEvidence(upstream, RemoteEvidenceWeight * evidence, now);
    upstream.lastAttempt = now;
    UpstreamNotice notice;
    notice.leaving = observation.leaving;
    // What this instance has been told itself is newer than what arrives from others.
    const bool known = now - upstream.rateNamedAt < OwnRateLifetime;
    const double ownRate = m_constraints.requestRate(observation.id);
    notice.requestRate = known ? ownRate : observation.requestRate.value_or(ownRate);
    m_constraints.apply(observation.id, upstream.entry.startedAtMs, notice, now);
}

std::vector<UpstreamPool::Observation> UpstreamPool::takeObservations(TimePoint now)
{
    std::vector<Observation> observations;
    for (auto &[id, upstream] : m_upstreams) {
        if (!upstream.timeoutReported && faultProbability(upstream, now) > FaultyThreshold
            && faultProbabilityFromFinished(upstream, now) <= FaultyThreshold) {
            ++upstream.pendingObservation.failures;
            upstream.timeoutReported = true;
        }
        if (upstream.pendingObservation.successes + upstream.pendingObservation.failures > 0 || upstream.trialPending
            || upstream.noticePending) {
            observations.push_back(std::exchange(upstream.pendingObservation, {}));
            observations.back().id = id;
            observations.back().successAge = std::chrono::duration_cast<Milliseconds>(now - upstream.lastSuccessStart);
            upstream.trialPending = false;
            upstream.noticePending = false;
        }
    }
    return observations;
}

std::string UpstreamPool::zoneOf(const std::string &id) const
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? std::string() : it->second.entry.zone;
}

void UpstreamPool::RecentOutcomes::record(bool served, TimePoint now)
{
    const double kept = std::exp(-seconds(now - at) / OutcomeSeconds);
    all = all * kept + 1;
    unserved = unserved * kept + (served ? 0 : 1);
    at = now;
}

bool UpstreamPool::RecentOutcomes::areLossy(TimePoint now) const
{
    return all * std::exp(-seconds(now - at) / OutcomeSeconds) >= MinOutcomes && unserved > LossyShare * all;
}

void UpstreamPool::recordOutcome(bool served, TimePoint now)
{
    m_outcomes.record(served, now);
}

std::size_t UpstreamPool::inFlight(TimePoint now) const
{
    std::size_t total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        total += faultProbabilityFromFinished(upstream, now) > FaultyThreshold ? 0 : upstream.inFlight.size();
    }
    return total;
}

std::optional<TimePoint> UpstreamPool::usableFrom(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, upstream] : m_upstreams) {
        const auto from = m_constraints.allowedFrom(id, upstream.rateShare, now);
        if (from && *from <= now) {
            return now;
        }
        if (from && (!earliest || *from < *earliest)) {
            earliest = from;
        }
    }
    return earliest;
}

double UpstreamPool::freeSlots(TimePoint now) const
{
    double total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!isAllowed(upstream, now) || faultProbabilityFromFinished(upstream, now) > FaultyThreshold) {
            continue;
        }
        const double taken = double(upstream.inFlight.size()) + externalLoadOf(upstream, now);
        total += std::max(0.0, double(upstream.entry.slots) - taken);
    }
    return total;
}

std::vector<UpstreamPool::Summary> UpstreamPool::summaries(TimePoint now) const
{
    std::vector<Summary> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back(
            {id, upstream.inFlight.size(), externalLoadOf(upstream, now), faultProbability(upstream, now)});
    }
    return result;
}

double UpstreamPool::faultProbabilityFromFinished(const Upstream &upstream, TimePoint now) const
{
    const auto decay = [now](TimePoint since) { return std::exp(-seconds(now - since) / StateChangeSeconds); };
    const double decayed = m_prior + (upstream.fault - m_prior) * decay(upstream.faultUpdatedAt);
    // A success is evidence of the state of the upstream when the request started, even if the response is late.
    return std::max(decayed, m_prior * (1 - decay(upstream.lastSuccessStart)));
}

double UpstreamPool::faultProbability(const Upstream &upstream, TimePoint now) const
{
    double evidence = 0;
    for (const auto &attempt : upstream.inFlight) {
        if (attempt.superseded) {
            continue;
        }
        evidence += pendingEvidence(longerShare(upstream, attempt, now));
    }
    return applyEvidence(faultProbabilityFromFinished(upstream, now), evidence);
}

double UpstreamPool::longerShare(const Upstream &upstream, const Attempt &attempt, TimePoint now)
{
    const double slowdown = attempt.started < upstream.warmupEnd ? WarmupSlowdown : 1;
    return attempt.latency->shareLongerThan(
        std::chrono::duration_cast<Clock::duration>((now - attempt.started) / slowdown));
}

double UpstreamPool::externalLoadOf(const Upstream &upstream, TimePoint now) const
{
    return upstream.externalLoad * std::exp2(-seconds(now - upstream.externalLoadAt) / ExternalLoadHalfLifeSeconds);
}

bool UpstreamPool::isAllowed(const Upstream &upstream, TimePoint now) const
{
    return m_constraints.allows(upstream.entry.id, upstream.rateShare, now);
}

bool UpstreamPool::isAvailable(const Upstream &upstream, TimePoint now) const
{
    return isAllowed(upstream, now) && now >= upstream.fullUntil
        && double(upstream.inFlight.size()) + externalLoadOf(upstream, now) + 0.5 < double(upstream.entry.slots);
}

void UpstreamPool::addEvidence(Upstream &upstream, double logLikelihoodRatio, TimePoint now)
{
    upstream.fault = applyEvidence(faultProbabilityFromFinished(upstream, now), logLikelihoodRatio);
    upstream.faultUpdatedAt = now;
}

void UpstreamPool::updatePoolState(TimePoint now)
{
    if (now - m_stateUpdatedAt < StateUpdateInterval || m_upstreams.empty()) {
        return;
    }
    double sum = 0;
    std::size_t healthy = 0;
    std::size_t idle = 0;
    m_constraints.prune(now);
    m_lossy = m_outcomes.areLossy(now);
    for (auto &[id, upstream] : m_upstreams) {
        const double fault = faultProbabilityFromFinished(upstream, now);
        sum += fault;
        upstream.explored = !m_isExplorer || m_isExplorer(upstream.entry);
        upstream.rateShare = m_rateShare ? m_rateShare(upstream.entry) : 1;
        if (!isAllowed(upstream, now)) {
            continue;
        }
        healthy += upstream.explored && fault <= FaultyThreshold ? 1 : 0;
        idle += upstream.explored && isIdle(upstream, now) ? 1 : 0;
    }
    m_thinLoad = m_starts * std::exp(-seconds(now - m_startsAt)) < MinAttemptRate * double(healthy);
    m_tooManyIdle = !m_thinLoad && double(idle) > (m_lossy ? LossyMaxIdleShare : MaxIdleShare) * double(healthy);
    m_prior = std::clamp(sum / double(m_upstreams.size()), MinPrior, MaxPrior);
    m_stateUpdatedAt = now;
}

void UpstreamPool::updateExternalLoad(Upstream &upstream, const ReportedLoad &load, TimePoint now)
{
    // The reported load may still include the request of this response.
    const double own = double(upstream.inFlight.size());
    upstream.externalLoad = std::max(0.0, double(load.running) + double(load.waiting) - own - 1);
    upstream.externalLoadAt = now;
}

void UpstreamPool::updateSlowness(Upstream &upstream, const Attempt &attempt, TimePoint now)
{
    const double typical = std::max(seconds(attempt.latency->quantile(0.5)), 0.001);
    const double ratio = std::min(seconds(now - attempt.started) / typical, MaxSlowness);
    constexpr double LearningRate = 0.15;
    upstream.slowness += LearningRate * (ratio - upstream.slowness);
}

} // namespace laburnumspar
