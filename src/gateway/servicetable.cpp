#include "gateway/servicetable.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Leases of upstreams last this many heartbeats.
constexpr int HeartbeatsPerLease = 3;
/// Part of the fleet's second attempts that are used at all. The rest covers instances that start again and know
/// nothing of what they have spent.
constexpr double BudgetShare = 0.85;
constexpr double ReserveShare = 0.5;
/// The objective of a route is some times its usual execution time.
constexpr int ObjectivePerMedian = 4;
constexpr Milliseconds UnknownMedian{200};

unsigned reserveOf(const FleetBounds &bounds, std::size_t instances)
{
    return unsigned(bounds.retryReserve * ReserveShare / double(std::max<std::size_t>(instances, 1)));
}

} // namespace

ServiceState::ServiceState(std::string serviceName,
                           const std::string &zone,
                           const FleetBounds &bounds,
                           std::uint64_t seed)
    : name(std::move(serviceName))
    , pool(zone, seed)
    , budget(bounds.retryShare * BudgetShare, bounds.retryWindow, 0)
{
}

ServiceTable::ServiceTable(std::string zone, const FleetBounds &bounds, std::uint64_t seed)
    : m_zone(std::move(zone))
    , m_bounds(bounds)
    , m_seed(seed)
    , m_registry(HeartbeatsPerLease * bounds.heartbeat)
{
}

bool ServiceTable::applyRoutes(std::shared_ptr<const RouteTable> table)
{
    if (m_routes && table->version() <= m_routes->version()) {
        return false;
    }
    m_routes = std::move(table);
    return true;
}

bool ServiceTable::putUpstream(const RegisteredUpstream &entry, TimePoint now)
{
    const auto *known = m_registry.find(entry.id);
    const auto serviceBefore = known != nullptr ? known->service : entry.service;
    if (!m_registry.put(entry, now)) {
        return false;
    }
    if (serviceBefore != entry.service) {
        service(serviceBefore).pool.remove(entry.id);
    }
    service(entry.service).pool.put(entry, now);
    return true;
}

bool ServiceTable::removeUpstream(const std::string &id, TimePoint now)
{
    const auto *entry = m_registry.find(id);
    const auto serviceName = entry != nullptr ? entry->service : std::string();
    if (!m_registry.remove(id, now)) {
        return false;
    }
    service(serviceName).pool.remove(id);
    return true;
}

std::vector<std::string> ServiceTable::expireUpstreams(TimePoint now)
{
    auto expired = m_registry.expire(now);
    for (const auto &id : expired) {
        removeFromPools(id);
    }
    return expired;
}

void ServiceTable::removeFromPools(const std::string &id)
{
    for (auto &[name, service] : m_services) {
        service->pool.remove(id);
    }
}

ServiceState &ServiceTable::service(const std::string &name)
{
    auto &service = m_services[name];
    if (!service) {
        service = std::make_unique<ServiceState>(name, m_zone, m_bounds, ++m_seed);
        service->budget.setReserve(m_reserve);
    }
    return *service;
}

void ServiceTable::divideRetryReserve(std::optional<std::size_t> instances)
{
    m_reserve = instances ? reserveOf(m_bounds, *instances) : 0;
    for (auto &[name, service] : m_services) {
        service->budget.setReserve(m_reserve);
    }
}

LatencyModel &ServiceTable::latency(const Route &route)
{
    auto &model = m_latencies[route.name];
    if (!model) {
        const auto median = route.objective.count() > 0 ? route.objective / ObjectivePerMedian : UnknownMedian;
        model = std::make_unique<LatencyModel>(median);
    }
    return *model;
}

const std::string &ServiceTable::nextService(const Route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    auto &owed = m_shares[route.name];
    owed.resize(route.targets.size());
    double total = 0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    std::size_t best = 0;
    for (std::size_t n = 0; n < owed.size(); ++n) {
        owed[n] += total > 0 ? route.targets[n].weight / total : 1.0 / double(owed.size());
        best = owed[n] > owed[best] ? n : best;
    }
    owed[best] -= 1;
    return route.targets[best].service;
}

} // namespace laburnumspar::detail
