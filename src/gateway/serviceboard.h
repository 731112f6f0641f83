#pragma once

#include "laburnumspar/gateway.h"
#include "laburnumspar/requestqueue.h"
#include "laburnumspar/retrybudget.h"
#include "laburnumspar/upstreampool.h"

#include <map>
#include <memory>
#include <string>

namespace laburnumspar::detail {

/// All that is decided for the requests of one service.
struct ServiceLine {
    ServiceLine(std::string serviceName, const std::string &zone, const FleetBounds &bounds, std::uint64_t seed);

    std::string name;
    UpstreamPool pool;
    RetryBudget budget;
    RequestQueue waiting;
};

/// Routes in force, upstreams and what is known of them. No sockets; one thread only.
class ServiceBoard
{
public:
    ServiceBoard(std::string zone, const FleetBounds &bounds, std::uint64_t seed);

    /// False if the version is not newer than the one in force.
    bool applyRoutes(std::shared_ptr<const RouteTable> table);
    const std::shared_ptr<const RouteTable> &routes() const
    {
        return m_routes;
    }

    UpstreamRegistry &registry()
    {
        return m_registry;
    }
    /// True if the entry tells something new.
    bool putUpstream(const RegisteredUpstream &entry, TimePoint now);
    /// False if the upstream is kept for now, or unknown.
    bool removeUpstream(const std::string &id, TimePoint now);
    std::vector<std::string> expireUpstreams(TimePoint now);
    /// The address of this upstream belongs to another one by now.
    void noteForeignIdentity(const std::string &id);

    ServiceLine &line(const std::string &service);
    std::map<std::string, std::unique_ptr<ServiceLine>> &lines()
    {
        return m_lines;
    }
    /// Divides the fleet's reserve of second attempts among the instances that carry traffic; empty: this one has none.
    void shareBudget(std::optional<std::size_t> instances);
    LatencyModel &latency(const Route &route);
    /// Service for the next request of a route: the one that is furthest behind its weight.
    const std::string &nextService(const Route &route);

private:
    std::string m_zone;
    FleetBounds m_bounds;
    std::uint64_t m_seed;
    unsigned m_reserve = 0; ///< second attempts of each service in a window besides their share
    std::shared_ptr<const RouteTable> m_routes;
    UpstreamRegistry m_registry;
    std::map<std::string, std::unique_ptr<ServiceLine>> m_lines;
    std::map<std::string, std::unique_ptr<LatencyModel>> m_latencies; ///< by route
    std::map<std::string, std::vector<double>> m_shares; ///< by route: work that each target is owed
};

} // namespace laburnumspar::detail
