#include "platform/adapter.h"
#include "platform/fields.h"
#include "platform/settingsfile.h"

#include "detail/tomlsection.h"
#include "laburnumspar/errors.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <sstream>

using namespace laburnumspar;

namespace {

const PlatformAdapter adapter = platform::makeAdapter();

DecodedStoreItem decode(const std::string &key, const std::string &value)
{
    return adapter.decodeItem({key, value, {1, 1}, false});
}

const std::string configText = R"({"version":"r12","routes":{"columns":["name","host","prefix","kind","timeout_s",
    "slo_s","priority","service","attempts","weighted_services"],"rows":[["pay","a.example","/pay/","unsafe",5,1.2,1,"s1",
    2,null],["look","a.example","/look/","safe",4,0.5,2,null,3,[{"service":"s1","weight":90},{"service":"s2","weight":10}]]]},
    "services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[["s1","/healthz",360,"h1",false],
    ["s2","/healthz",60,"h1",false]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,
    "idle_timeout_s":1.5}})";

const std::string serverText = R"({"service":"s1","addr":"10.128.0.9:8080","zone":"palermo","version":"v1","slots":6,
    "state":"ready","warmup_left_s":1.5,"seq":4,"born":1791199727083})";

const std::string settingsText = R"([self]
node_name = "front-1"
ip = "10.1.0.35"
zone = "palermo"
bootstrap = true
unknown = 1
[self.limits]
cpu_share = 0.2
cpus = 1
memory_mb = 260
[network]
seeds = ["10.1.0.35:8146"]
[network.listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
directory = "10.1.0.35:8143"
[network.zones]
palermo = "sicilia"
catania = "sicilia"
[platform]
heartbeat_s = 1.5
[platform.platform]
addr = "10.200.1.7:8142"
[terms.bounds]
grace_s = 6
ttl_max_s = 5
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
)";

using platform::fields::FieldRule;
using platform::fields::FieldType;
using platform::fields::Presence;

/// The sample settings with another value, or without one if `value` is null. Parses the text that results, so that
/// values have lines.
toml::table withValue(std::string_view path, const toml::node *value)
{
    auto root = toml::parse(settingsText);
    toml::table *table = &root;
    for (auto dot = path.find('.'); dot != std::string_view::npos; dot = path.find('.')) {
        table = table->get_as<toml::table>(path.substr(0, dot));
        path.remove_prefix(dot + 1);
    }
    if (value == nullptr) {
        table->erase(path);
    } else {
        table->insert_or_assign(path, *value);
    }
    return root;
}

/// The error with which the settings are rejected; none if they are accepted.
std::optional<SettingsError> rejection(const toml::table &settings)
{
    std::ostringstream text;
    text << toml::toml_formatter(settings);
    try {
        platform::parseSettings(text.str(), "local.toml");
    } catch (const SettingsError &e) {
        return e;
    }
    return std::nullopt;
}

/// Whether settings without the field, or without the table, are invalid.
bool requiresField(std::string_view path)
{
    const auto &all = platform::fields::settings::All;
    return std::any_of(all.begin(), all.end(), [path](const FieldRule &it) {
        const bool isAffected = it.name == path || it.name.starts_with(std::string(path) + '.');
        return isAffected && it.presence == Presence::Required;
    });
}

/// Values that break the rule. Numbers and texts are those next to its bounds.
toml::array wrongValues(const FieldRule &rule)
{
    toml::array values{toml::date{2026, 1, 1}};
    const auto addUnless = [&](bool valid, auto value) {
        if (!valid) {
            values.push_back(std::move(value));
        }
    };
    const bool isNumber = rule.type == FieldType::Number || rule.type == FieldType::WholeNumber;
    const bool isText = !isNumber && rule.type < FieldType::Boolean;
    addUnless(rule.type == FieldType::Boolean, true);
    addUnless(rule.type == FieldType::Array, toml::array{1, 2});
    addUnless(rule.type == FieldType::Object, toml::table{{"a", 1}});
    addUnless(rule.type == FieldType::Text, "text");
    addUnless(isNumber, 1);
    addUnless(false, std::numeric_limits<double>::quiet_NaN());
    addUnless(!isNumber, std::nextafter(rule.max, HUGE_VAL));
    addUnless(!isNumber, std::numeric_limits<std::int64_t>::max());
    addUnless(!isNumber, std::nextafter(rule.min, -HUGE_VAL));
    addUnless(!isText || rule.min == 0, "");
    addUnless(rule.type != FieldType::Address, "10.1.0.35:0");
    addUnless(rule.type != FieldType::Address, "10.1.0.35:65536");
    addUnless(rule.type != FieldType::Ipv4Address, "0.0.0.0");
    addUnless(rule.type != FieldType::Ipv4Address, "224.0.0.1");
    addUnless(rule.type != FieldType::Ipv4Address, "fd00::1");
    return values;
}

} // namespace

// Guards against columns that are read by position instead of by name, and times in the wrong unit.
BOOST_AUTO_TEST_CASE(configurationIsDecodedByColumn)
{
    const auto decoded = decode("op/config", configText);
    const auto table = std::get<std::shared_ptr<const RouteTable>>(decoded);
    BOOST_TEST(table->version() == 12U);
    BOOST_TEST(table->limits().idleTimeout.count() == 1500);
    const auto *pay = table->match("a.example", "/pay/1");
    BOOST_REQUIRE(pay != nullptr);
    BOOST_TEST(!pay->idempotent);
    BOOST_TEST(pay->timeout.count() == 5000);
    BOOST_TEST(pay->objective.count() == 1200);
    BOOST_TEST(pay->attempts == 2U);
    const auto *look = table->match("a.example", "/look/");
    BOOST_REQUIRE(look != nullptr);
    BOOST_TEST(look->idempotent);
    BOOST_TEST(look->targets.size() == 2U);
    BOOST_TEST(look->targets[1].weight == 10);
}

std::string withOrganisations(const std::string &rows)
{
    const auto end = configText.rfind('}');
    return configText.substr(0, end)
        + R"(,"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[)" + rows + "]}}";
}

// Guards against keys, priorities and quotas that get lost, and against deployments without organisations that need
// keys.
BOOST_AUTO_TEST_CASE(organisationsAreDecoded)
{
    const auto without = std::get<std::shared_ptr<const RouteTable>>(decode("op/config", configText));
    BOOST_TEST(without->organisations() == nullptr);
    const auto text = withOrganisations(R"(["acme",["k1","k2"],0,429,12.5],["idle",null,null,null,null])");
    const auto table = std::get<std::shared_ptr<const RouteTable>>(decode("op/config", text));
    BOOST_REQUIRE(table->organisations() != nullptr);
    BOOST_TEST(table->organisations()->organisations().size() == 2U);
    const auto *acme = table->organisations()->find(digestOfKey("k2"));
    BOOST_REQUIRE(acme != nullptr);
    BOOST_TEST(acme->name == "acme");
    BOOST_TEST(acme->priority.value() == 0U);
    BOOST_TEST(acme->quota.rate == 429);
    BOOST_TEST(acme->quota.burst == 12.5);
    BOOST_TEST(!table->organisations()->organisations()[1].quota.isLimited());
}

// Guards against a configuration of which a part is used although organisations share a key, and against names that
// could add headers to a request.
BOOST_AUTO_TEST_CASE(invalidOrganisationsInvalidateTheConfiguration)
{
    for (const auto *rows : {R"(["a",["k1"],0,1,1],["b",["k1"],0,1,1])",
                             R"(["a",[""],0,1,1])",
                             R"(["a",[7],0,1,1])",
                             R"(["a","k1",0,1,1])",
                             R"(["a b",["k1"],0,1,1])",
                             R"(["",["k1"],0,1,1])",
                             R"(["a",["k1"],0,-1,1])"}) {
        BOOST_CHECK_THROW(decode("op/config", withOrganisations(rows)), Error);
    }
}

// Guards against an invalid configuration that replaces a valid one.
BOOST_AUTO_TEST_CASE(invalidConfigurationsAreRejected)
{
    BOOST_CHECK_THROW(decode("op/config", "{"), DecodeError);
    BOOST_CHECK_THROW(decode("op/config", "{}"), DecodeError);
    BOOST_CHECK_THROW(decode("op/config", R"({"version":"12"})"), DecodeError);
    auto unknownService = configText;
    unknownService.replace(unknownService.find("\"s1\",\n"), 4, "\"s9\"");
    BOOST_CHECK_THROW(decode("op/config", unknownService), Error);
}

// Guards against using invalid upstream entries, which another writer of the store may leave.
BOOST_AUTO_TEST_CASE(upstreamEntriesAreChecked)
{
    const auto upstream = std::get<RegisteredUpstream>(decode("servers/i-1", serverText));
    BOOST_TEST(upstream.id == "i-1");
    BOOST_TEST(upstream.slots == 6U);
    BOOST_TEST(upstream.warmupLeft.count() == 1500);
    BOOST_TEST(upstream.startedAtMs == 1791199727083);
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"resting\""},
                                                          {"\"slots\":6", "\"slots\":\"6\""},
                                                          {"\"slots\":6", "\"slots\":0"},
                                                          {"10.128.0.9:8080", "somewhere"},
                                                          {"\"service\":\"s1\",", ""},
                                                          {"\"zone\":\"palermo\"", "\"zone\":null"}}) {
        auto text = serverText;
        text.replace(text.find(from), from.size(), to);
        BOOST_CHECK_THROW(decode("servers/i-1", text), DecodeError);
    }
    BOOST_CHECK_THROW(decode("servers/i-1", "\xff\xfe"), DecodeError);
    BOOST_TEST(std::holds_alternative<std::monostate>(decode("other/key", "x")));
}

// Guards against entries of another writer that bring back an upstream which has left (review case 5): each field of an
// entry has to be there, with its type and in its range, and the message says which one is wrong.
BOOST_AUTO_TEST_CASE(upstreamEntriesAreComplete)
{
    const auto complete = boost::json::parse(serverText).as_object();
    const auto rejection = [](const boost::json::object &entry) -> std::string {
        try {
            decode("servers/i-1", boost::json::serialize(entry));
        } catch (const DecodeError &e) {
            return e.what();
        }
        return {};
    };
    const std::map<std::string, std::vector<boost::json::value>> wrong{
        {"service", {"", 7}},
        {"addr", {"", 7, "10.0.0.1:0", "10.0.0.1:65536", "host:80"}},
        {"zone", {"", 7}},
        {"version", {"", 7, 1.5}},
        {"slots", {0, -1, 1.5, 100'001, "6"}},
        {"state", {"", "resting", "Ready", 7}},
        {"warmup_left_s", {-0.5, 1e300, "0"}},
        {"seq", {-1, 0.5, 1e300, "4"}},
        {"born", {0, -1, 1791199727083.5, 1e300, "1791199727083"}}};
    BOOST_TEST(rejection(complete).empty());
    BOOST_TEST(complete.size() == wrong.size());
    for (const auto &[field, values] : wrong) {
        auto entry = complete;
        entry.erase(field);
        BOOST_TEST_INFO(field << " missing");
        BOOST_TEST(rejection(entry).find('"' + field + '"') != std::string::npos);
        auto all = values;
        all.insert(all.end(), {nullptr, true, boost::json::array{}, boost::json::object{}});
        for (const auto &value : all) {
            entry[field] = value;
            BOOST_TEST_INFO(field << " " << boost::json::serialize(value));
            BOOST_TEST(rejection(entry).find('"' + field + '"') != std::string::npos);
        }
    }
}

// Guards against sound upstreams that are turned away for the way in which their numbers are written, or for a field
// that is not known here.
BOOST_AUTO_TEST_CASE(soundEntriesAreUsed)
{
    for (const auto &[field, value] :
         std::vector<std::pair<std::string, boost::json::value>>{{"slots", 3.0},
                                                                 {"seq", 0},
                                                                 {"born", 1.791199727083e12},
                                                                 {"warmup_left_s", 0},
                                                                 {"state", "draining"},
                                                                 {"more", boost::json::array{1}}}) {
        auto entry = boost::json::parse(serverText).as_object();
        entry[field] = value;
        BOOST_TEST_INFO(field);
        BOOST_CHECK_NO_THROW(decode("servers/i-1", boost::json::serialize(entry)));
    }
}

// Guards against fields of a configuration of another type that are ignored, and against messages that contain the
// value.
BOOST_AUTO_TEST_CASE(fieldsOfConfigurationsAreChecked)
{
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"r12\"", "12"},
                                                          {"\"/healthz\",360", "7,360"},
                                                          {"360", "\"360\""},
                                                          {"\"unsafe\",5", "\"unsafe\",\"5\""},
                                                          {"\"unsafe\",5", "\"unsafe\",-5"},
                                                          {"\"weight\":90", "\"weight\":\"90\""},
                                                          {"16384", "1.5"}}) {
        auto text = configText;
        text.replace(text.find(from), from.size(), to);
        BOOST_TEST_INFO(to);
        BOOST_CHECK_THROW(decode("op/config", text), DecodeError);
    }
    BOOST_CHECK_THROW(adapter.decodePage(R"({"items":[],"truncated":"yes","as_of":9})", 1), DecodeError);
    try {
        decode("op/config", R"({"version":")" + std::string(100'000, 'x') + "\"}");
        BOOST_ERROR("a configuration without a version was accepted");
    } catch (const DecodeError &e) {
        BOOST_TEST(std::string_view(e.what()).size() < 200U);
    }
}

// Guards against using values that are not base64, and against removals that are decoded as empty items.
BOOST_AUTO_TEST_CASE(storeRepliesAreDecoded)
{
    const auto page = adapter.decodeChanges(
        R"({"events":[{"key":"a","value":"bm9kZS0x","rev":4,"created_rev":1,"lease":0},{"key":"b","rev":5,"deleted":true}],"as_of":9})",
        2);
    BOOST_TEST((page.revision == Revision(2, 9)));
    BOOST_REQUIRE(page.items.size() == 2U);
    BOOST_TEST(page.items[0].value.str() == "node-1");
    BOOST_TEST((page.items[0].revision == Revision(2, 4)));
    BOOST_TEST((page.items[0].createdRevision == Revision(2, 1)));
    BOOST_TEST(page.items[1].removed);
    BOOST_CHECK_THROW(adapter.decodeChanges("{}", 2), DecodeError);
    const auto odd = adapter.decodePage(R"({"items":[{"key":"servers/a","value":"!!","rev":4}],"as_of":9})", 2);
    BOOST_REQUIRE(odd.items.size() == 1U);
    BOOST_CHECK_THROW(adapter.decodeItem(odd.items[0]), DecodeError);
    BOOST_CHECK_THROW(adapter.decodePage(R"({"items":[{"key":"a","value":"","rev":-4}],"as_of":9})", 2), DecodeError);
    BOOST_CHECK_THROW(adapter.decodePage(R"({"items":[{"value":"","rev":4}],"as_of":9})", 2), DecodeError);
    BOOST_TEST(adapter.decodePage(R"({"items":[],"truncated":true,"as_of":9})", 2).truncated);
}

// Guards against a settings file that is rejected for a key that the platform has added, or accepted without a required
// one.
BOOST_AUTO_TEST_CASE(unknownKeysAreIgnoredAndRequiredOnesChecked)
{
    const auto settings = platform::parseSettings(settingsText, "local.toml");
    BOOST_TEST(settings.capacity == 200);
    BOOST_TEST(settings.bounds.retryReserve == 58);
    BOOST_TEST((settings.callers == Endpoint{"10.1.0.35", 8144}));
    BOOST_TEST(settings.zones.size() == 2U);
    auto missing = settingsText;
    missing.replace(missing.find("front = "), 8, "other = ");
    try {
        platform::parseSettings(missing, "local.toml");
        BOOST_ERROR("settings without network.listen.front were accepted");
    } catch (const SettingsError &e) {
        BOOST_TEST(e.key() == "network.listen.front");
        BOOST_TEST(e.file() == "local.toml");
    }
    auto wrong = settingsText;
    wrong.replace(wrong.find("retry_slack = 58"), 16, "retry_slack = -1");
    BOOST_CHECK_THROW(platform::parseSettings(wrong, "local.toml"), SettingsError);
}

// Guards against settings of another type or out of range that are replaced by a default without a word: each field of
// the table is left out, and set to each value that its rule forbids.
BOOST_AUTO_TEST_CASE(settingsKeepTheirRules)
{
    BOOST_TEST(!rejection(toml::parse(settingsText)));
    for (const auto &rule : platform::fields::settings::All) {
        const std::string path(rule.name);
        BOOST_TEST_INFO(path << " missing");
        const auto missing = rejection(withValue(path, nullptr));
        BOOST_TEST(missing.has_value() == requiresField(path));
        if (missing) {
            BOOST_TEST(missing->key().starts_with(path));
            BOOST_TEST(missing->line() == 0U);
        }
        for (const auto &value : wrongValues(rule)) {
            std::ostringstream text;
            value.visit([&text](const auto &it) { text << it; });
            BOOST_TEST_INFO(path << " = " << text.str());
            const auto wrong = rejection(withValue(path, &value));
            BOOST_TEST(wrong.has_value());
            if (wrong) {
                BOOST_TEST(wrong->key() == path);
                BOOST_TEST(wrong->file() == "local.toml");
                BOOST_TEST(wrong->line() > 0U);
                BOOST_TEST(wrong->expected().find(detail::describe(rule)) != std::string::npos);
            }
        }
    }
}

// Guards against elements of lists that are not checked, and lists without a limit.
BOOST_AUTO_TEST_CASE(listsOfSettingsKeepTheirRules)
{
    for (const auto &element : toml::array{7, "", "host:1", "10.1.0.35:0", toml::array{"10.1.0.35:8146"}}) {
        toml::array seeds{"10.1.0.35:8146"};
        seeds.push_back(element);
        const auto error = rejection(withValue("network.seeds", &seeds));
        BOOST_TEST(error.has_value());
        BOOST_TEST((!error || error->key() == "network.seeds"));
    }
    toml::array seeds;
    for (unsigned n = 0; n <= platform::fields::settings::MaxSeeds; ++n) {
        seeds.push_back("10.1.0.35:8146");
    }
    BOOST_TEST(rejection(withValue("network.seeds", &seeds)).has_value());
    toml::table zones;
    for (unsigned n = 0; n <= platform::fields::settings::MaxZones; ++n) {
        zones.insert("zone-" + std::to_string(n), "region");
    }
    BOOST_TEST(rejection(withValue("network.zones", &zones)).has_value());
}

// Guards against sound settings that are rejected for how their numbers are written, or for values at the bounds.
BOOST_AUTO_TEST_CASE(soundSettingsAreAccepted)
{
    for (const auto &rule : platform::fields::settings::All) {
        if (rule.type == FieldType::Number) {
            for (const double number : {rule.min, rule.max}) {
                const toml::value<double> value(number);
                BOOST_TEST_INFO(rule.name << " = " << number);
                BOOST_TEST(!rejection(withValue(rule.name, &value)));
            }
        }
    }
}

// Guards against effective settings that differ from what was read, or that are invalid TOML for names which need
// escaping.
BOOST_AUTO_TEST_CASE(effectiveSettingsArePrinted)
{
    auto settings = platform::parseSettings(settingsText, "local.toml");
    settings.name = "a\"b\\c\n";
    const auto text = toToml(settings);
    const auto root = detail::parseToml(text, "printed.toml");
    BOOST_TEST(root.at_path("instance.name").value<std::string>().value() == settings.name);
    BOOST_TEST(root.at_path("listen.callers").value<std::string>().value() == "10.1.0.35:8144");
    BOOST_TEST(root.at_path("bounds.retry_reserve").value<double>().value() == 58);
}

// Guards against an address query that loses the zone of the caller.
BOOST_AUTO_TEST_CASE(addressQueriesAreDecoded)
{
    BOOST_TEST(adapter.decodeAddressQuery("/-/resolve?name=a&region=r&zone=palermo").value() == "palermo");
    BOOST_TEST(adapter.decodeAddressQuery("/-/resolve").value() == "");
    BOOST_TEST(!adapter.decodeAddressQuery("/other?zone=palermo"));
    BOOST_TEST(adapter.encodeAddresses({{"10.1.0.1", 80}}, Milliseconds(1500))
               == R"({"addrs":["10.1.0.1:80"],"ttl_s":1.5E0})");
}

// Guards against an era that is guessed from a header which is no whole number, and so taken for a loss of the store.
BOOST_AUTO_TEST_CASE(eraOfTheStoreIsAWholeNumber)
{
    BOOST_TEST(adapter.eraHeader == "Store-Era");
    BOOST_TEST(adapter.decodeEra("0") == 0U);
    BOOST_TEST(adapter.decodeEra("17") == 17U);
    for (const auto *text : {"", "-1", "1.5", "2 ", "0x1", "99999999999999999999", "two"}) {
        BOOST_CHECK_THROW(adapter.decodeEra(text), DecodeError);
    }
}
