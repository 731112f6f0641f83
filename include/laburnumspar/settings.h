#pragma once

#include "laburnumspar/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Maximum size of a value of the platform and of a settings file, in bytes.
inline constexpr std::size_t MaxValueBytes = 1024 * 1024;

/// Settings of one process, read from its TOML file: [instance], [listen], [platform], [log], [limits].
struct ProcessSettings {
    std::string zone; ///< required
    std::string region = "default";
    Endpoint callers; ///< required; not a wildcard address, because it is sent to callers
    Endpoint peers; ///< required; TCP and UDP; not a wildcard address, because it identifies the instance
    Endpoint admin{"127.0.0.1", 7402};
    std::vector<Endpoint> seeds; ///< peers to contact at start; may be empty only if `platform` is not
    std::vector<Endpoint> platform; ///< addresses of the platform service; may be empty only if `seeds` is not
    std::string platformDialect = "lspar-v1";
    unsigned workers = 2; ///< number of threads, 1 to 256
    unsigned maxInstances = 40; ///< maximum number of instances that share the connection limit of an upstream
    std::string logLevel = "info"; ///< a name of LogLevel
    std::string logFormat = "json"; ///< a name of LogFormat
    Milliseconds drainTimeout{0}; ///< maximum duration of a graceful shutdown, at most 1 day; 0: unlimited
    bool faultInjection = false; ///< enables the /faults endpoint of the admin address

    bool operator==(const ProcessSettings &) const = default;
};

/// Settings of the requests whose path starts with a prefix.
struct RouteSettings {
    std::string prefix; ///< whole path segments: "/pay" covers "/pay" and "/pay/7", not "/payments"
    std::optional<RequestClass> requestClass; ///< empty: estimated from execution times
    bool idempotent = false;
    Milliseconds deadline{2000}; ///< defaults to the deadline of the service

    bool operator==(const RouteSettings &) const = default;
};

/// Settings of one service, read from a TOML value: [service], [limits], [shares], [[route]].
struct ServiceSettings {
    std::string team; ///< owner; defaults to the team in the path of the value
    std::string service; ///< name; defaults to the service in the path of the value
    std::string policy = "group"; ///< who dispatches: "group" (a group of instances) or "local" (each instance)
    std::string dialect = "lspar-v1"; ///< protocol spoken with the upstreams
    unsigned upstreams = 0; ///< number of upstreams that the team runs; 0: not specified
    double floor = 0.7; ///< minimum share of the capacity that ejections must leave in service, 0 to 1
    unsigned slots = 4; ///< maximum concurrent requests per upstream, 1 to 10,000
    unsigned connections = 320; ///< maximum connections of the whole fleet per upstream, at least `slots`
    double longShare = 0.5; ///< maximum share of the slots that long requests may occupy, 0 to 1
    unsigned queueLimit = 1000; ///< maximum queued requests per dispatcher; 0: requests are never queued
    Milliseconds deadline{2000}; ///< default deadline of a request, 1 ms to 10 min
    Milliseconds rampTime{10000}; ///< duration of the slow start after a start or return of an upstream, at most 10 min
    double retryBudget = 0.1; ///< maximum ratio of retries to first attempts, 0 to 1
    std::map<std::string, double> teamShares; ///< weights of calling teams, 0.001 to 1,000; default 1
    std::vector<RouteSettings> routes; ///< sorted by prefix, in byte order; the longest matching prefix applies

    bool operator==(const ServiceSettings &) const = default;
};

/// Team and service of a settings path of the platform.
struct ServicePath {
    std::string team;
    std::string service;

    bool operator==(const ServicePath &) const = default;
};

/// Parses `/teams/<team>/services/<service>`. Returns empty for any other path.
std::optional<ServicePath> parseServicePath(std::string_view path);
std::string toString(const ServicePath &path);

/// Returns whether `text` is a valid name of a team, service or zone: 1 to 64 ASCII letters, digits, '.', '_' or '-',
/// and no '.' at the start.
bool isValidName(std::string_view text);

/// Parses the TOML text of a process settings file. Throws SettingsError if any part of it is invalid.
/// `file` is used in error messages only.
ProcessSettings parseProcessSettings(std::string_view text, const std::string &file);
/// Parses the TOML text of the settings of a service. Throws SettingsError if any part of it is invalid. `path` is the
/// path of the value, whose team and service the text must not contradict, or the name of a file.
ServiceSettings parseServiceSettings(std::string_view text, const std::string &path);

/// Formats the settings, including defaults, as TOML that the parser reads back.
std::string toToml(const ProcessSettings &settings);
std::string toToml(const ServiceSettings &settings);

/// Normalises and sorts the routes of settings that were not parsed from a text, as findRoute() requires.
void sortRoutes(ServiceSettings &settings);

/// Returns the route with the longest prefix of `path` in whole segments, or null if there is none. The query and the
/// fragment are ignored; percent-encoded characters and dot segments are compared literally.
const RouteSettings *findRoute(const ServiceSettings &settings, std::string_view path);

} // namespace laburnumspar
