#pragma once

#include "laburnumspar/latencymodel.h"
#include "laburnumspar/upstreamregistry.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar {

/// What an upstream says of its load in an answer.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

/// How one attempt at an upstream ended.
enum class AttemptOutcome : std::uint8_t {
    Success,
    Failure, ///< the upstream answered that it failed, or not with a whole answer of its own
    Timeout, ///< no answer within the time that the request had
    Unreachable, ///< no connection
    Full, ///< the upstream refused the work because it is full
    Refused, ///< the upstream refused the work for another reason, such as a foreign identity
    Abandoned, ///< given up for a reason that says nothing of the upstream
};

template <>
struct EnumNames<AttemptOutcome> {
    static constexpr std::array<std::string_view, 7> Names{
        "success", "failure", "silence", "unreachable", "full", "refused", "abandoned"};
};

/// Chooses upstreams of one service for requests and learns from how the attempts end.
///
/// An upstream is taken to be either sound or faulty, and to change between the two now and then. The probability that
/// it is faulty follows from how attempts ended, and from the silence of unfinished ones compared with how long such
/// work takes elsewhere; without news it returns to the share of faulty upstreams in the pool.
class UpstreamPool
{
public:
    using AttemptId = std::uint64_t;

    struct Request {
        const LatencyModel *latency = nullptr; ///< of this kind of work; outlives the attempts
        bool finalAttempt = false; ///< there is no further attempt if this one fails
        bool allowTrial = true; ///< a further attempt can be afforded if a faulty upstream fails this one
        std::vector<std::string> exclude; ///< identities that already had the request
    };

    /// How attempts of another instance ended. Without any end: a trial has begun.
    struct Observation {
        std::string id;
        unsigned successes = 0;
        unsigned failures = 0;
        Milliseconds successAge{0}; ///< since the start of the newest success
    };

    struct Choice {
        AttemptId attempt = 0;
        RegisteredUpstream upstream;
        double faultProbability = 0;
    };

    struct Summary {
        std::string id;
        std::size_t inFlight = 0;
        double externalLoad = 0;
        double faultProbability = 0;
    };

    /// `zone`: where this instance runs. `seed`: of the choice between equal upstreams.
    UpstreamPool(std::string zone, std::uint64_t seed);

    void put(const RegisteredUpstream &entry, TimePoint now);
    void remove(const std::string &id);

    /// Takes a slot of the upstream that suits the request best; empty if none has one.
    std::optional<Choice> startAttempt(const Request &request, TimePoint now);
    void
    finishAttempt(AttemptId attempt, AttemptOutcome outcome, const std::optional<ReportedLoad> &load, TimePoint now);
    void addRemoteObservation(const Observation &observation, TimePoint now);
    /// Ends of own attempts and beginnings of trials since the last call. A silent upstream counts as a failure.
    std::vector<Observation> takeObservations(TimePoint now);

    /// Attempts at sound upstreams that have not ended.
    std::size_t inFlight(TimePoint now) const;
    /// Slots of sound upstreams that are not known to be taken.
    double freeSlots(TimePoint now) const;
    bool empty() const
    {
        return m_upstreams.empty();
    }
    bool contains(const std::string &id) const
    {
        return m_upstreams.contains(id);
    }
    std::vector<Summary> summaries(TimePoint now) const;

private:
    struct Attempt {
        AttemptId id = 0;
        TimePoint started;
        const LatencyModel *latency = nullptr;
        bool outdated = false; ///< a later one has succeeded: its silence says nothing of the present
    };

    struct Upstream {
        RegisteredUpstream entry;
        std::vector<Attempt> inFlight;
        double fault = 0; ///< probability of a fault at `faultAt`, from finished attempts
        TimePoint faultAt;
        TimePoint soundAt; ///< start of the newest success
        TimePoint lastTrial; ///< last attempt, here or elsewhere; none if zero
        TimePoint warmAt; ///< slow until then
        TimePoint fullUntil; ///< refuses work until then
        double foreign = 0; ///< work of other instances, as last reported
        TimePoint foreignAt;
        double slowness = 1; ///< execution time compared with the usual one
        Observation unpublished;
        bool silencePublished = false;
        bool trialUnpublished = false;
    };

    double faultOf(const Upstream &upstream, TimePoint now) const;
    double faultWithSilence(const Upstream &upstream, TimePoint now) const;
    double foreignOf(const Upstream &upstream, TimePoint now) const;
    bool hasRoom(const Upstream &upstream, TimePoint now) const;
    bool isTrialDue(const Upstream &upstream, double fault, const Request &request, TimePoint now) const;
    bool isAcceptable(const Upstream &upstream, double fault, const Request &request, TimePoint now) const;
    bool hasSound(TimePoint now) const;
    double costOf(const Upstream &upstream, double fault, const Request &request, TimePoint now);
    void addEvidence(Upstream &upstream, double logOdds, TimePoint now);
    void learnLoad(Upstream &upstream, const ReportedLoad &load, TimePoint now);
    void learnTime(Upstream &upstream, const Attempt &attempt, TimePoint now);
    void updatePrior(TimePoint now);

    std::string m_zone;
    std::mt19937_64 m_random;
    AttemptId m_nextAttempt = 1;
    double m_trialCredit = 0;
    double m_faultShare = 0; ///< mean probability of a fault
    double m_prior; ///< share of faulty upstreams
    TimePoint m_priorAt;
    std::map<std::string, Upstream> m_upstreams;
    std::map<AttemptId, std::string> m_attempts;
};

} // namespace laburnumspar
