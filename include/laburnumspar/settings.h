#pragma once

#include "laburnumspar/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Largest value of the platform, in bytes; longer texts are invalid.
inline constexpr std::size_t MaxValueBytes = 1024 * 1024;

/// Settings of one process, read from its TOML file: [instance], [listen], [platform], [log], [limits].
struct ProcessSettings {
    std::string zone; ///< required
    std::string region = "default";
    Endpoint callers; ///< required; a specific address, since callers are told to use it
    Endpoint peers; ///< required; a specific address (TCP and UDP), which identifies the instance
    Endpoint admin{"127.0.0.1", 7402};
    std::vector<Endpoint> seeds; ///< peers to contact first; at least one seed or platform address
    std::vector<Endpoint> platform; ///< addresses of the platform service
    std::string platformDialect = "lspar-v1";
    unsigned workers = 2; ///< threads, 1 to 256
    unsigned maxInstances = 40; ///< upper bound of the instances that share the connection limit of an upstream
    std::string logLevel = "info"; ///< a name of LogLevel
    std::string logFormat = "json"; ///< a name of LogFormat
    Milliseconds drainTimeout{0}; ///< longest graceful shutdown, at most 1 day; 0: no limit
    bool faultInjection = false;

    bool operator==(const ProcessSettings &) const = default;
};

/// Properties of the requests below one path.
struct RouteSettings {
    std::string prefix; ///< whole path segments: "/pay" covers "/pay" and "/pay/7", not "/payments"
    std::optional<WorkClass> workClass; ///< empty: learned from execution times
    bool idempotent = false;
    Milliseconds deadline{2000}; ///< the deadline of the service unless the route states its own

    bool operator==(const RouteSettings &) const = default;
};

/// Settings of one service, read from a TOML value: [service], [limits], [shares], [[route]].
struct ServiceSettings {
    std::string team; ///< owner; taken from the path of the value if the text omits it
    std::string service;
    std::string policy = "group"; ///< group, local
    std::string dialect = "lspar-v1"; ///< upstream dialect
    unsigned upstreams = 0; ///< upstreams that the team runs; 0: not stated
    double floor = 0.7; ///< share of the capacity that ejections leave in service, 0 to 1
    unsigned slots = 4; ///< concurrent requests per upstream, 1 to 10,000
    unsigned connections = 320; ///< connections per upstream over the whole fleet, at least `slots`
    double longShare = 0.5; ///< share of the slots that long requests may hold, 0 to 1
    unsigned queueLimit = 1000; ///< waiting requests per dispatcher; 0: none waits
    Milliseconds deadline{2000}; ///< default per request, 1 ms to 10 min
    Milliseconds rampTime{10000}; ///< slow start of starting upstreams, at most 10 min
    double retryBudget = 0.1; ///< retries as share of first attempts, 0 to 1
    std::map<std::string, double> teamShares; ///< weight of calling teams, 0.001 to 1,000; others have 1
    std::vector<RouteSettings> routes; ///< in byte order of the prefixes; the longest matching prefix applies

    bool operator==(const ServiceSettings &) const = default;
};

/// Team and service that a path of the platform names.
struct ServicePath {
    std::string team;
    std::string service;

    bool operator==(const ServicePath &) const = default;
};

/// Parses `/teams/<team>/services/<service>`; empty if the path is anything else.
std::optional<ServicePath> parseServicePath(std::string_view path);
std::string toString(const ServicePath &path);

/// True for names of teams, services and zones: 1 to 64 letters, digits, '.', '_', '-', not led by a '.'.
bool isValidName(std::string_view text);

/// Both throw SettingsError if any part of the text is invalid; the result depends on the arguments only.
ProcessSettings parseProcessSettings(std::string_view text, const std::string &file);
/// `path` is the path of the value, which then has to agree with the text, or the name of a file.
ServiceSettings parseServiceSettings(std::string_view text, const std::string &path);

/// Effective settings, defaults included, in the form that the parsers read.
std::string toToml(const ProcessSettings &settings);
std::string toToml(const ServiceSettings &settings);

/// Puts routes that were not read by the parser into the order that findRoute needs.
void sortRoutes(ServiceSettings &settings);

/// Route with the longest prefix of `path`, whose query is ignored; null if there is none.
/// Escapes and dot segments are compared as they are.
const RouteSettings *findRoute(const ServiceSettings &settings, std::string_view path);

} // namespace laburnumspar
