#pragma once

#include "laburnumspar/dispatchpolicy.h"
#include "laburnumspar/fleet.h"
#include "laburnumspar/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspar {

/// Which upstreams may run long requests.
enum class LongPlacement : std::uint8_t {
    SharePerUpstream, ///< any upstream, but never in its last slot
    FewUpstreams, ///< as few upstreams as the long share of the slots requires; short requests prefer the others
};

template <>
struct EnumNames<LongPlacement> {
    static constexpr std::array<std::string_view, 2> Names{"share-per-upstream", "few-upstreams"};
};

/// A request that needs a slot of an upstream.
struct DispatchRequest {
    std::uint64_t ticket = 0; ///< unique among the queued and started requests of the dispatcher
    std::string team;
    std::string route;
    RequestClass requestClass = RequestClass::Short;
    TimePoint deadline;
    bool idempotent = false;
    std::vector<UpstreamId> exclude; ///< upstreams that must not run it, such as those of failed attempts
};

/// An owned upstream and the number of requests that it may run at once.
struct UpstreamCapacity {
    UpstreamId id;
    unsigned slots = 0;
};

/// Result of a started request.
struct Completion {
    Microseconds runTime{0}; ///< 0: use the time since the start decision
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None; ///< Shed and ConnectFailed lower the limit of the upstream for a short time
    std::optional<unsigned> reportedInFlight; ///< requests running at the upstream, including this one
};

/// Settings that may change while requests are queued or running.
struct DispatcherLimits {
    double longShare = 0.5; ///< share of the slots that long requests may hold, 0 to 1
    unsigned queueLimit = 1000; ///< maximum number of queued requests
    std::map<std::string, double> teamShares; ///< weights of the teams; 1 for teams not listed
};

/// Returns how many slots of an upstream may be used now, and its rank among the upstreams.
using AdmissionHook = std::function<Admission(const UpstreamId &, TimePoint)>;
using DispatcherLoad = ServiceLoad;

/// Start or refusal of one submitted request.
struct Decision {
    enum class Kind : std::uint8_t {
        Start,
        Refuse, ///< the request has not run and will not run
    };
    Kind kind = Kind::Refuse;
    std::uint64_t ticket = 0;
    UpstreamId upstream; ///< empty for Refuse
    Reason reason = Reason::None; ///< None for Start
    RequestClass requestClass = RequestClass::Short; ///< the class learned for the route, or the declared one
};

template <>
struct EnumNames<Decision::Kind> {
    static constexpr std::array<std::string_view, 2> Names{"start", "refuse"};
};

/// State of one upstream.
struct UpstreamDump {
    UpstreamId id;
    unsigned slots = 0; ///< configured
    unsigned limit = 0; ///< slots usable now
    unsigned preference = 0; ///< lower is chosen first
    unsigned outstanding = 0; ///< started requests that have not finished
    unsigned longOutstanding = 0;
    unsigned externalLoad = 0; ///< reported requests that this dispatcher did not start
    bool shedding = false; ///< limit lowered after a refused request or connection
    bool longAllowed = false; ///< may hold long requests
    bool owned = false; ///< false: no longer owned, with requests still running
};

/// State of the queue of one team and class.
struct QueueDump {
    std::string team;
    RequestClass requestClass = RequestClass::Short;
    double weight = 1;
    std::size_t queued = 0;
    unsigned running = 0;
    Microseconds estimatedWait{0};
};

/// Execution times recorded for one route.
struct RouteDump {
    std::string route;
    std::optional<RequestClass> learnedClass; ///< empty: the declared class applies
    Microseconds typical{0}; ///< geometric mean of the execution times
    Microseconds upperBound{0}; ///< rarely exceeded; reserved for the execution when a queued request is admitted
    unsigned samples = 0;
};

/// A recent decision and the request that it was made for.
struct DecisionDump {
    TimePoint at;
    Decision decision;
    std::string team;
    std::string route;
    RequestClass requestClass = RequestClass::Short;
    Microseconds waited{0}; ///< from submission to the decision
};

/// State of a dispatcher, for operators and tests.
struct DispatcherDump {
    std::vector<UpstreamDump> upstreams;
    std::vector<QueueDump> queues;
    std::vector<RouteDump> routes;
    std::vector<DecisionDump> decisions; ///< the last 64, oldest first
    unsigned slots = 0;
    unsigned longLimit = 0;
    unsigned longRunning = 0;
    std::size_t queued = 0;
    std::size_t knownTeams = 0; ///< including idle ones
    Microseconds typicalShort{0}; ///< geometric mean of the class; 0 without enough samples
    Microseconds typicalLong{0};
};

/// Queues requests of one service and assigns them to slots of the upstreams that this instance owns.
/// Every submitted request gets exactly one decision, Start or Refuse. Not thread-safe. All member functions throw
/// InvariantError if a decision would exceed the slots or the limit on long requests.
class Dispatcher
{
public:
    class Builder;

    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /// Replaces the owned upstreams. Requests running on removed upstreams remain counted until they finish.
    void setUpstreams(std::vector<UpstreamCapacity> upstreams, TimePoint now);
    /// Applies new limits. Queued requests stay queued, even if they exceed a lowered queue limit.
    void setLimits(DispatcherLimits limits, TimePoint now);
    /// Starts, queues or refuses a request. Throws InvariantError if its ticket is already in use.
    std::vector<Decision> submit(DispatchRequest request, TimePoint now);
    /// Frees the slot of a started request; unknown tickets are ignored.
    std::vector<Decision> finish(std::uint64_t ticket, const Completion &completion, TimePoint now);
    /// Refuses a queued request with Reason::Cancelled. A started one keeps its slot until finish().
    std::vector<Decision> cancel(std::uint64_t ticket, TimePoint now);
    /// Handles expired deadlines, overruns and changed limits. Call about every 10 ms.
    std::vector<Decision> poll(TimePoint now);
    /// Load as of the last call that passed a time.
    DispatcherLoad load() const;
    /// False while the queue holds more than half of its limit, so that retries do not add to an overload.
    bool retriesAllowed() const;
    DispatcherDump dump() const;

private:
    class Private;
    explicit Dispatcher(std::unique_ptr<Private> d);
    std::unique_ptr<Private> m_d;
};

class Dispatcher::Builder
{
public:
    Builder &service(std::string name);
    /// Share of the slots that long requests may hold, clamped to 0..1; they may always hold one slot.
    Builder &longShare(double share);
    Builder &longPlacement(LongPlacement placement);
    /// Maximum number of queued requests.
    Builder &queueLimit(unsigned limit);
    /// Weights of the calling teams; 1 for teams not listed.
    Builder &teamShares(std::map<std::string, double> shares);
    /// Called for every upstream on changes of upstreams or limits, on each poll, and on other calls at most once per
    /// millisecond.
    Builder &admissionHook(AdmissionHook hook);
    /// Name of a registered DispatchPolicy; "least-loaded" by default.
    Builder &policy(std::string name);
    /// Maximum number of routes with recorded execution times; the least recently used one is dropped.
    Builder &maxRoutes(std::size_t routes);
    /// Seed of the random choices of the policy.
    Builder &seed(std::uint64_t seed);
    /// Throws UnknownPluginError if the policy is not registered.
    Dispatcher build() const;

private:
    friend class Dispatcher::Private;
    std::string m_service;
    double m_longShare = 0.5;
    LongPlacement m_longPlacement = LongPlacement::SharePerUpstream;
    unsigned m_queueLimit = 1000;
    std::map<std::string, double> m_teamShares;
    AdmissionHook m_admissionHook;
    std::string m_policy = "least-loaded";
    std::size_t m_maxRoutes = 1024;
    std::uint64_t m_seed = 1;
};

} // namespace laburnumspar
