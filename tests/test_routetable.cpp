#include "laburnumspar/routetable.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.targets = {{"orders", 1}};
    return route;
}

std::shared_ptr<const RouteTable> makeTable(std::uint64_t version = 1)
{
    RouteTable::Builder builder(version);
    builder.service("orders", {"/healthz", 10});
    builder.route(makeRoute("all", "a.example", "/"));
    builder.route(makeRoute("pay", "a.example", "/pay/"));
    builder.route(makeRoute("status", "a.example", "/pay/status/"));
    return builder.build();
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "" : route->name;
}

} // namespace

// Guards against a request that is sent by a shorter prefix to another service.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostIsSelected)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("a.example", "/pay/status/7")) == "status");
    BOOST_TEST(nameOf(table->match("a.example", "/pay/status")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/pay/")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/payment/1")) == "all");
    BOOST_TEST(nameOf(table->match("b.example", "/pay/")) == "");
}

// Guards against a path that matches only by its query, and a host that is refused for its case or port.
BOOST_AUTO_TEST_CASE(queryPortAndCaseOfTheHostAreIgnored)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("A.Example:8080", "/pay/x?next=/pay/status/")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/pay?x=/")) == "all");
}

// Guards against targets that are no path: `*` and absolute forms match no route instead of running out of bounds.
BOOST_AUTO_TEST_CASE(targetsWithoutAPathMatchNothing)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("a.example", "*")) == "");
    BOOST_TEST(nameOf(table->match("a.example", "")) == "");
}

// Guards against routes to services that nobody described.
BOOST_AUTO_TEST_CASE(invalidRoutesAreRefused)
{
    const auto build = [](Route route) {
        RouteTable::Builder builder(1);
        builder.service("orders", {});
        builder.route(std::move(route));
        return builder.build();
    };
    auto unknown = makeRoute("r", "a", "/");
    unknown.targets = {{"nowhere", 1}};
    BOOST_CHECK_THROW(build(unknown), SettingsError);
    BOOST_CHECK_THROW(build(makeRoute("r", "a", "/open")), SettingsError);
    BOOST_CHECK_THROW(build(makeRoute("r", "a", "")), SettingsError);
    auto none = makeRoute("r", "a", "/");
    none.targets.clear();
    BOOST_CHECK_THROW(build(none), SettingsError);
}
