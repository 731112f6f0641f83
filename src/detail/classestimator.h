#pragma once

#include "laburnumspar/dispatcher.h"

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspar::detail {

/// Averages of execution times, weighted towards recent ones. Microseconds. The usual time and its upper bound are
/// averages of logarithms: a few timeouts on a stuck upstream multiply the mean, but must not make a route look slow.
class RunTimeAverage
{
public:
    // Follows a change within some twenty executions.
    static constexpr double DefaultWeight = 1.0 / 16;

    /// `weight` of the sample, once there are enough.
    void add(double us, double weight = DefaultWeight);
    double mean() const
    {
        return m_mean;
    }
    /// Geometric mean; 0 without samples.
    double typical() const;
    /// Seldom exceeded: by fewer than one execution in a thousand as bench_dispatcher draws them.
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

/// Execution times by route and class, and the class of a route as learned from them.
class ClassEstimator
{
public:
    explicit ClassEstimator(std::size_t maxRoutes);

    WorkClass classify(const std::string &route, WorkClass declared) const;
    /// An execution that ended.
    void record(const std::string &route, WorkClass declared, WorkClass ranAs, Microseconds runTime, TimePoint now);
    /// An execution that was cut short after this time, or is still running.
    void
    recordAtLeast(const std::string &route, WorkClass declared, WorkClass ranAs, Microseconds runTime, TimePoint now);
    /// A request of the route ran over. After overruns on two upstreams, or on the only one, the route counts as long
    /// until its executions show otherwise; on one of several, the upstream may be the cause.
    void recordOverrun(
        const std::string &route, const UpstreamId &upstream, bool onlyUpstream, Microseconds elapsed, TimePoint now);

    /// Execution time of the route, or of the class while the route is unknown. Has no samples if nothing is known.
    const RunTimeAverage &runTime(const std::string &route, WorkClass workClass) const;
    /// Geometric mean of the class; 0 until there are enough samples.
    Microseconds typicalRunTime(WorkClass workClass) const;
    /// True once a second for a route without recent samples, and twice a second for all routes: an estimate that
    /// refuses all work is never corrected otherwise.
    bool allowTrial(const std::string &route, TimePoint now);
    std::vector<RouteDump> routes() const;

    /// A class overrun, or the border between the classes: this many times the usual short execution time.
    static constexpr double OverrunFactor = 10;

private:
    struct Route {
        std::string name;
        RunTimeAverage runTime;
        std::optional<WorkClass> learned;
        std::optional<UpstreamId> overranOn;
        std::optional<TimePoint> lastSample;
    };

    Route &touch(const std::string &name);
    const Route *find(const std::string &name) const;
    void updateLearnedClass(Route &route) const;

    std::size_t m_maxRoutes;
    std::list<Route> m_routes; // most recently used first
    std::unordered_map<std::string, std::list<Route>::iterator> m_byName;
    RunTimeAverage m_runTimes[2];
    RunTimeAverage m_declaredRunTimes[2]; // by declared class
    std::optional<TimePoint> m_lastTrial;
};

} // namespace laburnumspar::detail
