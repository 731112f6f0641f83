#include "gateway/serviceregistry.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Length of an upstream's lease in the store, in heartbeat intervals.
constexpr int HeartbeatsPerLease = 3;
/// Fraction of the fleet's retry share that is used. The rest covers instances that restart and no longer know which
/// retries they have spent.
constexpr double UsedRetryShare = 0.85;
/// Fraction of the fleet's retry reserve that is used. The rest covers retries that instances had spent before a
/// restart.
constexpr double UsedRetryReserve = 0.5;
/// Assumed ratio of a route's latency objective to its median latency, until latencies have been measured.
constexpr int ObjectivePerMedian = 4;
/// Assumed median latency of a route without an objective.
constexpr Milliseconds DefaultMedian{200};

unsigned instanceReserve(const FleetBounds &bounds, std::size_t instances)
{
    return unsigned(bounds.retryReserve * UsedRetryReserve / double(std::max<std::size_t>(instances, 1)));
}

} // namespace

ServiceState::ServiceState(std::string serviceName,
                           const std::string &zone,
                           const FleetBounds &bounds,
                           std::uint64_t seed)
    : name(std::move(serviceName))
    , pool(zone, seed)
    , budget(bounds.retryShare * UsedRetryShare, bounds.retryWindow, 0)
{
}

ServiceRegistry::ServiceRegistry(std::string zone, const FleetBounds &bounds, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_bounds(bounds)
    , m_seed(seed)
    , m_upstreams(HeartbeatsPerLease * bounds.heartbeat)
{
}

bool ServiceRegistry::applyRoutes(std::shared_ptr<const RouteTable> table)
{
    if (m_routes && table->version() <= m_routes->version()) {
        return false;
    }
    m_routes = std::move(table);
    return true;
}

bool ServiceRegistry::putUpstream(const RegisteredUpstream &entry, TimePoint now)
{
    const auto *known = m_upstreams.find(entry.id);
    const auto serviceBefore = known != nullptr ? known->service : entry.service;
    if (!m_upstreams.put(entry, now)) {
        return false;
    }
    if (serviceBefore != entry.service) {
        service(serviceBefore).pool.remove(entry.id);
    }
    service(entry.service).pool.put(entry, now);
    return true;
}

void ServiceRegistry::withdrawUpstream(const std::string &id)
{
    m_upstreams.withdraw(id);
    removeFromPools(id);
}

bool ServiceRegistry::removeUpstream(const std::string &id, TimePoint now)
{
    const auto *entry = m_upstreams.find(id);
    const auto serviceName = entry != nullptr ? entry->service : std::string();
    if (!m_upstreams.remove(id, now)) {
        return false;
    }
    service(serviceName).pool.remove(id);
    return true;
}

void ServiceRegistry::lapseUpstream(const std::string &id, TimePoint now)
{
    m_upstreams.lapse(id, now);
    if (m_upstreams.find(id) == nullptr) {
        removeFromPools(id);
    }
}

std::vector<std::string> ServiceRegistry::expireUpstreams(TimePoint now)
{
    auto expired = m_upstreams.expire(now);
    for (const auto &id : expired) {
        removeFromPools(id);
    }
    return expired;
}

void ServiceRegistry::removeFromPools(const std::string &id)
{
    for (auto &[name, service] : m_services) {
        service->pool.remove(id);
    }
}

ServiceState &ServiceRegistry::service(const std::string &name)
{
    auto &service = m_services[name];
    if (!service) {
        service = std::make_unique<ServiceState>(name, m_zone, m_bounds, ++m_seed);
        service->budget.setReserve(m_retryReserve);
        service->pool.setExplorer(m_isExplorer);
        service->pool.setRateShare(m_rateShare);
    }
    return *service;
}

void ServiceRegistry::setExplorer(UpstreamPool::IsExplorer isExplorer)
{
    m_isExplorer = std::move(isExplorer);
    for (auto &[name, service] : m_services) {
        service->pool.setExplorer(m_isExplorer);
    }
}

void ServiceRegistry::setRateShare(UpstreamPool::RateShare rateShare)
{
    m_rateShare = std::move(rateShare);
    for (auto &[name, service] : m_services) {
        service->pool.setRateShare(m_rateShare);
    }
}

void ServiceRegistry::divideRetryReserve(std::optional<std::size_t> instances)
{
    m_retryReserve = instances ? instanceReserve(m_bounds, *instances) : 0;
    for (auto &[name, service] : m_services) {
        service->budget.setReserve(m_retryReserve);
    }
}

LatencyModel &ServiceRegistry::latency(const Route &route)
{
    auto &model = m_latencies[route.name];
    if (!model) {
        const auto median = route.objective.count() > 0 ? route.objective / ObjectivePerMedian : DefaultMedian;
        model = std::make_unique<LatencyModel>(median);
    }
    return *model;
}

const std::string &ServiceRegistry::nextService(const Route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    auto &credits = m_weightCredits[route.name];
    credits.resize(route.targets.size());
    double total = 0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    std::size_t best = 0;
    for (std::size_t n = 0; n < credits.size(); ++n) {
        credits[n] += total > 0 ? route.targets[n].weight / total : 1.0 / double(credits.size());
        best = credits[n] > credits[best] ? n : best;
    }
    credits[best] -= 1;
    return route.targets[best].service;
}

} // namespace laburnumspar::detail
