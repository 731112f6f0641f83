#include "laburnumspar/upstreampool.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

/// Logarithm of the odds that an upstream without any sign fails its work.
constexpr double PriorSuspicion = -3;
constexpr double MostSuspicion = 4;
/// Above this, an upstream gets only work that may be repeated, as a trial.
constexpr double SuspectLevel = 0;
/// Above this, an upstream gets no work that must not be repeated while another one has room.
constexpr double DoubtLevel = -1.5;
/// Evidence fades at this rate, since faults of this kind last for some seconds.
constexpr double EvidenceFadeSeconds = 3;
constexpr double FailureEvidence = 2.2;
constexpr double UnreachableEvidence = 3.5;
constexpr double SilenceEvidence = 3;
/// A success speaks for an upstream, but one that fails half of its work has successes as well.
constexpr double SuccessEvidence = -1.2;
/// One unanswered request is a limited sign: a few requests run many times longer than the rest.
constexpr double MostSilencePerAttempt = 2.5;
/// Time between the trials of a suspect upstream.
constexpr Milliseconds TrialInterval{700};
/// An upstream that refuses work as full gets none for this time.
constexpr Milliseconds FullPause{80};
/// Reports of the load by other instances' work halve in this time.
constexpr double ForeignHalfLifeSeconds = 0.5;
/// Costs, in shares of an upstream's capacity.
constexpr double RemoteCost = 0.35;
constexpr double DoubtCost = 0.5;
constexpr double ColdCost = 0.6;
constexpr double RandomCost = 0.1;
constexpr double SlownessShare = 0.2;
constexpr double MostSlowness = 10;

double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

UpstreamPool::UpstreamPool(std::string zone, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_random(seed)
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

std::optional<UpstreamPool::Choice> UpstreamPool::start(const Request &request, TimePoint now)
{
    Upstream *best = nullptr;
    double bestCost = 0;
    double bestSuspicion = 0;
    for (auto &[id, upstream] : m_upstreams) {
        if (!hasRoom(upstream, now)
            || std::find(request.exclude.begin(), request.exclude.end(), id) != request.exclude.end()) {
            continue;
        }
        const double suspicion = suspicionOf(upstream, now);
        const double cost = costOf(upstream, suspicion, request, now);
        if (best == nullptr || cost < bestCost) {
            best = &upstream;
            bestCost = cost;
            bestSuspicion = suspicion;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto attempt = m_nextAttempt++;
    best->inFlight.push_back({attempt, now, request.latency});
    best->lastStart = now;
    m_attempts.emplace(attempt, best->entry.id);
    return Choice{attempt, best->entry, bestSuspicion};
}

void UpstreamPool::finish(AttemptId id, AttemptEnd end, const std::optional<ReportedLoad> &load, TimePoint now)
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
    // What its silence told is kept as evidence; otherwise an abandoned attempt would clear its upstream.
    const double suspicionBefore = suspicionOf(upstream, now);
    upstream.inFlight.erase(it);
    switch (end) {
    case AttemptEnd::Success:
        addEvidence(upstream, SuccessEvidence, now);
        upstream.lastSuccess = now;
        learnTime(upstream, attempt, now);
        break;
    case AttemptEnd::Failure:
        addEvidence(upstream, FailureEvidence, now);
        break;
    case AttemptEnd::Silence:
        addEvidence(upstream, SilenceEvidence, now);
        break;
    case AttemptEnd::Unreachable:
        addEvidence(upstream, UnreachableEvidence, now);
        break;
    case AttemptEnd::Full:
        upstream.fullUntil = now + FullPause;
        break;
    case AttemptEnd::Abandoned:
        addEvidence(upstream, std::max(0.0, suspicionBefore - suspicionOf(upstream, now)), now);
        break;
    case AttemptEnd::Refused:
        break;
    }
    if (load) {
        learnLoad(upstream, *load, now);
    }
}

void UpstreamPool::hearSuspicion(const std::string &id, double suspicion, TimePoint now)
{
    const auto it = m_upstreams.find(id);
    if (it == m_upstreams.end()) {
        return;
    }
    auto &upstream = it->second;
    const double difference = std::min(suspicion, MostSuspicion) - PriorSuspicion - evidenceOf(upstream, now);
    // Another instance may have a bad path of its own: half of what it says counts.
    addEvidence(upstream, std::max(0.0, difference) / 2, now);
}

std::vector<UpstreamPool::Summary> UpstreamPool::takeNewSuspects(TimePoint now)
{
    std::vector<Summary> suspects;
    for (auto &[id, upstream] : m_upstreams) {
        const double suspicion = suspicionOf(upstream, now);
        const bool suspect = suspicion > (upstream.suspect ? DoubtLevel : SuspectLevel);
        if (suspect && !upstream.suspect) {
            suspects.push_back({id, upstream.inFlight.size(), foreignOf(upstream, now), suspicion});
        }
        upstream.suspect = suspect;
    }
    return suspects;
}

unsigned UpstreamPool::slots() const
{
    unsigned total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        total += upstream.entry.slots;
    }
    return total;
}

double UpstreamPool::freeSlots(TimePoint now) const
{
    double total = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        const double taken = double(upstream.inFlight.size()) + foreignOf(upstream, now);
        total += std::max(0.0, double(upstream.entry.slots) - taken);
    }
    return total;
}

std::vector<UpstreamPool::Summary> UpstreamPool::summaries(TimePoint now) const
{
    std::vector<Summary> result;
    for (const auto &[id, upstream] : m_upstreams) {
        result.push_back({id, upstream.inFlight.size(), foreignOf(upstream, now), suspicionOf(upstream, now)});
    }
    return result;
}

double UpstreamPool::evidenceOf(const Upstream &upstream, TimePoint now) const
{
    return upstream.evidence * std::exp(-seconds(now - upstream.evidenceAt) / EvidenceFadeSeconds);
}

double UpstreamPool::suspicionOf(const Upstream &upstream, TimePoint now) const
{
    double suspicion = PriorSuspicion + evidenceOf(upstream, now);
    for (const auto &attempt : upstream.inFlight) {
        const double longer = attempt.latency->shareLongerThan(now - attempt.started);
        suspicion += std::min(-std::log(longer), MostSilencePerAttempt);
    }
    // Requests that are merely running are no sign: on average each adds one.
    suspicion -= std::min(double(upstream.inFlight.size()), 2.0);
    return std::min(suspicion, MostSuspicion);
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

double UpstreamPool::costOf(const Upstream &upstream, double suspicion, const Request &request, TimePoint now)
{
    const double slots = std::max(1.0, double(upstream.entry.slots));
    double cost = (double(upstream.inFlight.size()) + foreignOf(upstream, now)) / slots;
    cost += std::uniform_real_distribution<>(0, RandomCost)(m_random);
    cost += upstream.entry.zone == m_zone ? 0 : RemoteCost;
    cost += now < upstream.warmAt ? ColdCost : 0;
    cost += SlownessShare * std::max(0.0, upstream.slowness - 1);
    if (request.idempotent) {
        // A suspect upstream is tried from time to time, to see whether it has recovered.
        const bool trial = suspicion > SuspectLevel && now - upstream.lastStart > TrialInterval;
        return trial ? cost - 1 : cost + DoubtCost * std::max(0.0, suspicion - DoubtLevel);
    }
    const bool proven = now - upstream.lastSuccess < std::chrono::seconds(2);
    cost += proven ? 0 : DoubtCost;
    return cost + DoubtCost * std::max(0.0, suspicion - DoubtLevel) * 2;
}

void UpstreamPool::addEvidence(Upstream &upstream, double evidence, TimePoint now)
{
    const double sum = evidenceOf(upstream, now) + evidence;
    upstream.evidence = std::clamp(sum, -1.0, MostSuspicion - PriorSuspicion);
    upstream.evidenceAt = now;
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
