#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumspar {

/// One of the services among which the requests of a route are divided.
struct RouteTarget {
    std::string service;
    double weight = 1;
};

/// Where the requests of one host and path prefix go, and what may be done with them.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    std::vector<RouteTarget> targets; ///< at least one
    bool idempotent = false; ///< may run more than once
    unsigned attempts = 1; ///< most upstreams that may run one request
    Milliseconds timeout{0}; ///< longest time to a final answer; 0: only the caller's deadline counts
    Milliseconds objective{0}; ///< an answer within this time earns its full credit; 0: none
    unsigned priority = 0; ///< 0 is the most urgent
};

/// What is configured for the upstreams of one service.
struct ServicePolicy {
    std::string healthPath;
    unsigned maxConnections = 0; ///< of one upstream, over all callers; 0: no limit
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint64_t headerBytes = 16 << 10;
    std::uint64_t bodyBytes = 64 << 20;
    Milliseconds headerTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/// One version of the routes and services. Immutable after build().
class RouteTable
{
public:
    class Builder;

    std::uint64_t version() const
    {
        return m_version;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }
    const std::vector<Route> &routes() const
    {
        return m_routes;
    }
    const std::map<std::string, ServicePolicy> &services() const
    {
        return m_services;
    }

    /// Route of this host with the longest prefix that begins the path; null if there is none. A port in `host` and a
    /// query in `target` are ignored.
    const Route *match(std::string_view host, std::string_view target) const;

private:
    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::map<std::string, ServicePolicy> m_services;
    std::unordered_map<std::string, std::size_t> m_index; ///< host and prefix, joined, to the place in m_routes
};

class RouteTable::Builder
{
public:
    explicit Builder(std::uint64_t version);
    Builder &limits(const CallerLimits &limits);
    Builder &service(std::string name, ServicePolicy policy);
    Builder &route(Route route);
    /// Throws SettingsError for a route without targets, with a bad prefix or to a service that is not listed.
    std::shared_ptr<const RouteTable> build();

private:
    RouteTable m_table;
};

} // namespace laburnumspar
