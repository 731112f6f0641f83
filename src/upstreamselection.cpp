// Selection of an upstream for a request: its cost, and when one of doubtful health is tried.

#include "laburnumspar/upstreampool.h"

#include "detail/duration.h"

#include <algorithm>

namespace laburnumspar {

using detail::seconds;

namespace {

/// Up to this probability, an upstream is chosen by its load. Above it, it may stay idle while others are free.
constexpr double PreferredThreshold = 0.05;
/// Above this probability, an upstream receives retryable requests only as trials.
constexpr double DoubtfulThreshold = 0.15;
/// Final attempts go to upstreams above this probability only as trials. It is lower than FaultyThreshold because
/// waiting for a slot of another upstream is better.
constexpr double FinalAttemptFaultyThreshold = 0.4;
/// Time without an attempt of any instance after which an upstream receives a trial: one that is doubtful, one that is
/// faulty, and one whose newest attempt has succeeded although it is doubtful.
constexpr Milliseconds DoubtfulTrialInterval{1400};
constexpr Milliseconds FaultyTrialInterval{3000};
constexpr Milliseconds ConfirmationInterval{500};
/// Used for all of them while many requests are not served: some may be refused although an upstream has recovered. It
/// is below the 2 s after which the upstream counts as unused.
constexpr Milliseconds LossyTrialInterval{1200};
/// Time without an attempt of any instance after which an upstream without evidence against it receives a request, also
/// one that cannot be retried. It is below the 2 s after which the upstream counts as unused.
constexpr Milliseconds UnsuspectedIdleTime{1000};
/// An upstream without an attempt of any instance for this time counts as idle.
constexpr Milliseconds IdleTime{1600};
/// Upstreams that are added within this time after the first one were there before this instance.
constexpr Milliseconds StartTime{8000};
/// Time without retryable requests after which final attempts serve as trials.
constexpr Milliseconds RetryableTimeout{1000};
/// Faulty upstreams are used if no healthy one takes requests within this time.
constexpr Milliseconds MaxHealthyWait{1000};
/// Components of the selection cost. A cost of 1 corresponds to an upstream whose slots are all taken.
constexpr double OtherZoneCost = 1.1;
constexpr double FaultCost = 6;
constexpr double FinalAttemptFaultCost = 30;
/// The cost falls with the time since the last attempt, so that an upstream of uncertain health that has been idle for
/// 2 s costs less than a busy healthy one.
constexpr double MaxIdleSeconds = 4;
constexpr double IdleBonusPerSecond = 0.4;
constexpr double TrialBonus = 6;
constexpr double MaxTrialWaitSeconds = 10;
constexpr double TrialBonusPerSecond = 0.2;
constexpr double WarmupCost = 0.3;
constexpr double MaxRandomCost = 0.1;
constexpr double SlownessWeight = 0.2;

} // namespace

std::pair<UpstreamPool::Upstream *, double>
UpstreamPool::selectUpstream(const Request &request, bool anyHealth, TimePoint now)
{
    const double threshold = request.finalAttempt ? FinalAttemptFaultyThreshold : FaultyThreshold;
    Upstream *best = nullptr;
    double bestCost = 0;
    double bestFault = 0;
    for (auto &[id, upstream] : m_upstreams) {
        if ((!isAvailable(upstream, now) && !isStuck(upstream, request, now))
            || std::find(request.exclude.begin(), request.exclude.end(), id) != request.exclude.end()) {
            continue;
        }
        const double fault = faultProbability(upstream, now);
        const bool trialDue = isTrialDue(upstream, fault, request, now);
        if (!anyHealth && fault > threshold && !trialDue) {
            continue;
        }
        const double cost = selectionCost(upstream, fault, request, trialDue, now);
        if (best == nullptr || cost < bestCost) {
            best = &upstream;
            bestCost = cost;
            bestFault = fault;
        }
    }
    return {best, bestFault};
}

/// Whether attempts that may never end hold all slots of an upstream while many requests are not served. It may have
/// recovered, and a request that may run again finds out, also without a retry that is left for it.
bool UpstreamPool::isStuck(const Upstream &upstream, const Request &request, TimePoint now) const
{
    return m_lossy && upstream.explored && !request.finalAttempt && isAllowed(upstream, now)
        && now >= upstream.fullUntil && upstream.inFlight.size() <= upstream.entry.slots
        && now - std::max(upstream.lastArrival, upstream.addedAt) > LossyTrialInterval;
}

double UpstreamPool::selectionCost(
    const Upstream &upstream, double fault, const Request &request, bool trialDue, TimePoint now)
{
    const double slots = std::max(1.0, double(upstream.entry.slots));
    double cost = (double(upstream.inFlight.size()) + externalLoadOf(upstream, now)) / slots;
    cost += std::uniform_real_distribution<>(0, MaxRandomCost)(m_random);
    cost += upstream.entry.zone == m_zone ? 0 : OtherZoneCost;
    cost += now < upstream.warmupEnd ? WarmupCost : 0;
    cost += SlownessWeight * std::max(0.0, upstream.slowness - 1);
    if (trialDue) {
        // Trials go first to the upstream that is most likely healthy, so that many faulty ones do not take the few
        // requests that can be retried; among equals, to the one whose last attempt is the longest ago.
        const double waited = std::min(seconds(now - upstream.lastAttempt), MaxTrialWaitSeconds);
        return cost - TrialBonus - waited * TrialBonusPerSecond + FaultCost * fault;
    }
    if (request.finalAttempt) {
        return cost + FinalAttemptFaultCost * fault;
    }
    if (fault > DoubtfulThreshold) {
        return cost + FaultCost * fault;
    }
    // Requests that can be retried are spread over all healthy upstreams, so that none of them stays idle.
    const double idle = m_thinLoad ? 0 : std::min(seconds(now - upstream.lastAttempt), MaxIdleSeconds);
    return cost + FaultCost * fault - idle * IdleBonusPerSecond;
}

/// Whether the request should be sent to the upstream to find out about its health. One instance does so for all, since
/// each failed trial costs a retry or a request. Final attempts are used if too many upstreams are idle and there are
/// no retryable requests, or if there is no evidence against this one. In the latter case no retry is needed: the
/// request is hardly more likely to fail than elsewhere, and without it the upstream would stay unused while the retry
/// budget is spent or few requests are idempotent.
bool UpstreamPool::isTrialDue(const Upstream &upstream, double fault, const Request &request, TimePoint now) const
{
    if (!upstream.explored) {
        return false;
    }
    if (isUnsuspectedAndIdle(upstream, fault, now)) {
        // One that has never answered receives no final attempts while there are others.
        return upstream.lastSucceeded || !request.finalAttempt || now - m_lastIdempotent > RetryableTimeout;
    }
    if (m_trialCredit < 1 || (!request.finalAttempt && !request.allowTrial)) {
        return false;
    }
    const bool usable = !request.finalAttempt || now - m_lastRetryable > RetryableTimeout;
    if (m_tooManyIdle && usable && isIdle(upstream, now)) {
        return true;
    }
    return !request.finalAttempt && fault > DoubtfulThreshold
        && now - upstream.lastAttempt > trialInterval(upstream, fault);
}

bool UpstreamPool::isIdle(const Upstream &upstream, TimePoint now) const
{
    return now - std::max(upstream.lastAttempt, upstream.addedAt) > (m_lossy ? LossyTrialInterval : IdleTime);
}

/// Whether the upstream has received nothing for some time although it has never been tried or its newest attempt has
/// succeeded, and would go on to receive nothing because the faults of others have raised its probability of a fault.
bool UpstreamPool::isUnsuspectedAndIdle(const Upstream &upstream, double fault, TimePoint now) const
{
    const bool suspected = upstream.lastAttempt != TimePoint() && !upstream.lastSucceeded;
    // One that has joined a running service gets a request in any case.
    const bool joined = upstream.lastAttempt == TimePoint() && upstream.addedAt - m_firstAddedAt > StartTime;
    return !suspected && (!m_thinLoad || joined) && upstream.inFlight.empty() && fault > PreferredThreshold
        && fault <= FinalAttemptFaultyThreshold
        && now - std::max(upstream.lastAttempt, upstream.addedAt) > UnsuspectedIdleTime;
}

Milliseconds UpstreamPool::trialInterval(const Upstream &upstream, double fault) const
{
    if (upstream.lastSucceeded) {
        return ConfirmationInterval;
    }
    if (m_lossy) {
        return LossyTrialInterval;
    }
    return fault > FaultyThreshold ? FaultyTrialInterval : DoubtfulTrialInterval;
}

bool UpstreamPool::hasHealthyUpstream(TimePoint now) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &it) {
        const auto from = m_constraints.allowedFrom(it.first, it.second.rateShare, now);
        return from && *from - now <= MaxHealthyWait
            && faultProbabilityFromFinished(it.second, now) <= FinalAttemptFaultyThreshold;
    });
}

} // namespace laburnumspar
