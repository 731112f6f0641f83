#include "fuzz.h"

#include "laburnumspar/errors.h"
#include "platform/fields.h"
#include "platform/settingsfile.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

using namespace laburnumspar;
namespace rules = platform::fields::settings;

namespace {

constexpr std::string_view SettingsText = R"([self]
node_name = "front-1"
ip = "10.1.0.35"
zone = "palermo"
bootstrap = true
limits = { cpu_share = 0.2, cpus = 1, memory_mb = 260 }
[network]
seeds = ["10.1.0.35:8146"]
listen = { front = "10.1.0.35:8144", ready = "10.1.0.35:8140", control = "10.1.0.35:8146", directory = "10.1.0.35:8143" }
zones = { palermo = "sicilia", catania = "sicilia" }
[platform]
heartbeat_s = 1.5
platform = { addr = "10.200.1.7:8142" }
[terms]
bounds = { grace_s = 6, ttl_max_s = 5, retry_ratio = 0.2, retry_window_s = 10, retry_slack = 58, quota_window_s = 5, quota_over = 0.25, quota_slack = 20 }
)";

/// Values that no field may have, whatever its rule.
constexpr std::array<std::string_view, 7> WrongValues{
    "-1", "1e300", "9223372036854775807", "nan", "''", "2026-01-01", "[[[1]]]"};

/// Returns the text with another value in place of that of the field.
std::string withValue(std::string_view path, std::string_view value)
{
    const auto name = path.substr(path.rfind('.') + 1);
    std::string text(SettingsText);
    const auto at = text.find(std::string(name) + " = ") + name.size() + 3;
    constexpr std::string_view Opening = "[{\"";
    constexpr std::string_view Closing = "]}\"";
    const auto kind = Opening.find(text[at]);
    const auto end
        = kind == std::string_view::npos ? text.find_first_of(",} \n", at) : text.find(Closing[kind], at + 1) + 1;
    return text.replace(at, end - at, value);
}

/// Whether a field of a wrong type or out of range is reported by its path. Sections of the text are passed over.
bool rejectsWrongValue(std::uint8_t field, std::uint8_t value)
{
    const auto &rule = rules::All[field % rules::All.size()];
    if (SettingsText.find('[' + std::string(rule.name) + ']') != std::string_view::npos) {
        return true;
    }
    try {
        platform::parseSettings(withValue(rule.name, WrongValues[value % WrongValues.size()]), "fuzz");
        return false;
    } catch (const SettingsError &e) {
        return e.key() == rule.name && e.line() > 0;
    }
}

bool isEndpoint(const Endpoint &endpoint)
{
    return !endpoint.ip.empty() && endpoint.port != 0;
}

bool isInRange(const GatewaySettings &settings)
{
    const auto &bounds = settings.bounds;
    return !settings.name.empty() && !settings.ip.empty() && settings.zones.size() <= rules::MaxZones + 1
        && std::count(settings.zones.begin(), settings.zones.end(), settings.zone) == 1 && isEndpoint(settings.callers)
        && isEndpoint(settings.readiness) && isEndpoint(settings.addresses) && isEndpoint(settings.peers)
        && isEndpoint(settings.store) && std::all_of(settings.seeds.begin(), settings.seeds.end(), isEndpoint)
        && settings.capacity > 0 && settings.capacity <= rules::MaxCores * 1000 && settings.memoryBytes >= 1 << 20
        && bounds.graceTime.count() >= 0 && bounds.retryShare >= 0 && bounds.retryReserve <= rules::MaxRetries
        && bounds.retryWindow.count() > 0 && bounds.heartbeat.count() > 0 && bounds.quota.window.count() > 0
        && bounds.quota.excessShare >= 0 && bounds.quota.excessRequests >= 0;
}

} // namespace

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    return {{SettingsText.begin(), SettingsText.end()}};
}

// Any text is either rejected with a SettingsError or gives settings that keep the rules.
bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    try {
        if (!isInRange(platform::parseSettings(std::string(buf.begin(), buf.end()), "fuzz"))) {
            return false;
        }
    } catch (const SettingsError &e) {
        if (e.file() != "fuzz") {
            return false;
        }
    }
    return buf.size() < 2 || rejectsWrongValue(buf[0], buf[1]);
}
