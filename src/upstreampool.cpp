#include "laburnumspar/upstreampool.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

/// Share of the work that fails at a sound upstream, and at a faulty one.
constexpr double SoundFailureShare = 0.02;
constexpr double FaultyFailureShare = 0.75;
/// Time in which an upstream may change between sound and faulty.
constexpr double ChangeSeconds = 6;
constexpr double LeastPrior = 0.03;
/// Of an upstream that has had no work yet: work with one chance prefers those that have answered.
constexpr double UnknownFault = 0.25;
constexpr double MostPrior = 0.35;
constexpr Milliseconds PriorInterval{500};
/// Bounds of the probability, so that new evidence counts soon.
constexpr double LeastFault = 0.002;
constexpr double MostFault = 0.98;
/// Above this, an upstream counts as faulty and gets trials only, while there are others.
constexpr double FaultyLevel = 0.5;
/// The same for work that has one chance: waiting for a slot elsewhere is better.
constexpr double LastChanceFaultyLevel = 0.4;
/// What another instance observes may be due to its own path.
constexpr double RemoteWeight = 0.5;
/// A refused connection speaks against an upstream more than a failed request.
constexpr double UnreachableEvidence = 4.5;
/// Time between the trials of a faulty upstream.
constexpr Milliseconds TrialInterval{1200};
/// Trials for each request: each of them may cost a second attempt. More when most upstreams seem to be faulty, since
/// those that have recovered are needed then.
constexpr double LeastTrialShare = 0.08;
constexpr double UsualFaultShare = 0.35;
constexpr double TrialShareGrowth = 0.25;
constexpr double MostTrialCredit = 3;
/// After a first good trial.
constexpr Milliseconds ConfirmInterval{600};
constexpr double ConfirmLevel = 0.9;
/// An upstream that refuses work as full gets none for this time.
constexpr Milliseconds FullPause{80};
/// Reports of the load by other instances' work halve in this time.
constexpr double ForeignHalfLifeSeconds = 0.5;
/// Costs, in shares of an upstream's capacity.
constexpr double RemoteCost = 1.1;
constexpr double FaultCost = 1.5;
constexpr double LastChanceFaultCost = 30;
/// A doubtful upstream without work for two seconds costs less than a busy sound one.
constexpr double MostIdle = 4; ///< seconds
constexpr double IdleBonus = 0.4;
constexpr double MostTrialWait = 10; ///< seconds
constexpr double TrialWaitCost = 0.2;
constexpr double ColdCost = 0.3;
constexpr double RandomCost = 0.1;
constexpr double SlownessShare = 0.2;
constexpr double MostSlowness = 10;

double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double withEvidence(double probability, double logOdds)
{
    const double odds = probability / (1 - probability) * std::exp(logOdds);
    return std::clamp(odds / (1 + odds), LeastFault, MostFault);
}

const double successEvidence = std::log((1 - FaultyFailureShare) / (1 - SoundFailureShare));
const double failureEvidence = std::log(FaultyFailureShare / SoundFailureShare);

/// Evidence of an attempt that has not ended: a sound upstream is silent for this time as often as `longer` says, a
/// faulty one also when it fails the work.
double silenceEvidence(double longer)
{
    return std::log((FaultyFailureShare + (1 - FaultyFailureShare) * longer) / longer);
}

} // namespace

UpstreamPool::UpstreamPool(std::string zone, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_random(seed)
    , m_prior(LeastPrior)
{
}

void UpstreamPool::put(const RegisteredUpstream &entry, TimePoint now)
{
    if (entry.phase == UpstreamPhase::Draining) {
        remove(entry.id);
        return;
    }
    const auto [it, added] = m_upstreams.try_emplace(entry.id);
    auto &upstream = it->second;
    // A new start under the same identity has nothing in common with the old one.
    if (added || upstream.entry.startedAtMs != entry.startedAtMs || upstream.entry.address != entry.address) {
        for (const auto &attempt : upstream.inFlight) {
            m_attempts.erase(attempt.id);
        }
        upstream = {};
        upstream.warmAt = now + entry.warmupLeft;
        upstream.fault = std::max(m_prior, UnknownFault);
        upstream.faultAt = now;
        upstream.soundAt = now;
    }
    upstream.entry = entry;
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
    Upstream *best = nullptr;
    double bestCost = 0;
    double bestFault = 0;
    updatePrior(now);
    const bool onlyFaulty = !hasSound(now);
    const double trialShare = LeastTrialShare + TrialShareGrowth * std::max(0.0, m_faultShare - UsualFaultShare);
    m_trialCredit = std::min(m_trialCredit + trialShare, MostTrialCredit);
    for (auto &[id, upstream] : m_upstreams) {
        if (!hasRoom(upstream, now)
            || std::find(request.exclude.begin(), request.exclude.end(), id) != request.exclude.end()) {
            continue;
        }
        const double fault = faultWithSilence(upstream, now);
        if (!onlyFaulty && !isAcceptable(upstream, fault, request, now)) {
            continue;
        }
        const double cost = costOf(upstream, fault, request, now);
        if (best == nullptr || cost < bestCost) {
            best = &upstream;
            bestCost = cost;
            bestFault = fault;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto attempt = m_nextAttempt++;
    best->inFlight.push_back({attempt, now, request.latency});
    best->lastTrial = now;
    if (bestFault > FaultyLevel) {
        m_trialCredit = std::max(0.0, m_trialCredit - 1);
        best->trialUnpublished = true;
    }
    m_attempts.emplace(attempt, best->entry.id);
    return Choice{attempt, best->entry, bestFault};
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
    const double longer = attempt.latency->shareLongerThan(now - attempt.started);
    upstream.inFlight.erase(it);
    switch (outcome) {
    case AttemptOutcome::Success:
        addEvidence(upstream, successEvidence, now);
        for (auto &other : upstream.inFlight) {
            other.outdated = other.outdated || other.started < attempt.started;
        }
        ++upstream.unpublished.successes;
        upstream.soundAt = std::max(upstream.soundAt, attempt.started);
        upstream.silencePublished = false;
        learnTime(upstream, attempt, now);
        break;
    case AttemptOutcome::Failure:
    case AttemptOutcome::Timeout:
        if (attempt.outdated) {
            break;
        }
        addEvidence(upstream, failureEvidence, now);
        ++upstream.unpublished.failures;
        break;
    case AttemptOutcome::Unreachable:
        addEvidence(upstream, UnreachableEvidence, now);
        break;
    case AttemptOutcome::Full:
        upstream.fullUntil = now + FullPause;
        break;
    case AttemptOutcome::Abandoned:
        addEvidence(upstream, attempt.outdated ? 0 : silenceEvidence(longer), now);
        break;
    case AttemptOutcome::Refused:
        break;
    }
    if (load) {
        learnLoad(upstream, *load, now);
    }
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
        upstream.soundAt = std::max(upstream.soundAt, now - observation.successAge);
    }
    addEvidence(upstream, RemoteWeight * evidence, now);
    upstream.lastTrial = now;
}

std::vector<UpstreamPool::Observation> UpstreamPool::takeObservations(TimePoint now)
{
    std::vector<Observation> observations;
    for (auto &[id, upstream] : m_upstreams) {
        if (!upstream.silencePublished && faultWithSilence(upstream, now) > FaultyLevel
            && faultOf(upstream, now) <= FaultyLevel) {
            ++upstream.unpublished.failures;
            upstream.silencePublished = true;
        }
        if (upstream.unpublished.successes + upstream.unpublished.failures > 0 || upstream.trialUnpublished) {
            observations.push_back(std::exchange(upstream.unpublished, {}));
            observations.back().id = id;
            observations.back().successAge = std::chrono::duration_cast<Milliseconds>(now - upstream.soundAt);
            upstream.trialUnpublished = false;
        }
    }
    return observations;
}

std::size_t UpstreamPool::inFlight(TimePoint now) const
{
    std::size_t total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        total += faultOf(upstream, now) > FaultyLevel ? 0 : upstream.inFlight.size();
    }
    return total;
}

double UpstreamPool::freeSlots(TimePoint now) const
{
    double total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (faultOf(upstream, now) > FaultyLevel) {
            continue;
        }
        const double taken = double(upstream.inFlight.size()) + foreignOf(upstream, now);
        total += std::max(0.0, double(upstream.entry.slots) - taken);
    }
    return total;
}

std::vector<UpstreamPool::Summary> UpstreamPool::summaries(TimePoint now) const
{
    std::vector<Summary> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back({id, upstream.inFlight.size(), foreignOf(upstream, now), faultWithSilence(upstream, now)});
    }
    return result;
}

double UpstreamPool::faultOf(const Upstream &upstream, TimePoint now) const
{
    const auto kept = [now](TimePoint since) { return std::exp(-seconds(now - since) / ChangeSeconds); };
    const double drifted = m_prior + (upstream.fault - m_prior) * kept(upstream.faultAt);
    // A success tells of the time when its work began, however late it ends.
    return std::max(drifted, m_prior * (1 - kept(upstream.soundAt)));
}

double UpstreamPool::faultWithSilence(const Upstream &upstream, TimePoint now) const
{
    double evidence = 0;
    for (const auto &attempt : upstream.inFlight) {
        if (attempt.outdated) {
            continue;
        }
        evidence += silenceEvidence(attempt.latency->shareLongerThan(now - attempt.started));
    }
    return withEvidence(faultOf(upstream, now), evidence);
}

double UpstreamPool::foreignOf(const Upstream &upstream, TimePoint now) const
{
    return upstream.foreign * std::exp2(-seconds(now - upstream.foreignAt) / ForeignHalfLifeSeconds);
}

bool UpstreamPool::hasRoom(const Upstream &upstream, TimePoint now) const
{
    return now >= upstream.fullUntil
        && double(upstream.inFlight.size()) + foreignOf(upstream, now) + 0.5 < double(upstream.entry.slots);
}

double UpstreamPool::costOf(const Upstream &upstream, double fault, const Request &request, TimePoint now)
{
    const double slots = std::max(1.0, double(upstream.entry.slots));
    double cost = (double(upstream.inFlight.size()) + foreignOf(upstream, now)) / slots;
    cost += std::uniform_real_distribution<>(0, RandomCost)(m_random);
    cost += upstream.entry.zone == m_zone ? 0 : RemoteCost;
    cost += now < upstream.warmAt ? ColdCost : 0;
    cost += SlownessShare * std::max(0.0, upstream.slowness - 1);
    if (request.finalAttempt) {
        return cost + LastChanceFaultCost * fault;
    }
    if (!isTrialDue(upstream, fault, request, now)) {
        // Work that can be repeated goes round, so that no sound upstream is left without any.
        const double idle = std::min(seconds(now - upstream.lastTrial), MostIdle);
        return cost + FaultCost * fault - idle * IdleBonus;
    }
    // The one that has waited longest goes first.
    const double waited = std::min(seconds(now - upstream.lastTrial), MostTrialWait);
    return cost - FaultCost - waited * TrialWaitCost;
}

/// An upstream that is new is tried at once, and a faulty one from time to time, to see whether it has recovered.
bool UpstreamPool::isTrialDue(const Upstream &upstream, double fault, const Request &request, TimePoint now) const
{
    if (upstream.lastTrial == TimePoint()) {
        return true;
    }
    if (!request.allowTrial || m_trialCredit < 1) {
        return false;
    }
    const auto interval = fault < ConfirmLevel ? ConfirmInterval : TrialInterval;
    return fault > FaultyLevel && now - upstream.lastTrial > interval;
}

bool UpstreamPool::isAcceptable(const Upstream &upstream, double fault, const Request &request, TimePoint now) const
{
    if (request.finalAttempt) {
        return fault <= LastChanceFaultyLevel;
    }
    return fault <= FaultyLevel || isTrialDue(upstream, fault, request, now);
}

bool UpstreamPool::hasSound(TimePoint now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &it) {
        return faultOf(it.second, now) <= LastChanceFaultyLevel;
    });
}

void UpstreamPool::addEvidence(Upstream &upstream, double logOdds, TimePoint now)
{
    upstream.fault = withEvidence(faultOf(upstream, now), logOdds);
    upstream.faultAt = now;
}

void UpstreamPool::updatePrior(TimePoint now)
{
    if (now - m_priorAt < PriorInterval || m_upstreams.empty()) {
        return;
    }
    double sum = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        sum += faultOf(upstream, now);
    }
    m_faultShare = sum / double(m_upstreams.size());
    m_prior = std::clamp(m_faultShare, LeastPrior, MostPrior);
    m_priorAt = now;
}

void UpstreamPool::learnLoad(Upstream &upstream, const ReportedLoad &load, TimePoint now)
{
    // The report may still count the request that it answers.
    const double own = double(upstream.inFlight.size());
    upstream.foreign = std::max(0.0, double(load.running) + double(load.waiting) - own - 1);
    upstream.foreignAt = now;
}

void UpstreamPool::learnTime(Upstream &upstream, const Attempt &attempt, TimePoint now)
{
    const double usual = std::max(seconds(attempt.latency->quantile(0.5)), 0.001);
    const double ratio = std::min(seconds(now - attempt.started) / usual, MostSlowness);
    constexpr double LearningRate = 0.15;
    upstream.slowness += LearningRate * (ratio - upstream.slowness);
}

} // namespace laburnumspar
