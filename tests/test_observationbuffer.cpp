#include "gateway/observationbuffer.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> zones{"palermo", "catania"};

UpstreamObservation makeObservation(unsigned successes, unsigned failures, Milliseconds successAge = Milliseconds(100))
{
    return {"orders", {"i-1", successes, failures, successAge}, "palermo"};
}

struct Fixture {
    TimePoint now{1000s};
    ObservationBuffer buffer;
};

} // namespace

// Guards against late news about an upstream for the instances that use it.
BOOST_FIXTURE_TEST_CASE(ownZoneReceivesObservationsAtOnce, Fixture)
{
    buffer.add(makeObservation(2, 0), zones, now);
    const auto due = buffer.takeDue("palermo", now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due[0].counts.successes == 2U);
    BOOST_TEST(due[0].counts.successAge.count() == 100);
    BOOST_TEST(buffer.takeDue("palermo", now + 5s).empty());
}

// Guards against traffic between zones for each success, and against successes that never arrive there.
BOOST_FIXTURE_TEST_CASE(successesAreCollectedForOtherZones, Fixture)
{
    for (int n = 0; n < 4; ++n) {
        buffer.add(makeObservation(1, 0), zones, now);
        BOOST_TEST(buffer.takeDue("catania", now).empty());
        now += 200ms;
    }
    now += 200ms;
    const auto due = buffer.takeDue("catania", now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due[0].counts.successes == 4U);
    BOOST_TEST(due[0].counts.successAge.count() == 500);
}

// Guards against instances of other zones that keep using an upstream that has begun to fail.
BOOST_FIXTURE_TEST_CASE(failuresAreDueAtOnceEverywhere, Fixture)
{
    buffer.add(makeObservation(3, 0), zones, now);
    now += 200ms;
    buffer.add(makeObservation(0, 1), zones, now);
    const auto due = buffer.takeDue("catania", now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due[0].counts.successes == 3U);
    BOOST_TEST(due[0].counts.failures == 1U);
}

// Guards against messages about trials to instances that start none in that zone.
BOOST_FIXTURE_TEST_CASE(startedTrialsConcernOnlyTheOwnZone, Fixture)
{
    buffer.add(makeObservation(0, 0), zones, now);
    BOOST_TEST(buffer.takeDue("palermo", now).size() == 1U);
    BOOST_TEST(buffer.takeDue("catania", now + 5s).empty());
}
