#include "laburnumspar/settings.h"

#include "detail/tomlsection.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

using detail::TomlSection;

constexpr unsigned MaxWorkers = 256;
constexpr unsigned MaxInstances = 10000;
constexpr unsigned MaxUpstreams = 1000000;
constexpr unsigned MaxSlots = 10000;
constexpr unsigned MaxConnections = 1000000;
constexpr unsigned MaxQueue = 1000000;
constexpr std::int64_t MaxDrainMs = 24 * 60 * 60 * 1000;
// Request identifiers expire after 10 minutes, and a request must not outlive its identifier.
constexpr std::int64_t MaxDeadlineMs = 10 * 60 * 1000;
constexpr std::int64_t MaxRampMs = 10 * 60 * 1000;
constexpr double MinTeamShare = 0.001;
constexpr double MaxTeamShare = 1000;
constexpr std::size_t MaxNameBytes = 64;
// Bounds the number of lookups that findRoute() makes for a path of many segments.
constexpr std::size_t MaxPrefixBytes = 256;
constexpr std::string_view TeamsPath = "/teams/";
constexpr std::string_view ServicesSegment = "/services/";
// No service may have this name, because /instances/entries is the path of the instance list of the fleet and
// /instances/<service> the path of the upstreams of a service.
constexpr std::string_view ReservedService = "entries";

template <typename E>
std::vector<std::string_view> enumNames()
{
    return {EnumNames<E>::Names.begin(), EnumNames<E>::Names.end()};
}

void requireSpecificAddress(const TomlSection &section, std::string_view key, const Endpoint &endpoint)
{
    section.require(key);
    if (boost::asio::ip::make_address(endpoint.ip).is_unspecified()) {
        section.fail(
            key, "the address must not be a wildcard address such as 0.0.0.0, because other processes connect to it");
    }
}

void readListen(const TomlSection &listen, ProcessSettings &settings)
{
    listen.read("callers", settings.callers);
    listen.read("peers", settings.peers);
    listen.read("admin", settings.admin);
    requireSpecificAddress(listen, "callers", settings.callers);
    requireSpecificAddress(listen, "peers", settings.peers);
    if (settings.peers == settings.callers) {
        listen.fail("peers", "the address must differ from listen.callers");
    }
    if (settings.admin == settings.callers || settings.admin == settings.peers) {
        listen.fail("admin", "the address must differ from listen.callers and listen.peers");
    }
}

void readLimits(const TomlSection &limits, ProcessSettings &settings)
{
    limits.read("workers", settings.workers, {1, MaxWorkers});
    limits.read("instances_max", settings.maxInstances, {1, MaxInstances});
    limits.read("drain_limit_ms", settings.drainTimeout, {0, MaxDrainMs});
}

void readIdentity(const TomlSection &section, const std::string &path, ServiceSettings &settings)
{
    const auto expected = parseServicePath(path);
    if (expected) {
        settings.team = expected->team;
        settings.service = expected->service;
    } else {
        section.require("team");
        section.require("name");
    }
    section.readName("team", settings.team);
    section.readName("name", settings.service);
    if (expected && settings.team != expected->team) {
        section.fail("team", "the value must be \"" + expected->team + "\", the team in the path of the value");
    }
    if (expected && settings.service != expected->service) {
        section.fail("name", "the value must be \"" + expected->service + "\", the service in the path of the value");
    }
    if (settings.service == ReservedService) {
        section.fail("name", "the value must not be \"entries\", which is reserved for the instance list of the fleet");
    }
}

// Returns count / total, decreased until rounding share * total up gives `count` again in spite of rounding errors.
double exactShare(unsigned count, unsigned total)
{
    double share = static_cast<double>(count) / total;
    while (std::ceil(share * total) > count) {
        share = std::nextafter(share, 0.0);
    }
    return share;
}

void readFloor(const TomlSection &limits, ServiceSettings &settings)
{
    limits.read("floor", settings.floor, {0, 1});
    if (!limits.has("floor_upstreams")) {
        return;
    }
    if (limits.has("floor")) {
        limits.fail("floor_upstreams", "the keys floor and floor_upstreams must not both be present");
    }
    if (settings.upstreams == 0) {
        limits.fail("floor_upstreams",
                    "the key requires service.upstreams, the number of upstreams that the team runs");
    }
    unsigned count = 0;
    limits.read("floor_upstreams", count, {0, settings.upstreams});
    settings.floor = exactShare(count, settings.upstreams);
}

void readLimits(const TomlSection &limits, ServiceSettings &settings)
{
    readFloor(limits, settings);
    limits.read("slots", settings.slots, {1, MaxSlots});
    limits.read("connections", settings.connections, {1, MaxConnections});
    limits.read("long_share", settings.longShare, {0, 1});
    limits.read("queue", settings.queueLimit, {0, MaxQueue});
    limits.read("deadline_ms", settings.deadline, {1, MaxDeadlineMs});
    limits.read("ramp_time_ms", settings.rampTime, {0, MaxRampMs});
    limits.read("retry_budget", settings.retryBudget, {0, 1});
    if (settings.connections < settings.slots) {
        limits.fail(limits.has("connections") ? "connections" : "slots",
                    "at least one connection per slot is required (" + std::to_string(settings.slots) + " slots, "
                        + std::to_string(settings.connections) + " connections)");
    }
}

void readShares(const toml::table &root, const std::string &path, ServiceSettings &settings)
{
    const auto shares = TomlSection::fromRoot(root, path, "shares", {});
    if (!root.contains("shares")) {
        return;
    }
    for (const auto &[team, share] : *root.get("shares")->as_table()) {
        if (!isValidName(team)) {
            shares.fail(team, "the key must be a valid team name");
        }
        shares.read(team, settings.teamShares[std::string(team)], {MinTeamShare, MaxTeamShare});
    }
}

// Removes trailing slashes, because "/pay/" and "/pay" match the same paths. The root "/" keeps its slash.
void normalisePrefix(std::string &prefix)
{
    while (prefix.size() > 1 && prefix.back() == '/') {
        prefix.pop_back();
    }
}

bool isValidPrefix(std::string_view text)
{
    return !text.empty() && text.size() <= MaxPrefixBytes && text.front() == '/'
        && std::all_of(text.begin(), text.end(), [](char c) {
               return c > ' ' && c <= '~' && std::string_view("\"#?\\").find(c) == std::string_view::npos;
           });
}

RouteSettings readRoute(const TomlSection &section, Milliseconds deadline)
{
    RouteSettings route;
    route.deadline = deadline;
    section.require("prefix");
    section.read("prefix", route.prefix);
    if (!isValidPrefix(route.prefix)) {
        section.fail("prefix",
                     "the path must begin with '/' and have at most 256 visible ASCII characters other than '\"', '#', "
                     "'?' and '\\'");
    }
    normalisePrefix(route.prefix);
    std::string requestClass;
    section.readChoice("class", requestClass, enumNames<RequestClass>());
    route.requestClass = fromName<RequestClass>(requestClass);
    section.read("idempotent", route.idempotent);
    section.read("deadline_ms", route.deadline, {1, MaxDeadlineMs});
    return route;
}

void readRoutes(const toml::table &root, const std::string &path, ServiceSettings &settings)
{
    const auto *node = root.get("route");
    if (!node) {
        return;
    }
    const auto *routes = node->as_array();
    if (!routes || !std::all_of(routes->begin(), routes->end(), [](const auto &each) { return each.is_table(); })) {
        throw SettingsError(path,
                            "route",
                            node->source().begin.line,
                            "the value must be an array of tables, such as sections [[route]]");
    }
    std::map<std::string, std::size_t> lines;
    for (const auto &each : *routes) {
        const TomlSection section(each.as_table(), path, "route", {"prefix", "class", "idempotent", "deadline_ms"});
        auto route = readRoute(section, settings.deadline);
        const auto [first, added] = lines.emplace(route.prefix, section.line("prefix"));
        if (!added) {
            section.fail("prefix",
                         "the prefixes must be unique, but \"" + route.prefix + "\" is already used in line "
                             + std::to_string(first->second));
        }
        settings.routes.push_back(std::move(route));
    }
    sortRoutes(settings);
}

} // namespace

std::optional<ServicePath> parseServicePath(std::string_view path)
{
    if (!path.starts_with(TeamsPath)) {
        return std::nullopt;
    }
    path.remove_prefix(TeamsPath.size());
    const auto teamEnd = path.find('/');
    if (teamEnd == std::string_view::npos || !path.substr(teamEnd).starts_with(ServicesSegment)) {
        return std::nullopt;
    }
    const auto team = path.substr(0, teamEnd);
    const auto service = path.substr(teamEnd + ServicesSegment.size());
    if (!isValidName(team) || !isValidName(service)) {
        return std::nullopt;
    }
    return ServicePath{std::string(team), std::string(service)};
}

std::string toString(const ServicePath &path)
{
    return std::string(TeamsPath) + path.team + std::string(ServicesSegment) + path.service;
}

bool isValidName(std::string_view text)
{
    const auto isNameCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !text.empty() && text.size() <= MaxNameBytes && text.front() != '.'
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

ProcessSettings parseProcessSettings(std::string_view text, const std::string &file)
{
    const auto root = detail::parseToml(text, file);
    const TomlSection sections(&root, file, "", {"instance", "listen", "platform", "log", "limits"});
    ProcessSettings settings;
    const auto instance = TomlSection::fromRoot(root, file, "instance", {"zone", "region", "seeds", "fault_injection"});
    instance.require("zone");
    instance.readName("zone", settings.zone);
    instance.readName("region", settings.region);
    instance.read("seeds", settings.seeds);
    instance.read("fault_injection", settings.faultInjection);
    readListen(TomlSection::fromRoot(root, file, "listen", {"callers", "peers", "admin"}), settings);
    const auto platform = TomlSection::fromRoot(root, file, "platform", {"addresses", "dialect"});
    platform.read("addresses", settings.platform);
    platform.readName("dialect", settings.platformDialect);
    if (settings.platform.empty() && settings.seeds.empty()) {
        platform.fail("addresses", "the list must have at least one address if instance.seeds has none");
    }
    const auto log = TomlSection::fromRoot(root, file, "log", {"level", "format"});
    log.readChoice("level", settings.logLevel, enumNames<LogLevel>());
    log.readChoice("format", settings.logFormat, enumNames<LogFormat>());
    readLimits(TomlSection::fromRoot(root, file, "limits", {"workers", "instances_max", "drain_limit_ms"}), settings);
    return settings;
}

ServiceSettings parseServiceSettings(std::string_view text, const std::string &path)
{
    const auto root = detail::parseToml(text, path);
    const TomlSection sections(&root, path, "", {"service", "limits", "shares", "route"});
    ServiceSettings settings;
    const auto service
        = TomlSection::fromRoot(root, path, "service", {"team", "name", "policy", "dialect", "upstreams"});
    readIdentity(service, path, settings);
    service.readChoice("policy", settings.policy, {"group", "local"});
    service.readName("dialect", settings.dialect);
    service.read("upstreams", settings.upstreams, {1, MaxUpstreams});
    readLimits(TomlSection::fromRoot(root,
                                     path,
                                     "limits",
                                     {"floor",
                                      "floor_upstreams",
                                      "slots",
                                      "connections",
                                      "long_share",
                                      "queue",
                                      "deadline_ms",
                                      "ramp_time_ms",
                                      "retry_budget"}),
               settings);
    readShares(root, path, settings);
    readRoutes(root, path, settings);
    return settings;
}

void sortRoutes(ServiceSettings &settings)
{
    for (auto &route : settings.routes) {
        normalisePrefix(route.prefix);
    }
    std::sort(settings.routes.begin(), settings.routes.end(), [](const auto &a, const auto &b) {
        return a.prefix < b.prefix;
    });
}

const RouteSettings *findRoute(const ServiceSettings &settings, std::string_view path)
{
    const auto &routes = settings.routes;
    const auto find = [&routes](std::string_view prefix) -> const RouteSettings * {
        const auto it = std::lower_bound(
            routes.begin(), routes.end(), prefix, [](const auto &route, auto text) { return route.prefix < text; });
        return it != routes.end() && it->prefix == prefix ? &*it : nullptr;
    };
    path = path.substr(0, path.find_first_of("?#"));
    if (path.size() > MaxPrefixBytes) {
        path = path.substr(0, MaxPrefixBytes + 1);
        path = path.substr(0, path.find('/') == std::string_view::npos ? 0 : path.rfind('/'));
    }
    while (!path.empty()) {
        if (const auto *route = find(path)) {
            return route;
        }
        const auto slash = path.rfind('/');
        path = path.substr(0, slash == std::string_view::npos ? 0 : slash);
    }
    return find("/");
}

} // namespace laburnumspar
