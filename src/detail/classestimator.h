#pragma once

#include "laburnumspar/dispatcher.h"

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspar::detail {

/// Exponential moving averages of execution times in microseconds. The typical time and its upper bound are averages of
/// logarithms: a few timeouts on a stuck upstream multiply the arithmetic mean, but must not make a route look slow.
class RunTimeAverage
{
public:
    // Follows a change within about twenty executions.
    static constexpr double DefaultWeight = 1.0 / 16;

    /// The first samples have equal weights, until `weight` is larger than their share.
    void add(double us, double weight = DefaultWeight);
    double mean() const
    {
        return m_mean;
    }
    /// Geometric mean; 0 without samples.
    double typical() const;
    /// Rarely exceeded: by fewer than one in a thousand of the execution times that bench_dispatcher generates. 0
    /// without samples.
    double upperBound() const;
    unsigned samples() const
    {
        return m_samples;
    }

private:
    double m_mean = 0;
    double m_logMean = 0;
    double m_logDeviation = 0;
    unsigned m_samples = 0;
};

/// Records execution times by route and class, and derives the class of a route from them.
class ClassEstimator
{
public:
    explicit ClassEstimator(std::size_t maxRoutes);

    /// Learned class of the route; `declared` while none has been learned.
    RequestClass classify(const std::string &route, RequestClass declared) const;
    /// Records a completed execution.
    void
    record(const std::string &route, RequestClass declared, RequestClass ranAs, Microseconds runTime, TimePoint now);
    /// Records `runTime` as a lower bound of an execution that did not complete. Ignored if not above the typical time.
    void recordAtLeast(
        const std::string &route, RequestClass declared, RequestClass ranAs, Microseconds runTime, TimePoint now);
    /// Records that a short request of the route has been running for much longer than typical. The route counts as
    /// long after overruns on two upstreams, or on the only one, until its execution times show otherwise. Overruns on
    /// one of several upstreams may be caused by the upstream.
    void recordOverrun(
        const std::string &route, const UpstreamId &upstream, bool onlyUpstream, Microseconds elapsed, TimePoint now);

    /// Execution times of the route, or of the class if the route has no samples. May have no samples.
    const RunTimeAverage &runTime(const std::string &route, RequestClass requestClass) const;
    /// Geometric mean of the requests declared as this class; 0 until there are enough samples.
    Microseconds typicalRunTime(RequestClass requestClass) const;
    /// Allows a request that the estimate would refuse, at most once a second per route without recent samples and
    /// twice a second overall. An estimate that refuses every request of a route would otherwise never be corrected.
    bool allowTrial(const std::string &route, TimePoint now);
    /// Recorded routes, most recently used first.
    std::vector<RouteDump> routes() const;

    /// A request or route that takes this many times the typical short execution time counts as long.
    static constexpr double OverrunFactor = 10;

private:
    struct Route {
        std::string name;
        RunTimeAverage runTime;
        std::optional<RequestClass> learnedClass;
        std::optional<UpstreamId> lastOverrunOn; // since the route was last learned as short
        std::optional<TimePoint> lastSample; // or last trial
    };

    /// The route, moved to the front of `m_routes`; added if it is not known.
    Route &touch(const std::string &name);
    const Route *find(const std::string &name) const;
    void updateLearnedClass(Route &route) const;

    std::size_t m_maxRoutes;
    std::list<Route> m_routes; // most recently used first
    std::unordered_map<std::string, std::list<Route>::iterator> m_byName;
    RunTimeAverage m_runTimes[2]; // by class at the time of the execution
    RunTimeAverage m_declaredRunTimes[2]; // by declared class
    std::optional<TimePoint> m_lastTrial;
};

} // namespace laburnumspar::detail
