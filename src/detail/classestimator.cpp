#include "detail/classestimator.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

// Mean absolute deviations of the logarithm between the typical time and the upper bound.
constexpr double UpperDeviations = 4;
// The typical time of a class changes more slowly than that of a route, so that one busy route does not dominate it.
constexpr double ClassSampleWeight = 1.0 / 64;
// With fewer samples, a class has no typical time and a route keeps its declared class.
constexpr unsigned MinSamples = 8;
// A route counts as short again only well below OverrunFactor, so that its class does not change with every sample.
constexpr double ShortFactor = 3;
// Minimum time between two trials of a route, or between its last sample and a trial.
constexpr Milliseconds RouteTrialInterval{1000};
// Minimum time between any two trials. Most trials miss their deadline and waste a slot, so they must stay few even
// with many routes.
constexpr Milliseconds MinTrialSpacing{500};

std::size_t index(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

} // namespace

void RunTimeAverage::add(double us, double weight)
{
    const double log = std::log(std::max(us, 1.0));
    ++m_samples;
    if (m_samples == 1) {
        m_mean = us;
        m_logMean = log;
        return;
    }
    weight = std::max(weight, 1.0 / m_samples);
    m_mean += weight * (us - m_mean);
    m_logDeviation += weight * (std::abs(log - m_logMean) - m_logDeviation);
    m_logMean += weight * (log - m_logMean);
}

double RunTimeAverage::typical() const
{
    return m_samples == 0 ? 0 : std::exp(m_logMean);
}

double RunTimeAverage::upperBound() const
{
    return m_samples == 0 ? 0 : std::exp(m_logMean + UpperDeviations * m_logDeviation);
}

ClassEstimator::ClassEstimator(std::size_t maxRoutes)
    : m_maxRoutes(std::max<std::size_t>(maxRoutes, 1))
{
}

RequestClass ClassEstimator::classify(const std::string &route, RequestClass declared) const
{
    const Route *known = find(route);
    return known && known->learnedClass ? *known->learnedClass : declared;
}

void ClassEstimator::record(
    const std::string &route, RequestClass declared, RequestClass ranAs, Microseconds runTime, TimePoint now)
{
    const double us = std::max(1.0, double(runTime.count()));
    Route &known = touch(route);
    known.runTime.add(us);
    known.lastSample = now;
    m_runTimes[index(ranAs)].add(us);
    // Recorded by declared class: if all upstreams slow down, every short route overruns and counts as long, and only
    // executions that were declared short can raise the typical short time.
    m_declaredRunTimes[index(declared)].add(us, ClassSampleWeight);
    updateLearnedClass(known);
}

void ClassEstimator::recordAtLeast(
    const std::string &route, RequestClass declared, RequestClass ranAs, Microseconds runTime, TimePoint now)
{
    if (double(runTime.count()) > this->runTime(route, ranAs).typical()) {
        record(route, declared, ranAs, runTime, now);
    }
}

void ClassEstimator::recordOverrun(
    const std::string &route, const UpstreamId &upstream, bool onlyUpstream, Microseconds elapsed, TimePoint now)
{
    Route &known = touch(route);
    known.runTime.add(double(elapsed.count()));
    known.lastSample = now;
    if (onlyUpstream || (known.lastOverrunOn && *known.lastOverrunOn != upstream)) {
        known.learnedClass = RequestClass::Long;
    }
    known.lastOverrunOn = upstream;
}

void ClassEstimator::updateLearnedClass(Route &route) const
{
    const double typicalShort = double(typicalRunTime(RequestClass::Short).count());
    if (typicalShort <= 0 || route.runTime.samples() < MinSamples) {
        return;
    }
    if (route.runTime.typical() > OverrunFactor * typicalShort) {
        route.learnedClass = RequestClass::Long;
    } else if (route.runTime.typical() < ShortFactor * typicalShort) {
        route.learnedClass = RequestClass::Short;
        route.lastOverrunOn.reset();
    }
}

const RunTimeAverage &ClassEstimator::runTime(const std::string &route, RequestClass requestClass) const
{
    const Route *known = find(route);
    return known && known->runTime.samples() > 0 ? known->runTime : m_runTimes[index(requestClass)];
}

Microseconds ClassEstimator::typicalRunTime(RequestClass requestClass) const
{
    const RunTimeAverage &average = m_declaredRunTimes[index(requestClass)];
    return Microseconds(average.samples() < MinSamples ? 0 : std::llround(average.typical()));
}

bool ClassEstimator::allowTrial(const std::string &route, TimePoint now)
{
    Route &known = touch(route);
    const bool recentSample = known.lastSample && now - *known.lastSample < RouteTrialInterval;
    if (recentSample || (m_lastTrial && now - *m_lastTrial < MinTrialSpacing)) {
        return false;
    }
    known.lastSample = now;
    m_lastTrial = now;
    return true;
}

std::vector<RouteDump> ClassEstimator::routes() const
{
    std::vector<RouteDump> dump;
    for (const Route &route : m_routes) {
        dump.push_back({route.name,
                        route.learnedClass,
                        Microseconds(std::llround(route.runTime.typical())),
                        Microseconds(std::llround(route.runTime.upperBound())),
                        route.runTime.samples()});
    }
    return dump;
}

ClassEstimator::Route &ClassEstimator::touch(const std::string &name)
{
    const auto it = m_byName.find(name);
    if (it != m_byName.end()) {
        m_routes.splice(m_routes.begin(), m_routes, it->second);
        return m_routes.front();
    }
    if (m_routes.size() >= m_maxRoutes) {
        m_byName.erase(m_routes.back().name);
        m_routes.pop_back();
    }
    m_routes.emplace_front();
    m_routes.front().name = name;
    m_byName.emplace(name, m_routes.begin());
    return m_routes.front();
}

const ClassEstimator::Route *ClassEstimator::find(const std::string &name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : &*it->second;
}

} // namespace laburnumspar::detail
