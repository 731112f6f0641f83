#pragma once

#include "laburnumspar/gateway.h"
#include "laburnumspar/requestqueue.h"
#include "laburnumspar/retrybudget.h"
#include "laburnumspar/upstreampool.h"

#include <map>
#include <memory>
#include <string>

namespace laburnumspar::detail {

/// Upstreams, retry budget and queued requests of one service.
struct ServiceState {
    ServiceState(std::string serviceName, const std::string &zone, const FleetBounds &bounds, std::uint64_t seed);

    std::string name;
    UpstreamPool pool;
    RetryBudget budget;
    RequestQueue queue;
};

/// Holds the current routes, the registered upstreams and the state of each service. Performs no I/O. Not thread-safe.
class ServiceRegistry
{
public:
    ServiceRegistry(std::string zone, const FleetBounds &bounds, std::uint64_t seed);

    /// Replaces the route table if this one is newer. Returns false otherwise.
    bool applyRoutes(std::shared_ptr<const RouteTable> table);
    const std::shared_ptr<const RouteTable> &routes() const
    {
        return m_routes;
    }

    UpstreamRegistry &upstreams()
    {
        return m_upstreams;
    }
    /// Adds or updates an upstream. Returns true if the entry is new or has changed in more than its heartbeat.
    bool putUpstream(const RegisteredUpstream &entry, TimePoint now);
    /// Removes an upstream without retaining it.
    void withdrawUpstream(const std::string &id);
    /// Removes an upstream. Returns false if it is unknown, or retained because its lease lapsed in an outage of the
    /// store.
    bool removeUpstream(const std::string &id, TimePoint now);
    /// Retains an upstream whose lease has lapsed for other instances, or removes it if it is draining.
    void lapseUpstream(const std::string &id, TimePoint now);
    /// Removes the retained upstreams that have not registered again in time, and returns their identities.
    std::vector<std::string> expireUpstreams(TimePoint now);
    /// Stops sending requests to an upstream, for example because its address now belongs to another one. Its registry
    /// entry stays.
    void removeFromPools(const std::string &id);

    /// Returns the state of a service, which is created at the first call.
    ServiceState &service(const std::string &name);
    std::map<std::string, std::unique_ptr<ServiceState>> &services()
    {
        return m_services;
    }
    /// Sets the function that selects the upstreams that this instance explores, for all services.
    void setExplorer(UpstreamPool::IsExplorer isExplorer);
    /// Sets the function that returns this instance's share of the request rate of an upstream, for all services.
    void setRateShare(UpstreamPool::RateShare rateShare);
    /// Sets the retry reserve of each service to this instance's share, given the number of active instances. Without a
    /// value the reserve is 0.
    void divideRetryReserve(std::optional<std::size_t> instances);
    /// Returns the latency model of a route, which is created at the first call.
    LatencyModel &latency(const Route &route);
    /// Chooses the service for the next request of a route by smooth weighted round-robin.
    const std::string &nextService(const Route &route);

private:
    std::string m_zone;
    FleetBounds m_bounds;
    std::uint64_t m_seed;
    unsigned m_retryReserve = 0; ///< retries per service and window in addition to the retry share
    UpstreamPool::IsExplorer m_isExplorer;
    UpstreamPool::RateShare m_rateShare;
    std::shared_ptr<const RouteTable> m_routes;
    UpstreamRegistry m_upstreams;
    std::map<std::string, std::unique_ptr<ServiceState>> m_services;
    std::map<std::string, std::unique_ptr<LatencyModel>> m_latencies; ///< by route
    std::map<std::string, std::vector<double>> m_weightCredits; ///< by route: requests that each target is due
};

} // namespace laburnumspar::detail
