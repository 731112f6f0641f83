#pragma once

#include "laburnumspar/organisations.h"
#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumspar {

/// One of the services over which the requests of a route are distributed.
struct RouteTarget {
    std::string service;
    double weight = 1; ///< relative to the other targets of the route; 0 or more
};

/// Targets of the requests of one host and path prefix, and the rules for forwarding them.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    std::vector<RouteTarget> targets; ///< at least one
    bool idempotent = false; ///< requests may run more than once
    unsigned attempts = 1; ///< maximum number of upstreams that may run one request
    Milliseconds timeout{0}; ///< maximum time to the final response; 0: only the caller's deadline applies
    Milliseconds objective{0}; ///< service level objective: target time to the final response; 0: none
    unsigned priority = 0; ///< 0 is the most urgent
    bool isPublic = false; ///< callers need no key
};

/// For whom a request may run.
struct Access {
    bool granted = true;
    const Organisation *organisation = nullptr; ///< whose key the caller has sent; null if none is needed or known
};

/// Configuration of the upstreams of one service.
struct ServicePolicy {
    std::string healthPath;
    unsigned maxConnections = 0; ///< to one upstream, of all callers together; 0: no limit
};

/// Limits for requests from callers.
struct CallerLimits {
    std::uint64_t headerBytes = 16 << 10; ///< maximum size of the header
    std::uint64_t bodyBytes = 64 << 20; ///< maximum size of the body
    Milliseconds headerTimeout{3000}; ///< maximum time to receive the header
    Milliseconds idleTimeout{15000}; ///< maximum idle time of a connection
};

/// One version of the routes, services and organisations. Immutable after build().
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

    /// The organisations; null if callers need no keys.
    const OrganisationTable *organisations() const
    {
        return m_organisations ? &*m_organisations : nullptr;
    }
    /// Decides whether a request for the route may run. `key`: the only key that it carries, if any.
    Access access(const Route &route, const std::optional<KeyDigest> &key) const;

    /// Returns the route of the host with the longest matching path prefix, or null if there is none. A port in `host`
    /// and a query in `target` are ignored.
    const Route *match(std::string_view host, std::string_view target) const;

private:
    std::uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::map<std::string, ServicePolicy> m_services;
    std::optional<OrganisationTable> m_organisations;
    std::unordered_map<std::string, std::size_t> m_index; ///< position in m_routes by host followed by prefix
};

class RouteTable::Builder
{
public:
    explicit Builder(std::uint64_t version);
    Builder &limits(const CallerLimits &limits);
    Builder &service(std::string name, ServicePolicy policy);
    Builder &route(Route route);
    /// From now on, callers need a key of one of these organisations unless the route is public.
    Builder &organisations(OrganisationTable organisations);
    /// Throws SettingsError for a route without targets, with an invalid prefix or weight, or with an undefined
    /// service.
    std::shared_ptr<const RouteTable> build();

private:
    RouteTable m_table;
};

} // namespace laburnumspar
