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

// Guards against reporting every heartbeat as a change.
BOOST_FIXTURE_TEST_CASE(heartbeatsAreNotChanges, Fixture)
{
    BOOST_TEST(registry.put(makeUpstream("a"), now));
    auto updated = makeUpstream("a");
    updated.warmupLeft = 500ms;
    BOOST_TEST(!registry.put(updated, now));
    updated.phase = UpstreamPhase::Draining;
    BOOST_TEST(registry.put(updated, now));
    updated.startedAtMs = 7;
    BOOST_TEST(registry.put(updated, now));
}

// Guards against fingerprints that change with every heartbeat, or stay the same after a change of the entry.
BOOST_AUTO_TEST_CASE(fingerprintIgnoresHeartbeatsOnly)
{
    const auto entry = makeUpstream("a");
    auto laterHeartbeat = entry;
    laterHeartbeat.warmupLeft = 500ms;
    BOOST_TEST(laterHeartbeat.fingerprint() == entry.fingerprint());
    auto leaving = entry;
    leaving.phase = UpstreamPhase::Draining;
    BOOST_TEST(leaving.fingerprint() != entry.fingerprint());
    auto moved = entry;
    moved.address.port = 81;
    BOOST_TEST(moved.fingerprint() != entry.fingerprint());
}

// Guards against sending requests to an upstream whose entry was removed without an outage: it has stopped.
BOOST_FIXTURE_TEST_CASE(removalWithoutAnOutageTakesEffectAtOnce, Fixture)
{
    registry.put(makeUpstream("a"), now);
    BOOST_TEST(registry.remove("a", now));
    BOOST_TEST(registry.find("a") == nullptr);
}

// Guards against losing all upstreams when their leases expire during an outage of the store, and against retaining
// those that do not register again.
BOOST_FIXTURE_TEST_CASE(lapsedEntriesAreRetainedUntilUpstreamsRegisterAgain, Fixture)
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

// Guards against retaining an upstream that was draining before the outage.
BOOST_FIXTURE_TEST_CASE(drainingUpstreamsAreNotRetained, Fixture)
{
    auto leaving = makeUpstream("a");
    leaving.phase = UpstreamPhase::Draining;
    registry.put(leaving, now);
    registry.recordOutage(now, now + 5s);
    BOOST_TEST(registry.remove("a", now + 5s));
}

// Guards against retaining upstreams that stop after an outage that was too short for a lease to expire.
BOOST_FIXTURE_TEST_CASE(shortOutagesRetainNothing, Fixture)
{
    registry.put(makeUpstream("a"), now);
    registry.recordOutage(now, now + 2900ms);
    BOOST_TEST(registry.remove("a", now + 3000ms));
}

// Guards against removing all upstreams that have to register again after the store has lost their entries, and against
// retaining those that do not.
BOOST_FIXTURE_TEST_CASE(lostEntriesAreRetainedUntilUpstreamsRegisterAgain, Fixture)
{
    registry.put(makeUpstream("a"), now);
    registry.put(makeUpstream("b"), now);
    registry.recordLoss(now);
    BOOST_TEST(!registry.remove("a", now + 100ms));
    BOOST_TEST(!registry.remove("b", now + 100ms));
    BOOST_TEST(registry.put(makeUpstream("a"), now + 1s));
    registry.expire(now + UpstreamRegistry::ReregistrationTime);
    BOOST_TEST(registry.find("a") != nullptr);
    BOOST_TEST(registry.find("b") == nullptr);
    BOOST_TEST(registry.remove("a", now + 3s));
}

// Guards against an instance that removes what another one retains, and against one that retains an upstream which is
// draining or keeps it for good.
BOOST_FIXTURE_TEST_CASE(entriesThatOthersRetainAreRetained, Fixture)
{
    registry.put(makeUpstream("a"), now);
    auto leaving = makeUpstream("b");
    leaving.phase = UpstreamPhase::Draining;
    registry.put(leaving, now);
    registry.lapse("a", now);
    registry.lapse("b", now);
    registry.lapse("c", now);
    BOOST_TEST(registry.find("a") != nullptr);
    BOOST_TEST(registry.find("b") == nullptr);
    BOOST_TEST(registry.find("c") == nullptr);
    BOOST_TEST(registry.expire(now + UpstreamRegistry::ReregistrationTime).empty());
    const auto end = now + UpstreamRegistry::ReregistrationTime + UpstreamRegistry::PassOnTime;
    BOOST_TEST(registry.expire(end).size() == 1U);
    BOOST_TEST(registry.find("a") == nullptr);
}
