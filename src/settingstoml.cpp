// Formats settings as TOML.
#include "laburnumspar/gateway.h"
#include "laburnumspar/settings.h"

#include <charconv>
#include <concepts>
#include <cstdio>

namespace laburnumspar {

namespace {

std::string formatValue(const std::string &text)
{
    std::string quoted = "\"";
    for (const char c : text) {
        if (static_cast<unsigned char>(c) < 0x20) {
            char buf[8];
            std::snprintf(buf, sizeof buf, "\\u%04X", unsigned(c));
            quoted += buf;
            continue;
        }
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += c;
    }
    return quoted + '"';
}

std::string formatValue(bool value)
{
    return value ? "true" : "false";
}

std::string formatValue(std::integral auto value)
{
    return std::to_string(value);
}

std::string formatValue(Milliseconds value)
{
    return std::to_string(value.count());
}

// Returns the shortest decimal form that is parsed as the same number.
std::string formatValue(double value)
{
    char buf[32];
    const std::string text(buf, std::to_chars(buf, buf + sizeof buf, value).ptr);
    // TOML parses a number without a decimal point or exponent as an integer.
    return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

std::string formatValue(const Endpoint &endpoint)
{
    return formatValue(toString(endpoint));
}

std::string formatValue(const std::vector<Endpoint> &endpoints)
{
    std::string text;
    for (const auto &endpoint : endpoints) {
        text += (text.empty() ? "" : ", ") + formatValue(endpoint);
    }
    return '[' + text + ']';
}

std::string formatValue(const std::vector<std::string> &texts)
{
    std::string all;
    for (const auto &text : texts) {
        all += (all.empty() ? "" : ", ") + formatValue(text);
    }
    return '[' + all + ']';
}

class TomlWriter
{
public:
    TomlWriter &section(const std::string &header)
    {
        m_text += (m_text.empty() ? "" : "\n") + header + '\n';
        return *this;
    }
    template <typename T>
    TomlWriter &put(const std::string &key, const T &value)
    {
        m_text += key + " = " + formatValue(value) + '\n';
        return *this;
    }
    std::string text() &&
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

void writeRoute(TomlWriter &out, const RouteSettings &route)
{
    out.section("[[route]]").put("prefix", route.prefix);
    if (route.requestClass) {
        out.put("class", std::string(name(*route.requestClass)));
    }
    out.put("idempotent", route.idempotent).put("deadline_ms", route.deadline);
}

} // namespace

std::string toToml(const ProcessSettings &settings)
{
    TomlWriter out;
    out.section("[instance]").put("zone", settings.zone).put("region", settings.region);
    out.put("seeds", settings.seeds).put("fault_injection", settings.faultInjection);
    out.section("[listen]").put("callers", settings.callers).put("peers", settings.peers).put("admin", settings.admin);
    out.section("[platform]").put("addresses", settings.platform).put("dialect", settings.platformDialect);
    out.section("[log]").put("level", settings.logLevel).put("format", settings.logFormat);
    out.section("[limits]").put("workers", settings.workers).put("instances_max", settings.maxInstances);
    out.put("drain_limit_ms", settings.drainTimeout);
    return std::move(out).text();
}

std::string toToml(const ServiceSettings &settings)
{
    TomlWriter out;
    out.section("[service]").put("team", settings.team).put("name", settings.service);
    out.put("policy", settings.policy).put("dialect", settings.dialect);
    if (settings.upstreams > 0) {
        out.put("upstreams", settings.upstreams);
    }
    out.section("[limits]").put("floor", settings.floor).put("slots", settings.slots);
    out.put("connections", settings.connections).put("long_share", settings.longShare);
    out.put("queue", settings.queueLimit).put("deadline_ms", settings.deadline);
    out.put("ramp_time_ms", settings.rampTime).put("retry_budget", settings.retryBudget);
    if (!settings.teamShares.empty()) {
        out.section("[shares]");
    }
    for (const auto &[team, share] : settings.teamShares) {
        out.put(formatValue(team), share);
    }
    for (const auto &route : settings.routes) {
        writeRoute(out, route);
    }
    return std::move(out).text();
}

std::string toToml(const GatewaySettings &settings)
{
    TomlWriter out;
    out.section("[instance]").put("name", settings.name).put("ip", settings.ip).put("zone", settings.zone);
    out.put("zones", settings.zones).put("capacity", settings.capacity).put("fleet_start", settings.fleetStart);
    out.section("[listen]").put("callers", settings.callers).put("readiness", settings.readiness);
    out.put("addresses", settings.addresses).put("peers", settings.peers);
    if (settings.metrics) {
        out.put("metrics", *settings.metrics);
    }
    out.section("[fleet]").put("seeds", settings.seeds).put("store", settings.store);
    const auto &bounds = settings.bounds;
    out.section("[bounds]").put("grace_ms", bounds.graceTime).put("address_lifetime_max_ms", bounds.addressLifetimeMax);
    out.put("retry_share", bounds.retryShare).put("retry_window_ms", bounds.retryWindow);
    out.put("retry_reserve", bounds.retryReserve).put("heartbeat_ms", bounds.heartbeat);
    out.section("[log]").put("level", settings.logLevel);
    return std::move(out).text();
}

} // namespace laburnumspar
