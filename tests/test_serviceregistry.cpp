#include "gateway/serviceregistry.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const RouteTable> makeTable(std::uint64_t version)
{
    return RouteTable::Builder(version).build();
}

RegisteredUpstream makeUpstream(const std::string &service)
{
    RegisteredUpstream upstream;
    upstream.id = "i-1";
    upstream.service = service;
    upstream.address = {"10.0.0.1", 80};
    return upstream;
}

struct Fixture {
    TimePoint now{1000s};
    FleetBounds bounds;
    ServiceRegistry serviceRegistry{"palermo", bounds, 1};

    unsigned spendRetries(const std::string &service)
    {
        unsigned n = 0;
        while (serviceRegistry.service(service).budget.trySpend(now)) {
            ++n;
        }
        return n;
    }
};

} // namespace

// Guards against an older route table that another instance passes on late.
BOOST_FIXTURE_TEST_CASE(routeTableVersionsNeverDecrease, Fixture)
{
    BOOST_TEST(serviceRegistry.applyRoutes(makeTable(7)));
    BOOST_TEST(!serviceRegistry.applyRoutes(makeTable(5)));
    BOOST_TEST(!serviceRegistry.applyRoutes(makeTable(7)));
    BOOST_TEST(serviceRegistry.routes()->version() == 7U);
}

// Guards against retry reserves that add up: when every standby instance had one of its own, the fleet exceeded its
// retry limit.
BOOST_FIXTURE_TEST_CASE(reserveIsDividedAmongActiveInstancesOnly, Fixture)
{
    serviceRegistry.service("a");
    BOOST_TEST(spendRetries("a") == 0U);
    serviceRegistry.divideRetryReserve(3);
    const auto share = spendRetries("a");
    BOOST_TEST(share > 0U);
    BOOST_TEST(3 * share <= unsigned(bounds.retryReserve / 2));
    BOOST_TEST(spendRetries("later") == share);
    now += 11s;
    serviceRegistry.divideRetryReserve(std::nullopt);
    BOOST_TEST(spendRetries("a") == 0U);
}

// Guards against an upstream that changes its service and still gets requests of the old one.
BOOST_FIXTURE_TEST_CASE(upstreamBelongsToOneService, Fixture)
{
    serviceRegistry.putUpstream(makeUpstream("a"), now);
    BOOST_TEST(serviceRegistry.service("a").pool.contains("i-1"));
    auto moved = makeUpstream("b");
    serviceRegistry.putUpstream(moved, now);
    BOOST_TEST(!serviceRegistry.service("a").pool.contains("i-1"));
    BOOST_TEST(serviceRegistry.service("b").pool.contains("i-1"));
    serviceRegistry.removeFromPools("i-1");
    BOOST_TEST(!serviceRegistry.service("b").pool.contains("i-1"));
}

// Guards against weights that are met only on average over many requests.
BOOST_FIXTURE_TEST_CASE(requestsFollowTheWeights, Fixture)
{
    Route route;
    route.name = "r";
    route.targets = {{"a", 90}, {"b", 10}};
    std::map<std::string, int> counts;
    for (int n = 0; n < 100; ++n) {
        ++counts[serviceRegistry.nextService(route)];
    }
    BOOST_TEST(counts["a"] == 90);
    BOOST_TEST(counts["b"] == 10);
}
