#include "gateway/serviceboard.h"

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
    ServiceBoard board{"palermo", bounds, 1};

    unsigned repeatsLeft(const std::string &service)
    {
        unsigned n = 0;
        while (board.line(service).budget.trySpend(now)) {
            ++n;
        }
        return n;
    }
};

} // namespace

// Guards against an older version that another instance passes on late.
BOOST_FIXTURE_TEST_CASE(versionsNeverGoBack, Fixture)
{
    BOOST_TEST(board.applyRoutes(makeTable(7)));
    BOOST_TEST(!board.applyRoutes(makeTable(5)));
    BOOST_TEST(!board.applyRoutes(makeTable(7)));
    BOOST_TEST(board.routes()->version() == 7U);
}

// Guards against reserves that add up: hunt days broke the fleet's limit when every standby instance had one of its
// own.
BOOST_FIXTURE_TEST_CASE(reserveIsDividedAmongActiveInstancesOnly, Fixture)
{
    board.line("a");
    BOOST_TEST(repeatsLeft("a") == 0U);
    board.shareBudget(3);
    const auto share = repeatsLeft("a");
    BOOST_TEST(share > 0U);
    BOOST_TEST(3 * share <= unsigned(bounds.retryReserve / 2));
    BOOST_TEST(repeatsLeft("later") == share);
    now += 11s;
    board.shareBudget(std::nullopt);
    BOOST_TEST(repeatsLeft("a") == 0U);
}

// Guards against an upstream that changes its service and still gets the requests of the old one.
BOOST_FIXTURE_TEST_CASE(upstreamBelongsToOneService, Fixture)
{
    board.putUpstream(makeUpstream("a"), now);
    BOOST_TEST(board.line("a").pool.contains("i-1"));
    auto moved = makeUpstream("b");
    board.putUpstream(moved, now);
    BOOST_TEST(!board.line("a").pool.contains("i-1"));
    BOOST_TEST(board.line("b").pool.contains("i-1"));
    board.noteForeignIdentity("i-1");
    BOOST_TEST(!board.line("b").pool.contains("i-1"));
}

// Guards against weights that are met only on average over many requests.
BOOST_FIXTURE_TEST_CASE(requestsFollowTheWeights, Fixture)
{
    Route route;
    route.name = "r";
    route.targets = {{"a", 90}, {"b", 10}};
    std::map<std::string, int> counts;
    for (int n = 0; n < 100; ++n) {
        ++counts[board.nextService(route)];
    }
    BOOST_TEST(counts["a"] == 90);
    BOOST_TEST(counts["b"] == 10);
}
