#include "laburnumspar/routetable.h"

#include "detail/pausepoint.h"
#include "laburnumspar/errors.h"

#include <algorithm>
#include <cctype>

namespace laburnumspar {

namespace {

constexpr std::size_t RoutesPerPause = 128;

/// Host name in lower case and without the port, since host names are case-insensitive and callers may add a port.
std::string normalizedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

[[noreturn]] void throwInvalid(const Route &route, const std::string &expected)
{
    throw SettingsError("route table", route.name, 0, expected);
}

} // namespace

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto path = target.substr(0, target.find_first_of("?#"));
    std::string key = normalizedHost(host);
    const auto hostLength = key.size();
    key += path;
    // Every prefix ends with a slash, so only the parts of the path up to a slash are looked up, the longest first.
    while (key.size() > hostLength) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < hostLength) {
            return nullptr;
        }
        key.resize(slash + 1);
        const auto it = m_index.find(key);
        if (it != m_index.end()) {
            return &m_routes[it->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

Access RouteTable::access(const Route &route, const std::optional<KeyDigest> &key) const
{
    if (!m_organisations) {
        return {};
    }
    const auto *organisation = key ? m_organisations->find(*key) : nullptr;
    return {route.isPublic || organisation != nullptr, organisation};
}

RouteTable::Builder::Builder(std::uint64_t version)
{
    m_table.m_version = version;
}

RouteTable::Builder &RouteTable::Builder::limits(const CallerLimits &limits)
{
    m_table.m_limits = limits;
    return *this;
}

RouteTable::Builder &RouteTable::Builder::service(std::string name, ServicePolicy policy)
{
    m_table.m_services.insert_or_assign(std::move(name), std::move(policy));
    return *this;
}

RouteTable::Builder &RouteTable::Builder::route(Route route)
{
    m_table.m_routes.push_back(std::move(route));
    return *this;
}

RouteTable::Builder &RouteTable::Builder::organisations(OrganisationTable organisations)
{
    m_table.m_organisations = std::move(organisations);
    return *this;
}

std::shared_ptr<const RouteTable> RouteTable::Builder::build()
{
    m_table.m_index.reserve(m_table.m_routes.size());
    for (std::size_t n = 0; n < m_table.m_routes.size(); ++n) {
        if (n % RoutesPerPause == 0) {
            detail::pausePoint();
        }
        auto &route = m_table.m_routes[n];
        if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
            throwInvalid(route, "prefix '" + route.prefix + "' must begin and end with '/'");
        }
        if (route.targets.empty()) {
            throwInvalid(route, "targets must contain at least one service");
        }
        for (const auto &target : route.targets) {
            if (!m_table.m_services.contains(target.service)) {
                throwInvalid(route, "service '" + target.service + "' is not defined");
            }
            if (!(target.weight >= 0)) {
                throwInvalid(route, "weight of service '" + target.service + "' must be 0 or more");
            }
        }
        route.attempts = std::max(route.attempts, 1U);
        m_table.m_index.insert_or_assign(normalizedHost(route.host) + route.prefix, n);
    }
    return std::make_shared<const RouteTable>(std::move(m_table));
}

} // namespace laburnumspar
