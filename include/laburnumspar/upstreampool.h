#pragma once

#include "laburnumspar/latencymodel.h"
#include "laburnumspar/upstreamconstraints.h"
#include "laburnumspar/upstreamregistry.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar {

/// Load that an upstream reports with a response, in requests.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0; ///< maximum number of requests that it runs at the same time
};

/// Outcome of one attempt to run a request on an upstream.
enum class AttemptOutcome : std::uint8_t {
    Success,
    Failure, ///< the upstream reported an error, or the response was incomplete or not its own
    Timeout, ///< no response before the deadline of the request
    Unreachable, ///< the connection could not be established
    Full, ///< refused because the upstream has no free slot
    Refused, ///< refused for another reason, such as a request for another identity
    Abandoned, ///< cancelled for a reason that is not evidence about the upstream
};

template <>
struct EnumNames<AttemptOutcome> {
    static constexpr std::array<std::string_view, 7> Names{
        "success", "failure", "silence", "unreachable", "full", "refused", "abandoned"};
};

/// Selects an upstream of one service for each request and estimates the health of the upstreams from the outcomes.
///
/// The model is a Bayesian estimate with two hidden states, healthy and faulty, between which an upstream changes from
/// time to time. The probability of a fault is updated from the outcomes of attempts and from the time that pending
/// attempts have run, compared with the usual execution times. Without new evidence it decays to the prior, which is
/// the mean probability of a fault in the pool.
class UpstreamPool
{
public:
    using AttemptId = std::uint64_t;

    struct Request {
        const LatencyModel *latency = nullptr; ///< of requests of this kind; must outlive the attempts
        bool finalAttempt = false; ///< the request cannot be retried if this attempt fails
        bool allowTrial = true; ///< the retry budget covers a retry if a trial of a faulty upstream fails
        std::vector<std::string> exclude; ///< identities of upstreams that already received the request
    };

    /// Outcomes of attempts at one upstream, exchanged between instances. All counts are 0 if a trial has started and
    /// not yet ended.
    struct Observation {
        std::string id;
        unsigned successes = 0;
        unsigned failures = 0;
        Milliseconds successAge{0}; ///< time since the newest successful attempt started
        bool leaving = false; ///< the upstream takes no new requests
        std::optional<double> requestRate{}; ///< newest rate, as in UpstreamNotice; empty: no news
    };

    /// Availability zone of an upstream; empty if it is unknown.
    std::string zoneOf(const std::string &id) const;

    /// Upstream that was selected for an attempt.
    struct Choice {
        AttemptId attempt = 0;
        RegisteredUpstream upstream;
        double faultProbability = 0;
    };

    /// State of one upstream, for reports.
    struct Summary {
        std::string id;
        std::size_t inFlight = 0;
        double externalLoad = 0; ///< estimated number of requests of other instances
        double faultProbability = 0;
    };

    /// Whether this instance is the one that finds out about the health of an upstream for all instances.
    using IsExplorer = std::function<bool(const RegisteredUpstream &)>;
    /// Share of an upstream's request rate that this instance may use, 0 to 1.
    using RateShare = std::function<double(const RegisteredUpstream &)>;

    /// `zone`: availability zone of this instance. `seed`: of the random part of the selection.
    UpstreamPool(std::string zone, std::uint64_t seed);

    /// Until this is set, the instance explores all upstreams.
    void setExplorer(IsExplorer isExplorer)
    {
        m_isExplorer = std::move(isExplorer);
    }

    /// Until this is set, the instance may use the whole request rate of each upstream.
    void setRateShare(RateShare rateShare)
    {
        m_rateShare = std::move(rateShare);
    }

    /// Adds or updates an upstream; removes it if it is draining.
    void put(const RegisteredUpstream &entry, TimePoint now);
    void remove(const std::string &id);

    /// Occupies a slot of the best upstream for the request. Returns nothing if no eligible upstream has a free slot.
    std::optional<Choice> startAttempt(const Request &request, TimePoint now);
    /// Frees the slot of the attempt and updates the estimates. Ignored if the upstream has been removed or restarted.
    void finishAttempt(AttemptId id, AttemptOutcome outcome, const std::optional<ReportedLoad> &load, TimePoint now);
    /// Applies what an upstream has asked for with an answer to an attempt; `upstream` as in the choice of the attempt.
    /// Returns whether it asks for something else than before.
    bool receiveNotice(const RegisteredUpstream &upstream, const UpstreamNotice &notice, TimePoint now);
    /// Adds the evidence of another instance. Ignored if the upstream is unknown.
    void addRemoteObservation(const Observation &observation, TimePoint now);
    /// Returns the outcomes of attempts and the starts of trials on this instance since the last call. An unresponsive
    /// upstream counts as one failure.
    std::vector<Observation> takeObservations(TimePoint now);

    /// Records a request for this service that has ended at this instance, also one that was refused. While many are
    /// not served, idle upstreams are tried sooner.
    void recordOutcome(bool served, TimePoint now);
    /// Whether many of the recent requests for this service were not served.
    bool isLossy(TimePoint now) const
    {
        return m_outcomes.areLossy(now);
    }

    /// Number of pending attempts at healthy upstreams.
    std::size_t inFlight(TimePoint now) const;
    /// Estimated number of free slots of healthy upstreams.
    double freeSlots(TimePoint now) const;
    /// Earliest time at which an upstream may receive a request if it has a free slot; nothing if none ever may.
    std::optional<TimePoint> usableFrom(TimePoint now) const;
    bool contains(const std::string &id) const
    {
        return m_upstreams.contains(id);
    }
    std::vector<Summary> summaries(TimePoint now) const;

private:
    /// Above this probability of a fault, an upstream counts as faulty.
    static constexpr double FaultyThreshold = 0.5;

    struct Attempt {
        AttemptId id = 0;
        TimePoint started;
        const LatencyModel *latency = nullptr;
        bool superseded = false; ///< an attempt that started later has succeeded, so this one is no evidence any more
    };

    struct Upstream {
        RegisteredUpstream entry;
        std::vector<Attempt> inFlight;
        double fault = 0; ///< probability of a fault at `faultUpdatedAt`, from finished attempts only
        TimePoint faultUpdatedAt;
        TimePoint lastSuccessStart; ///< start of the newest successful attempt
        TimePoint addedAt;
        TimePoint lastAttempt; ///< start of the last attempt or arrival of the last remote observation; zero if none
        TimePoint lastArrival; ///< newest known start of an attempt of any instance; zero if none
        bool lastSucceeded = false; ///< the newest outcome, of any instance, is a success
        bool explored = true; ///< this instance finds out about its health for all instances
        double rateShare = 0; ///< share of its request rate that this instance may use
        TimePoint rateNamedAt; ///< when an answer to this instance last named a request rate
        TimePoint warmupEnd; ///< responds slowly until then
        TimePoint fullUntil; ///< not selected until then because it had no free slot
        double externalLoad = 0; ///< requests of other instances, at `externalLoadAt`
        TimePoint externalLoadAt;
        double slowness = 1; ///< smoothed ratio of its execution times to the median of the same kind of request
        Observation pendingObservation; ///< not yet returned by takeObservations()
        bool timeoutReported = false; ///< its lack of response has been counted in an observation
        bool trialPending = false; ///< a trial has started since the last call of takeObservations()
        bool noticePending = false; ///< a notice has arrived since the last call of takeObservations()
    };

    /// Probability of a fault, from finished attempts only.
    double faultProbabilityFromFinished(const Upstream &upstream, TimePoint now) const;
    /// Probability of a fault, from finished and pending attempts.
    double faultProbability(const Upstream &upstream, TimePoint now) const;
    /// Share of requests that a healthy upstream runs for longer than the attempt has run.
    static double longerShare(const Upstream &upstream, const Attempt &attempt, TimePoint now);
    double externalLoadOf(const Upstream &upstream, TimePoint now) const;
    /// Whether what the upstream has asked for allows a request now.
    bool isAllowed(const Upstream &upstream, TimePoint now) const;
    /// Whether a request may be sent to the upstream now and it has a free slot.
    bool isAvailable(const Upstream &upstream, TimePoint now) const;
    bool isStuck(const Upstream &upstream, const Request &request, TimePoint now) const;
    /// Best upstream for the request and its probability of a fault; null if none has a free slot. Of any health if
    /// `anyHealth` is set.
    std::pair<Upstream *, double> selectUpstream(const Request &request, bool anyHealth, TimePoint now);
    bool isTrialDue(const Upstream &upstream, double fault, const Request &request, TimePoint now) const;
    bool isUnsuspectedAndIdle(const Upstream &upstream, double fault, TimePoint now) const;
    Milliseconds trialInterval(const Upstream &upstream, double fault) const;
    bool isIdle(const Upstream &upstream, TimePoint now) const;
    bool hasHealthyUpstream(TimePoint now) const;
    double selectionCost(const Upstream &upstream, double fault, const Request &request, bool trialDue, TimePoint now);
    void addEvidence(Upstream &upstream, double logLikelihoodRatio, TimePoint now);
    void updateExternalLoad(Upstream &upstream, const ReportedLoad &load, TimePoint now);
    void updateSlowness(Upstream &upstream, const Attempt &attempt, TimePoint now);
    /// Updates the values that depend on all upstreams, unless they are recent.
    void updatePoolState(TimePoint now);

    std::string m_zone;
    std::mt19937_64 m_random;
    AttemptId m_nextAttempt = 1;
    double m_trialCredit = 0; ///< number of trials that may start
    double m_prior; ///< probability of a fault without evidence
    TimePoint m_lastIdempotent; ///< start of the last request that could run again
    TimePoint m_lastRetryable; ///< start of the last one that the retry budget also allowed to be retried
    /// Exponentially weighted numbers of requests that have ended.
    struct RecentOutcomes {
        double all = 0;
        double unserved = 0;
        TimePoint at;

        void record(bool served, TimePoint now);
        /// Whether so many requests are not served that no upstream should be idle.
        bool areLossy(TimePoint now) const;
    };

    RecentOutcomes m_outcomes;
    bool m_lossy = false; ///< many requests are not served
    TimePoint m_firstAddedAt; ///< when the first upstream was added
    double m_starts = 0; ///< exponentially weighted number of attempts, of the last second
    TimePoint m_startsAt;
    bool m_thinLoad = false; ///< this instance has too few requests to use all upstreams that it explores
    bool m_tooManyIdle = false; ///< too many of the upstreams that this instance explores have no requests
    IsExplorer m_isExplorer;
    RateShare m_rateShare;
    TimePoint m_stateUpdatedAt;
    std::map<std::string, Upstream> m_upstreams;
    UpstreamConstraints m_constraints;
    std::map<AttemptId, std::string> m_attempts; ///< identity of the upstream by pending attempt
};

} // namespace laburnumspar
