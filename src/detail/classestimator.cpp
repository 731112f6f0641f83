#include "detail/classestimator.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

// The usual time of a class changes more slowly than that of a route, so that one busy route does not define it.
constexpr double UsualWeight = 1.0 / 64;
// Below this number of samples a class has no usual time, and a route keeps its declared class.
constexpr unsigned EnoughSamples = 8;
// A route counts as short again only well below the border, so that it does not change class with every sample.
constexpr double ShortFactor = 3;
constexpr std::chrono::seconds TrialInterval{1};

std::size_t index(WorkClass workClass)
{
    return static_cast<std::size_t>(workClass);
}

} // namespace

void RunTimeAverage::add(double us, double weight)
{
    ++m_samples;
    if (m_samples == 1) {
        m_mean = us;
        return;
    }
    weight = std::max(weight, 1.0 / m_samples);
    m_deviation += weight * (std::abs(us - m_mean) - m_deviation);
    m_mean += weight * (us - m_mean);
}

ClassEstimator::ClassEstimator(std::size_t maxRoutes)
    : m_maxRoutes(std::max<std::size_t>(maxRoutes, 1))
{
}

WorkClass ClassEstimator::classify(const std::string &route, WorkClass declared) const
{
    const Route *known = find(route);
    return known && known->learned ? *known->learned : declared;
}

void ClassEstimator::record(
    const std::string &route, WorkClass declared, WorkClass ranAs, Microseconds runTime, TimePoint now)
{
    const double us = std::max(1.0, double(runTime.count()));
    Route &known = touch(route);
    known.runTime.add(us);
    known.lastSample = now;
    m_classes[index(ranAs)].add(us);
    // By declared class: if all upstreams slow down, every short route overruns, and only executions that were
    // declared short can raise the usual time again. The logarithm limits the effect of long outliers.
    Usual &usual = m_usual[index(declared)];
    ++usual.samples;
    usual.logMean += std::max(UsualWeight, 1.0 / usual.samples) * (std::log(us) - usual.logMean);
    relearn(known);
}

void ClassEstimator::recordAtLeast(
    const std::string &route, WorkClass declared, WorkClass ranAs, Microseconds runTime, TimePoint now)
{
    if (double(runTime.count()) > this->runTime(route, ranAs).mean()) {
        record(route, declared, ranAs, runTime, now);
    }
}

void ClassEstimator::markLong(const std::string &route, Microseconds soFar, TimePoint now)
{
    Route &known = touch(route);
    known.runTime.add(double(soFar.count()));
    known.lastSample = now;
    known.learned = WorkClass::Long;
}

void ClassEstimator::relearn(Route &route) const
{
    const double usualShort = double(usual(WorkClass::Short).count());
    if (usualShort <= 0 || route.runTime.samples() < EnoughSamples) {
        return;
    }
    if (route.runTime.mean() > OverrunFactor * usualShort) {
        route.learned = WorkClass::Long;
    } else if (route.runTime.mean() + 2 * route.runTime.deviation() < ShortFactor * usualShort) {
        route.learned = WorkClass::Short;
    }
}

const RunTimeAverage &ClassEstimator::runTime(const std::string &route, WorkClass workClass) const
{
    const Route *known = find(route);
    return known && known->runTime.samples() > 0 ? known->runTime : m_classes[index(workClass)];
}

Microseconds ClassEstimator::usual(WorkClass workClass) const
{
    const Usual &usual = m_usual[index(workClass)];
    return Microseconds(usual.samples < EnoughSamples ? 0 : std::llround(std::exp(usual.logMean)));
}

bool ClassEstimator::takeTrial(const std::string &route, TimePoint now)
{
    Route &known = touch(route);
    if (now - known.lastSample < TrialInterval) {
        return false;
    }
    known.lastSample = now;
    return true;
}

std::vector<RouteDump> ClassEstimator::routes() const
{
    std::vector<RouteDump> dump;
    for (const Route &route : m_routes) {
        dump.push_back({route.name,
                        route.learned,
                        Microseconds(std::llround(route.runTime.mean())),
                        Microseconds(std::llround(route.runTime.deviation())),
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
