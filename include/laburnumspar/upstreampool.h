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
enum class AttemptEnd : std::uint8_t {
    Success,
    Failure, ///< the upstream answered that it failed, or not with a whole answer of its own
    Silence, ///< no answer within the time that the request had
    Unreachable, ///< no connection
    Full, ///< the upstream refused the work because it is full
    Refused, ///< the upstream refused the work for another reason, such as a foreign identity
    Abandoned, ///< given up for a reason that says nothing of the upstream
};

template <>
struct EnumNames<AttemptEnd> {
    static constexpr std::array<std::string_view, 7> Names{
        "success", "failure", "silence", "unreachable", "full", "refused", "abandoned"};
};

/// Chooses upstreams of one service for requests and learns from how the attempts end.
///
/// Suspicion is the logarithm of the odds that an upstream fails the work it is given. It comes from finished attempts
/// and from the silence of unfinished ones compared with how long such work takes elsewhere.
class UpstreamPool
{
public:
    using AttemptId = std::uint64_t;

    struct Request {
        const LatencyModel *latency = nullptr; ///< of this kind of work; outlives the attempts
        bool idempotent = false;
        std::vector<std::string> exclude; ///< identities that already had the request
    };

    struct Choice {
        AttemptId attempt = 0;
        RegisteredUpstream upstream;
        double suspicion = 0;
    };

    struct Summary {
        std::string id;
        std::size_t inFlight = 0;
        double foreign = 0;
        double suspicion = 0;
    };

    /// `zone`: where this instance runs. `seed`: of the choice between equal upstreams.
    UpstreamPool(std::string zone, std::uint64_t seed);

    void put(const RegisteredUpstream &entry, TimePoint now);
    void remove(const std::string &id);

    /// Takes a slot of the upstream that suits the request best; empty if none has one.
    std::optional<Choice> start(const Request &request, TimePoint now);
    void finish(AttemptId attempt, AttemptEnd end, const std::optional<ReportedLoad> &load, TimePoint now);
    /// Another instance suspects this upstream.
    void hearSuspicion(const std::string &id, double suspicion, TimePoint now);
    /// Upstreams which became suspect since the last call.
    std::vector<Summary> takeNewSuspects(TimePoint now);

    /// Slots of all upstreams that may get work.
    unsigned slots() const;
    /// Slots that are not known to be taken.
    double freeSlots(TimePoint now) const;
    bool empty() const
    {
        return m_upstreams.empty();
    }
    bool knows(const std::string &id) const
    {
        return m_upstreams.contains(id);
    }
    std::vector<Summary> summaries(TimePoint now) const;

private:
    struct Attempt {
        AttemptId id = 0;
        TimePoint started;
        const LatencyModel *latency = nullptr;
    };

    struct Upstream {
        RegisteredUpstream entry;
        std::vector<Attempt> inFlight;
        double evidence = 0; ///< suspicion from finished attempts, at `evidenceAt`
        TimePoint evidenceAt;
        TimePoint lastSuccess;
        TimePoint lastStart;
        TimePoint warmAt; ///< slow until then
        TimePoint fullUntil; ///< refuses work until then
        double foreign = 0; ///< work of other instances, as last reported
        TimePoint foreignAt;
        double slowness = 1; ///< execution time compared with the usual one
        bool suspect = false; ///< as last published
    };

    double evidenceOf(const Upstream &upstream, TimePoint now) const;
    double suspicionOf(const Upstream &upstream, TimePoint now) const;
    double foreignOf(const Upstream &upstream, TimePoint now) const;
    bool hasRoom(const Upstream &upstream, TimePoint now) const;
    double costOf(const Upstream &upstream, double suspicion, const Request &request, TimePoint now);
    void addEvidence(Upstream &upstream, double evidence, TimePoint now);
    void learnLoad(Upstream &upstream, const ReportedLoad &load, TimePoint now);
    void learnTime(Upstream &upstream, const Attempt &attempt, TimePoint now);

    std::string m_zone;
    std::mt19937_64 m_random;
    AttemptId m_nextAttempt = 1;
    std::map<std::string, Upstream> m_upstreams;
    std::map<AttemptId, std::string> m_attempts;
};

} // namespace laburnumspar
