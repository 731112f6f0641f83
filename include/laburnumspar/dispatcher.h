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

/// Where long requests may run.
enum class LongPlacement : std::uint8_t {
    SharePerUpstream, ///< on any upstream, but never in its last slot
    FewUpstreams, ///< on as few upstreams as their share of the slots needs; short requests prefer the others
};

template <>
struct EnumNames<LongPlacement> {
    static constexpr std::array<std::string_view, 2> Names{"share-per-upstream", "few-upstreams"};
};

/// One request that asks for a slot.
struct DispatchRequest {
    std::uint64_t ticket = 0; ///< unique among the items that the dispatcher holds
    std::string team;
    std::string route;
    WorkClass workClass = WorkClass::Short;
    TimePoint deadline;
    bool idempotent = false;
    std::vector<UpstreamId> exclude; ///< upstreams that must not get it, such as those of failed attempts
};

struct UpstreamCapacity {
    UpstreamId id;
    unsigned slots = 0;
};

/// How a started item ended.
struct Completion {
    Microseconds runTime{0}; ///< 0: the time since the start decision
    Outcome outcome = Outcome::Answered;
    Reason reason = Reason::None; ///< Shed and ConnectFailed lower the slots of the upstream for a moment
    std::optional<unsigned> reportedInFlight; ///< work at the upstream, including the item that ended
};

/// Settings that may change while work is held.
struct DispatcherLimits {
    double longShare = 0.5;
    unsigned queueLimit = 1000;
    std::map<std::string, double> teamShares;
};

using AdmissionHook = std::function<Admission(const UpstreamId &, TimePoint)>;
using DispatcherLoad = ServiceLoad;

struct Decision {
    enum class Kind : std::uint8_t {
        Start,
        Refuse, ///< the item was not run and will not be
    };
    Kind kind = Kind::Refuse;
    std::uint64_t ticket = 0;
    UpstreamId upstream; ///< empty for Refuse
    Reason reason = Reason::None; ///< None for Start
    WorkClass workClass = WorkClass::Short; ///< as learned
};

template <>
struct EnumNames<Decision::Kind> {
    static constexpr std::array<std::string_view, 2> Names{"start", "refuse"};
};

struct UpstreamDump {
    UpstreamId id;
    unsigned slots = 0; ///< configured
    unsigned limit = 0; ///< usable now
    unsigned preference = 0;
    unsigned outstanding = 0;
    unsigned longOutstanding = 0;
    unsigned externalLoad = 0; ///< reported requests that this dispatcher did not start
    bool shedding = false;
    bool longAllowed = false; ///< may hold long requests
    bool owned = false; ///< false: given up, with work still running
};

struct QueueDump {
    std::string team;
    WorkClass workClass = WorkClass::Short;
    double weight = 1;
    std::size_t queued = 0;
    unsigned running = 0;
    Microseconds estimatedWait{0};
};

struct RouteDump {
    std::string route;
    std::optional<WorkClass> learnedClass; ///< empty: as declared
    Microseconds typical{0}; ///< geometric mean
    Microseconds upperBound{0}; ///< seldom exceeded; the time left for execution when requests queue
    unsigned samples = 0;
};

struct DecisionDump {
    TimePoint at;
    Decision decision;
    std::string team;
    std::string route;
    WorkClass workClass = WorkClass::Short;
    Microseconds waited{0}; ///< from submission to the decision
};

struct DispatcherDump {
    std::vector<UpstreamDump> upstreams;
    std::vector<QueueDump> queues;
    std::vector<RouteDump> routes;
    std::vector<DecisionDump> decisions; ///< the last 64, oldest first
    unsigned slots = 0;
    unsigned longLimit = 0;
    unsigned longRunning = 0;
    std::size_t queued = 0;
    std::size_t knownTeams = 0; ///< with or without work
    Microseconds typicalShort{0};
    Microseconds typicalLong{0};
};

/// Queue and slots of the upstreams that one instance owns of a service.
/// Every submitted ticket gets exactly one decision, Start or Refuse. Not thread-safe. All calls throw InvariantError
/// if a decision would break the rules on slots and long work.
class Dispatcher
{
public:
    class Builder;

    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /// Replaces the owned upstreams. Work on upstreams that are gone stays counted until it finishes.
    void setUpstreams(std::vector<UpstreamCapacity> upstreams, TimePoint now);
    /// What is queued stays queued, also beyond a lowered queue limit.
    void setLimits(DispatcherLimits limits, TimePoint now);
    /// Throws InvariantError if the ticket is already held.
    std::vector<Decision> submit(DispatchRequest request, TimePoint now);
    /// Ends a started item; an unknown ticket is ignored.
    std::vector<Decision> finish(std::uint64_t ticket, const Completion &completion, TimePoint now);
    /// Refuses a queued item as Cancelled. A started one keeps its slot until finish.
    std::vector<Decision> cancel(std::uint64_t ticket, TimePoint now);
    /// Applies what time changes: deadlines, overruns, slots. To be called every 10 ms or so.
    std::vector<Decision> poll(TimePoint now);
    /// As of the last call with a time.
    DispatcherLoad load() const;
    /// False while the queue is above half of its limit.
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
    /// Share of the slots that long requests may hold, 0..1; they may always hold one.
    Builder &longShare(double share);
    Builder &longPlacement(LongPlacement placement);
    /// Largest number of waiting requests.
    Builder &queueLimit(unsigned limit);
    /// Weights of the calling teams; 1 for teams that are not named.
    Builder &teamShares(std::map<std::string, double> shares);
    /// Called for every owned upstream at most once per millisecond and at each poll.
    Builder &admissionHook(AdmissionHook hook);
    /// Name of a registered DispatchPolicy.
    Builder &policy(std::string name);
    /// Routes whose execution times are remembered.
    Builder &maxRoutes(std::size_t routes);
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
