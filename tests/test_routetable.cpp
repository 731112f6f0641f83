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

// Guards against a shorter prefix that sends a request to the wrong service.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostIsSelected)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("a.example", "/pay/status/7")) == "status");
    BOOST_TEST(nameOf(table->match("a.example", "/pay/status")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/pay/")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/payment/1")) == "all");
    BOOST_TEST(nameOf(table->match("b.example", "/pay/")) == "");
}

// Guards against a query that takes part in the match, and against rejecting a host because of its case or port.
BOOST_AUTO_TEST_CASE(queryPortAndCaseOfTheHostAreIgnored)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("A.Example:8080", "/pay/x?next=/pay/status/")) == "pay");
    BOOST_TEST(nameOf(table->match("a.example", "/pay?x=/")) == "all");
}

// Guards against reading out of bounds for targets without a path: `*` and an empty target match no route.
BOOST_AUTO_TEST_CASE(targetsWithoutAPathMatchNothing)
{
    const auto table = makeTable();
    BOOST_TEST(nameOf(table->match("a.example", "*")) == "");
    BOOST_TEST(nameOf(table->match("a.example", "")) == "");
}

// Guards against routes with an undefined service, an invalid prefix or no target.
BOOST_AUTO_TEST_CASE(invalidRoutesAreRejected)
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
