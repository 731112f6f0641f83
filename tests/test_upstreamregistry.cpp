#include "laburnumspar/upstreamregistry.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

RegisteredUpstream makeUpstream(const std::string &id)
{
    RegisteredUpstream upstream;
    upstream.id = id;
    upstream.service = "orders";
    upstream.address = {"10.0.0.1", 80};
    return upstream;
}

struct Fixture {
    UpstreamRegistry registry{4500ms};
    TimePoint now{1000s};
};

} // namespace

// Guards against passing on every heartbeat as a change.
BOOST_FIXTURE_TEST_CASE(heartbeatsAreNoChange, Fixture)
{
    BOOST_TEST(registry.put(makeUpstream("a"), now));
    auto again = makeUpstream("a");
    again.warmupLeft = 500ms;
    BOOST_TEST(!registry.put(again, now));
    again.phase = UpstreamPhase::Draining;
    BOOST_TEST(registry.put(again, now));
    again.startedAtMs = 7;
    BOOST_TEST(registry.put(again, now));
}

// Guards against entries that count as different for what changes with every heartbeat, or as equal in spite of a
// change.
BOOST_AUTO_TEST_CASE(fingerprintsFollowWhatMatters)
{
    const auto entry = makeUpstream("a");
    auto warmer = entry;
    warmer.warmupLeft = 500ms;
    BOOST_TEST(warmer.fingerprint() == entry.fingerprint());
    auto leaving = entry;
    leaving.phase = UpstreamPhase::Draining;
    BOOST_TEST(leaving.fingerprint() != entry.fingerprint());
    auto moved = entry;
    moved.address.port = 81;
    BOOST_TEST(moved.fingerprint() != entry.fingerprint());
}

// Guards against work for an upstream whose entry was removed while all is well: it is leaving.
BOOST_FIXTURE_TEST_CASE(removalInCalmTimesCountsAtOnce, Fixture)
{
    registry.put(makeUpstream("a"), now);
    BOOST_TEST(registry.remove("a", now));
    BOOST_TEST(registry.find("a") == nullptr);
}

// Guards against losing all upstreams when their leases lapse during an outage of the store, and against keeping those
// that do not return.
BOOST_FIXTURE_TEST_CASE(leasesThatLapseInAnOutageAreHeldUntilUpstreamsAreBack, Fixture)
{
    registry.put(makeUpstream("a"), now);
    registry.put(makeUpstream("b"), now);
    registry.recordOutage(now, now + 5s);
    now += 5s;
    BOOST_TEST(!registry.remove("a", now));
    BOOST_TEST(!registry.remove("b", now));
    BOOST_TEST(registry.find("a") != nullptr);
    BOOST_TEST(registry.put(makeUpstream("a"), now + 1s));
    const auto expired = registry.expire(now + UpstreamRegistry::ReregistrationTime);
    BOOST_TEST(expired == std::vector<std::string>{"b"}, boost::test_tools::per_element());
    BOOST_TEST(registry.find("a") != nullptr);
}

// Guards against holding an upstream that had said before the outage that it leaves.
BOOST_FIXTURE_TEST_CASE(drainingUpstreamsAreNotHeld, Fixture)
{
    auto leaving = makeUpstream("a");
    leaving.phase = UpstreamPhase::Draining;
    registry.put(leaving, now);
    registry.recordOutage(now, now + 5s);
    BOOST_TEST(registry.remove("a", now + 5s));
}

// Guards against holding upstreams that leave after an outage in which no lease can have lapsed.
BOOST_FIXTURE_TEST_CASE(shortOutagesHoldNothing, Fixture)
{
    registry.put(makeUpstream("a"), now);
    registry.recordOutage(now, now + 2900ms);
    BOOST_TEST(registry.remove("a", now + 3000ms));
}
