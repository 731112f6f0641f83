#include "platform/adapter.h"
#include "platform/settingsfile.h"

#include "detail/tomlsection.h"
#include "laburnumspar/errors.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

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
unknown = 1
[self.limits]
cpu_share = 0.2
cpus = 1
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
[platform.platform]
addr = "10.200.1.7:8142"
[terms.bounds]
grace_s = 6
retry_slack = 58
)";

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
