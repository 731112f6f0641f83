// Prints settings as TOML. Strings need no escapes: the parsers admit no quotes, backslashes or control characters.
#include "laburnumspar/settings.h"

#include <charconv>
#include <concepts>

namespace laburnumspar {

namespace {

std::string literal(const std::string &text)
{
    return '"' + text + '"';
}

std::string literal(bool value)
{
    return value ? "true" : "false";
}

std::string literal(std::integral auto value)
{
    return std::to_string(value);
}

std::string literal(Milliseconds value)
{
    return std::to_string(value.count());
}

// The shortest form that reads back as the same number.
std::string literal(double value)
{
    char buf[32];
    const std::string text(buf, std::to_chars(buf, buf + sizeof buf, value).ptr);
    // TOML reads a number without a point or exponent as an integer.
    return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

std::string literal(const Endpoint &endpoint)
{
    return literal(toString(endpoint));
}

std::string literal(const std::vector<Endpoint> &endpoints)
{
    std::string text;
    for (const auto &endpoint : endpoints) {
        text += (text.empty() ? "" : ", ") + literal(endpoint);
    }
    return '[' + text + ']';
}

class TomlText
{
public:
    TomlText &section(const std::string &header)
    {
        m_text += (m_text.empty() ? "" : "\n") + header + '\n';
        return *this;
    }
    template <typename T>
    TomlText &put(const std::string &key, const T &value)
    {
        m_text += key + " = " + literal(value) + '\n';
        return *this;
    }
    std::string text() &&
    {
        return std::move(m_text);
    }

private:
    std::string m_text;
};

void putRoute(TomlText &out, const RouteSettings &route)
{
    out.section("[[route]]").put("prefix", route.prefix);
    if (route.workClass) {
        out.put("class", std::string(name(*route.workClass)));
    }
    out.put("idempotent", route.idempotent).put("deadline_ms", route.deadline);
}

} // namespace

std::string toToml(const ProcessSettings &settings)
{
    TomlText out;
    out.section("[instance]").put("zone", settings.zone).put("region", settings.region);
    out.put("seeds", settings.seeds).put("fault_injection", settings.faultInjection);
    out.section("[listen]").put("callers", settings.callers).put("peers", settings.peers).put("admin", settings.admin);
    out.section("[platform]").put("addresses", settings.platform).put("dialect", settings.platformDialect);
    out.section("[log]").put("level", settings.logLevel).put("format", settings.logFormat);
    out.section("[limits]").put("workers", settings.workers).put("instances_max", settings.instancesMax);
    out.put("drain_limit_ms", settings.drainLimit);
    return std::move(out).text();
}

std::string toToml(const ServiceSettings &settings)
{
    TomlText out;
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
        out.put(literal(team), share);
    }
    for (const auto &route : settings.routes) {
        putRoute(out, route);
    }
    return std::move(out).text();
}

} // namespace laburnumspar
