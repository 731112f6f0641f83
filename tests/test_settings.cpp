#include "laburnumspar/settings.h"

#include "laburnumspar/errors.h"
#include "seededproperties.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <set>

using namespace laburnumspar;

BOOST_TEST_GLOBAL_FIXTURE(SeededProperties);

namespace {

const std::string servicePath = "/teams/shop/services/orders";

const std::string processText = R"([instance]
zone = "palermo"
seeds = ["10.0.0.2:7401"]
[listen]
callers = "10.0.0.1:7400"
peers = "[fd00::1]:7401"
[platform]
addresses = ["10.0.0.9:7500"]
[log]
level = "warning"
[limits]
drain_limit_ms = 30000
)";

const std::string serviceText = R"([service]
upstreams = 10
[limits]
floor = 0.8
deadline_ms = 1500
[shares]
billing = 2
"web.front" = 0.5
[[route]]
prefix = "/pay/"
[[route]]
prefix = "/pay/status"
class = "short"
idempotent = true
deadline_ms = 300
)";

template <typename Parse>
SettingsError catchError(Parse parse, const std::string &text, const std::string &file)
{
    try {
        parse(text, file);
    } catch (const SettingsError &e) {
        return e;
    }
    return {"accepted", "", 0, ""};
}

SettingsError serviceError(const std::string &text)
{
    return catchError(parseServiceSettings, text, servicePath);
}

SettingsError processError(const std::string &from, const std::string &to)
{
    auto text = processText;
    text.replace(text.find(from), from.size(), to);
    return catchError(parseProcessSettings, text, "lspar.toml");
}

// Reference implementation of findRoute(): compares the path with every route.
const RouteSettings *findRouteByScan(const ServiceSettings &settings, const std::string &path)
{
    const RouteSettings *best = nullptr;
    for (const auto &route : settings.routes) {
        if (!path.starts_with(route.prefix) || (best && best->prefix.size() >= route.prefix.size())) {
            continue;
        }
        if (route.prefix == "/" || path.size() == route.prefix.size() || path[route.prefix.size()] == '/') {
            best = &route;
        }
    }
    return best;
}

std::string arbitraryPath()
{
    // Few distinct segments, so that prefixes often overlap. '-' sorts before '/'.
    std::string path;
    for (auto depth = *rc::gen::inRange(0, 6); depth > 0; --depth) {
        path += '/' + *rc::gen::element<std::string>("a", "b", "a-b");
    }
    return path.empty() ? "/" : path;
}

} // namespace

// Guards against keys that are read into the wrong field and defaults that differ from the header.
BOOST_AUTO_TEST_CASE(valuesAndDefaultsAreRead)
{
    const auto process = parseProcessSettings(processText, "lspar.toml");
    BOOST_TEST(process.zone == "palermo");
    BOOST_TEST(toString(process.peers) == "[fd00::1]:7401");
    BOOST_TEST(toString(process.admin) == "127.0.0.1:7402");
    BOOST_TEST(process.seeds.size() == 1U);
    BOOST_TEST(process.maxInstances == 40U);
    BOOST_TEST(process.logLevel == "warning");
    BOOST_TEST(process.drainTimeout.count() == 30000);
    const auto service = parseServiceSettings(serviceText, servicePath);
    BOOST_TEST(service.team == "shop");
    BOOST_TEST(service.service == "orders");
    BOOST_TEST(service.floor == 0.8);
    BOOST_TEST(service.teamShares.at("billing") == 2.0);
    BOOST_TEST(service.routes.at(0).deadline.count() == 1500);
    BOOST_TEST(!service.routes.at(0).idempotent);
    BOOST_CHECK(service.routes.at(1).requestClass == RequestClass::Short);
    BOOST_CHECK(parseServiceSettings("", servicePath).floor == ServiceSettings().floor);
}

// Guards against errors that an operator cannot locate: each error must name the file, key and line.
BOOST_AUTO_TEST_CASE(processErrorsNameKeyAndLine)
{
    struct Case {
        const char *from, *to, *key;
        std::size_t line;
    };
    for (const auto &c : {Case{"zone = ", "zome = ", "instance.zome", 2},
                          Case{"zone = \"palermo\"", "", "instance.zone", 0},
                          Case{"\"palermo\"", "\"pal ermo\"", "instance.zone", 2},
                          Case{"10.0.0.1:7400", "proxy.example:7400", "listen.callers", 5},
                          Case{"10.0.0.1:7400", "0.0.0.0:7400", "listen.callers", 5},
                          Case{"10.0.0.1:7400", "10.0.0.1:0", "listen.callers", 5},
                          Case{"10.0.0.1:7400", "[fd00::1]:7401", "listen.peers", 6},
                          Case{"[\"10.0.0.9:7500\"]", "[7500]", "platform.addresses", 8},
                          Case{"[\"10.0.0.9:7500\"]", "\"10.0.0.9:7500\"", "platform.addresses", 8},
                          Case{"\"warning\"", "\"loud\"", "log.level", 10},
                          Case{"30000", "-1", "limits.drain_limit_ms", 12},
                          Case{"30000", "3.5", "limits.drain_limit_ms", 12},
                          Case{"[log]", "[logs]", "logs", 9},
                          Case{"[log]", "[log", "syntax", 9}}) {
        const auto error = processError(c.from, c.to);
        BOOST_TEST_INFO(error.what());
        BOOST_TEST(error.file() == "lspar.toml");
        BOOST_TEST_INFO(c.to);
        BOOST_TEST(error.key() == c.key);
        BOOST_TEST(error.line() == c.line);
        BOOST_TEST(!error.expected().empty());
    }
}

// Guards against invalid service settings that are accepted and then break the dispatchers that use them.
BOOST_AUTO_TEST_CASE(serviceErrorsNameKeyAndLine)
{
    struct Case {
        const char *text, *key;
        std::size_t line;
    };
    for (const auto &c :
         {Case{"[limits]\nfloor = 1.01", "limits.floor", 2},
          Case{"[limits]\nfloor = -0.1", "limits.floor", 2},
          Case{"[limits]\nfloor = nan", "limits.floor", 2},
          Case{"[limits]\nfloor = \"high\"", "limits.floor", 2},
          Case{"[service]\nupstreams = 10\n[limits]\nfloor_upstreams = 11", "limits.floor_upstreams", 4},
          Case{"[limits]\nfloor_upstreams = 2", "limits.floor_upstreams", 2},
          Case{"[limits]\nslots = 0", "limits.slots", 2},
          Case{"[limits]\nslots = 9\nconnections = 8", "limits.connections", 3},
          Case{"[limits]\ndeadline_ms = 600001", "limits.deadline_ms", 2},
          Case{"[service]\npolicy = \"best\"", "service.policy", 2},
          Case{"[service]\nteam = \"other\"", "service.team", 2},
          Case{"[service]\nname = \"other\"", "service.name", 2},
          Case{"[shares]\nbilling = 0", "shares.billing", 2},
          Case{"[shares]\n\"a b\" = 1", "shares.a b", 2},
          Case{"shares = 1", "shares", 1},
          Case{"route = 1", "route", 1},
          Case{"[[route]]\nprefix = \"pay\"", "route.prefix", 2},
          Case{"[[route]]\nidempotent = true", "route.prefix", 0},
          Case{"[[route]]\nprefix = \"/a\"\nclass = \"big\"", "route.class", 3},
          Case{"[[route]]\nprefix = \"/a\"\n[[route]]\nprefix = \"/a/\"", "route.prefix", 4},
          Case{"x = 1", "x", 1}}) {
        const auto error = serviceError(c.text);
        BOOST_TEST_INFO(c.text);
        BOOST_TEST_INFO(error.what());
        BOOST_TEST(error.file() == servicePath);
        BOOST_TEST(error.key() == c.key);
        BOOST_TEST(error.line() == c.line);
    }
    BOOST_TEST(serviceError(std::string(MaxValueBytes + 1, '\n')).key() == "text");
    BOOST_TEST(catchError(parseServiceSettings, "", "orders.toml").key() == "service.team");
    BOOST_TEST(catchError(parseServiceSettings, "", "/teams/a/services/entries").key() == "service.name");
}

// Guards against formatted settings that differ when they are parsed again.
BOOST_AUTO_TEST_CASE(formattedSettingsRoundTrip)
{
    const auto process = parseProcessSettings(processText, "lspar.toml");
    BOOST_CHECK(parseProcessSettings(toToml(process), "printed") == process);
    BOOST_CHECK(rc::check("service settings round trip", [] {
        auto settings = parseServiceSettings(serviceText, servicePath);
        settings.floor = *rc::gen::map(rc::gen::arbitrary<std::uint32_t>(), [](auto n) { return n / 4294967295.0; });
        settings.longShare = *rc::gen::element(0.0, 1.0, 1e-9, 1.0 / 3);
        settings.slots = *rc::gen::inRange(1U, 300U);
        for (const auto &path : *rc::gen::container<std::set<std::string>>(rc::gen::exec(arbitraryPath))) {
            settings.routes.push_back({"/x" + path, RequestClass::Long, true, Milliseconds(7)});
        }
        sortRoutes(settings);
        RC_ASSERT(parseServiceSettings(toToml(settings), servicePath) == settings);
    }));
}

// Guards against rounding errors of the division that raise the floor by one upstream.
BOOST_AUTO_TEST_CASE(floorInUpstreamsIsExact)
{
    for (unsigned total = 1; total <= 200; ++total) {
        for (unsigned count = 0; count <= total; ++count) {
            const auto text = "[service]\nupstreams = " + std::to_string(total)
                + "\n[limits]\nfloor_upstreams = " + std::to_string(count);
            BOOST_REQUIRE_EQUAL(std::ceil(parseServiceSettings(text, servicePath).floor * total), count);
        }
    }
}

// Guards against a request that gets the class or idempotency of another route.
BOOST_AUTO_TEST_CASE(longestPrefixOfWholeSegmentsWins)
{
    const auto settings = parseServiceSettings(serviceText, servicePath);
    BOOST_TEST(findRoute(settings, "/pay")->prefix == "/pay");
    BOOST_TEST(findRoute(settings, "/pay/7?next=/pay/status")->prefix == "/pay");
    BOOST_TEST(findRoute(settings, "/pay/status/9#x")->prefix == "/pay/status");
    for (const auto *path : {"/payments", "/", "", "pay", "/other"}) {
        BOOST_TEST(findRoute(settings, path) == nullptr);
    }
    BOOST_TEST(findRoute(settings, "/pay" + std::string(5000, '/'))->prefix == "/pay");
    BOOST_TEST(findRoute(settings, std::string(5000, 'x') + "/pay") == nullptr);
    BOOST_CHECK(rc::check("lookup agrees with a scan", [] {
        ServiceSettings randomSettings;
        for (const auto &path : *rc::gen::container<std::set<std::string>>(rc::gen::exec(arbitraryPath))) {
            randomSettings.routes.push_back({path, {}, false, Milliseconds(1)});
        }
        sortRoutes(randomSettings);
        const auto path = arbitraryPath();
        RC_ASSERT(findRoute(randomSettings, path) == findRouteByScan(randomSettings, path));
    }));
}

// Guards against lookups that fail at the target size of 84,000 routes.
BOOST_AUTO_TEST_CASE(lookupFindsEachOfManyRoutes)
{
    ServiceSettings settings;
    for (int n = 0; n < 84000; ++n) {
        settings.routes.push_back({"/area" + std::to_string(n % 300) + "/item" + std::to_string(n), {}, false, {}});
    }
    sortRoutes(settings);
    for (const auto &route : settings.routes) {
        BOOST_REQUIRE(findRoute(settings, route.prefix + "/part/7?x=/area0") == &route);
    }
}

// Guards against a value that crashes every instance: toml++ 3.3 overflows the stack for a key of very many parts.
BOOST_AUTO_TEST_CASE(deepKeysAreRejected)
{
    const auto repeated = [](const std::string &part, int count) {
        std::string text;
        for (int n = 0; n < count; ++n) {
            text += part;
        }
        return text;
    };
    for (const auto &key : {repeated("a.", 200000) + "a",
                            repeated("a . ", 200000) + "a",
                            repeated("\"=\".", 200000) + "a",
                            repeated("'\"'.\"\\\"\".", 100000) + "a"}) {
        BOOST_TEST(serviceError("# \"\n" + key + " = 1").line() == 2U);
        BOOST_TEST(serviceError("x = \"\"\"\n\"\"\"\"\"\n[" + key + "]").line() == 3U);
        BOOST_TEST(serviceError("x = {" + key + " = 1}").line() == 1U);
    }
    const auto nested = repeated("[{" + repeated("a.", 15) + "a = ", 120) + "1";
    BOOST_TEST(serviceError("x = " + nested).key() == "syntax");
    const auto wide = "shares = {a = 0.5, \"b.c\" = 0.25} # " + repeated("a.", 50) + "\n[[route]]\nprefix = \"/"
        + repeated("a.", 100) + "\"";
    BOOST_TEST(parseServiceSettings(wide, servicePath).teamShares.size() == 2U);
}

// Guards against validation in quadratic time, which took 15.7 s for these shares and delayed all other changes.
BOOST_AUTO_TEST_CASE(manySharesAreRead)
{
    std::string text = "[shares]\n";
    for (int n = 0; n < 60000; ++n) {
        text += "org" + std::to_string(n) + " = 0.5\n";
    }
    BOOST_TEST(parseServiceSettings(text, servicePath).teamShares.size() == 60000U);
}
