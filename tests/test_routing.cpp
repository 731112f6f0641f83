#include "laburnumspar/routing.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

namespace {

const InstanceId palermo{"127.0.0.1", 1};
const InstanceId catania{"127.0.0.1", 2};
const InstanceId messina{"127.0.0.1", 3};
const std::vector<DispatcherCandidate> group{
    {palermo, "palermo", false}, {catania, "catania", false}, {messina, "messina", false}};

ServiceLoad loadOf(unsigned freeSlots, unsigned queued = 0, unsigned waitUs = 0)
{
    return {"orders", 40, freeSlots, queued, waitUs, waitUs};
}

struct Fixture {
    DispatcherLoads loads;
    std::mt19937_64 random{1};
    TimePoint now{std::chrono::seconds(1000)};

    std::optional<InstanceId> choose(const std::vector<InstanceId> &exclude = {}, const std::string &zone = "palermo")
    {
        return loads.choose("orders", RequestClass::Short, group, exclude, zone, now, random);
    }
    std::map<InstanceId, unsigned> chooseMany(unsigned times)
    {
        std::map<InstanceId, unsigned> counts;
        for (unsigned n = 0; n < times; ++n) {
            ++counts[*choose()];
        }
        return counts;
    }
};

} // namespace

// Guards against a needless round trip between zones while the dispatcher of the own zone has enough free slots.
BOOST_FIXTURE_TEST_CASE(ownZoneIsPreferredWhileItHasFreeSlots, Fixture)
{
    loads.update(palermo, loadOf(8), now);
    loads.update(catania, loadOf(40), now);
    BOOST_TEST(chooseMany(50)[palermo] == 50U);
    loads.update(palermo, loadOf(3), now);
    BOOST_TEST(chooseMany(200)[catania] > 150U);
}

// Guards against all entry instances choosing the dispatcher with the most free slots at the same time.
BOOST_FIXTURE_TEST_CASE(choiceIsWeightedByFreeSlots, Fixture)
{
    loads.update(palermo, loadOf(0), now);
    loads.update(catania, loadOf(30), now);
    loads.update(messina, loadOf(10), now);
    const auto counts = chooseMany(400);
    BOOST_TEST(counts.at(catania) > 240U);
    BOOST_TEST(counts.at(messina) > 60U);
}

// Guards against counting slots as free that requests sent since the last report occupy.
BOOST_FIXTURE_TEST_CASE(requestsSentSinceTheReportTakeSlots, Fixture)
{
    loads.update(palermo, loadOf(1), now);
    BOOST_TEST(loads.hasFreeSlot(palermo, "orders"));
    loads.recordSent(palermo, "orders");
    BOOST_TEST(!loads.hasFreeSlot(palermo, "orders"));
    loads.recordDone(palermo, "orders");
    BOOST_TEST(loads.hasFreeSlot(palermo, "orders"));
}

// Guards against a delayed report that overwrites a newer one.
BOOST_FIXTURE_TEST_CASE(olderReportIsIgnored, Fixture)
{
    loads.update(palermo, loadOf(0), now);
    loads.update(palermo, loadOf(20), now - std::chrono::milliseconds(1));
    BOOST_TEST(!loads.hasFreeSlot(palermo, "orders"));
}

// Guards against choosing a dispatcher whose link failed recently, and against choosing none if all links failed.
BOOST_FIXTURE_TEST_CASE(failedLinkIsAvoidedUnlessAllFailed, Fixture)
{
    loads.update(palermo, loadOf(20), now);
    loads.update(catania, loadOf(5), now);
    loads.avoidUntil(palermo, now + std::chrono::seconds(1));
    BOOST_TEST(chooseMany(50).count(palermo) == 0U);
    loads.avoidUntil(catania, now + std::chrono::seconds(1));
    loads.avoidUntil(messina, now + std::chrono::seconds(1));
    BOOST_TEST(choose().has_value());
    now += std::chrono::seconds(2);
    BOOST_TEST(chooseMany(50)[palermo] == 50U);
}

// Guards against ignoring the expected waits when no dispatcher has a free slot, as in a load spike.
BOOST_FIXTURE_TEST_CASE(shortestWaitIsChosenWhenNothingIsFree, Fixture)
{
    loads.update(palermo, loadOf(0, 100, 900000), now);
    loads.update(catania, loadOf(0, 10, 90000), now);
    BOOST_CHECK(choose({messina}) == catania);
    BOOST_CHECK(choose({palermo, catania, messina}) == std::nullopt);
}

// Guards against a dump without the values that the choice depends on.
BOOST_FIXTURE_TEST_CASE(dumpShowsTheInputsOfTheChoice, Fixture)
{
    loads.update(palermo, loadOf(8), now);
    loads.recordSent(palermo, "orders");
    loads.avoidUntil(palermo, now + std::chrono::seconds(1));
    const auto records = loads.dump(now);
    BOOST_TEST_REQUIRE(records.size() == 1U);
    BOOST_TEST(records[0].load.freeSlots == 8U);
    BOOST_TEST(records[0].outstanding == 1U);
    BOOST_TEST(records[0].avoided);
    BOOST_TEST(!loads.dump(now + std::chrono::seconds(1))[0].avoided);
}
