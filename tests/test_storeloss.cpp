#include "lspar-soak/faultproxy.h"
#include "lspar-soak/simulatedstore.h"
#include "storefleet.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

std::string makeConfig(std::uint64_t version)
{
    return R"({"version":"r)" + std::to_string(version)
        + R"(","routes":{"columns":["name","host","prefix","kind","timeout_s","slo_s","priority","service","attempts"],
        "rows":[["look","a.example","/look/","safe",4,0.5,2,"s1",2]]},"services":{"columns":["name","health_path",
        "max_conns"],"rows":[["s1","/healthz",360]]}})";
}

std::string makeEntry(const std::string &state, std::uint64_t born = 1000)
{
    return R"({"service":"s1","addr":"127.0.0.9:80","zone":"palermo","version":"v1","slots":6,"state":")" + state
        + R"(","warmup_left_s":0,"seq":1,"born":)" + std::to_string(born) + "}";
}

/// A fleet that knows configuration 1 and the upstream i-1.
struct Fixture {
    Fixture()
    {
        fleet.store().put("servers/i-1", makeEntry("ready"));
        fleet.store().put("op/config", makeConfig(1));
        BOOST_REQUIRE(fleet.runUntilAll([](auto &it) { return it.routesVersion() == 1 && it.upstream("i-1"); }));
        // Changes are known by pull from here on.
        BOOST_REQUIRE(fleet.runUntil([this] { return fleet[0].role() != fleet[1].role(); }));
    }

    /// Writes a configuration and waits until all instances use it.
    void publish(std::uint64_t version)
    {
        fleet.store().put("op/config", makeConfig(version));
        BOOST_REQUIRE(isInForce(version));
    }

    bool isInForce(std::uint64_t version)
    {
        return fleet.runUntilAll([version](auto &it) { return it.routesVersion() == version; });
    }

    bool isKnown(const std::string &id)
    {
        return fleet.runUntilAll([&](auto &it) { return it.upstream(id) != nullptr; });
    }

    bool isRemoved(const std::string &id)
    {
        return fleet.runUntilAll([&](auto &it) { return it.upstream(id) == nullptr; });
    }

    StoreFleet fleet{2};
};

} // namespace

// Guards against ignoring a configuration whose revision an older one had before the store lost it (day restored).
BOOST_FIXTURE_TEST_CASE(configurationsAfterALossAreInForce, Fixture)
{
    fleet.store().keepCopy();
    publish(2);
    publish(3);
    fleet.loseStore();
    fleet.store().put("op/config", makeConfig(3));
    fleet.runFor(1500ms);
    fleet.store().put("op/config", makeConfig(4));
    BOOST_TEST(isInForce(4));
}

// Guards against missing changes because the store has given out the known revisions again before it is read.
BOOST_FIXTURE_TEST_CASE(lossWithoutAReadMeanwhileIsNoticed, Fixture)
{
    fleet.store().keepCopy();
    publish(2);
    fleet.setStoreLinks(soak::LinkFault::Reset);
    fleet.runFor(1500ms);
    fleet.store().restoreCopy();
    fleet.store().put("servers/i-2", makeEntry("ready"));
    fleet.store().put("op/config", makeConfig(3));
    fleet.store().put("servers/i-3", makeEntry("ready"));
    fleet.setStoreLinks(soak::LinkFault::None);
    BOOST_TEST(isInForce(3));
    BOOST_TEST(isKnown("i-2"));
    BOOST_TEST(isKnown("i-3"));
}

// Guards against an instance that takes its own copy for newer after a second loss.
BOOST_FIXTURE_TEST_CASE(secondLossIsNoticed, Fixture)
{
    fleet.store().keepCopy();
    publish(2);
    fleet.loseStore();
    fleet.store().put("op/config", makeConfig(3));
    BOOST_TEST(isInForce(3));
    fleet.loseStore();
    fleet.store().put("op/config", makeConfig(4));
    BOOST_TEST(isInForce(4));
}

// Guards against upstreams that are kept for good because their entry had a newer revision than the copy.
BOOST_FIXTURE_TEST_CASE(entriesThatAreNotWrittenAgainAreRemoved, Fixture)
{
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("ready"));
    BOOST_TEST(isKnown("i-2"));
    fleet.loseStore();
    BOOST_TEST(isRemoved("i-2"));
    BOOST_TEST(isKnown("i-1"));
}

// Guards against removing an upstream that is alive and only has to write its entry again.
BOOST_FIXTURE_TEST_CASE(entriesThatAreWrittenAgainAreKept, Fixture)
{
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("ready"));
    BOOST_TEST(isKnown("i-2"));
    fleet.loseStore();
    const auto writtenAt = Clock::now() + 1200ms;
    const auto until = writtenAt + 3s;
    bool written = false;
    bool known = true;
    fleet.runUntil([&] {
        if (!written && Clock::now() >= writtenAt) {
            fleet.store().put("servers/i-2", makeEntry("ready"));
            written = true;
        }
        known = known && fleet[0].upstream("i-2") != nullptr && fleet[1].upstream("i-2") != nullptr;
        return Clock::now() > until;
    });
    BOOST_TEST(known);
}

// Guards against sending requests to an upstream whose departure is missing in the copy.
BOOST_FIXTURE_TEST_CASE(departuresOutliveALoss, Fixture)
{
    fleet.store().put("servers/i-2", makeEntry("ready"));
    fleet.store().put("servers/i-3", makeEntry("ready"));
    BOOST_TEST(isKnown("i-3"));
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("draining"));
    fleet.store().remove("servers/i-3");
    BOOST_TEST(isRemoved("i-3"));
    fleet.loseStore();
    bool used = false;
    const auto until = Clock::now() + 3s;
    fleet.runUntil([&] {
        for (unsigned n = 0; n < 2; ++n) {
            const auto *leaving = fleet[n].upstream("i-2");
            used = used || (leaving != nullptr && leaving->phase == UpstreamPhase::Serving)
                || fleet[n].upstream("i-3") != nullptr;
        }
        return Clock::now() > until;
    });
    BOOST_TEST(!used);
    // The upstream writes its departure again, and the entry of the other one lapses.
    fleet.store().put("servers/i-2", makeEntry("draining"));
    fleet.store().remove("servers/i-3");
    BOOST_TEST(isRemoved("i-3"));
}

// Guards against an upstream that had left before a loss and is used by an instance that starts after it, and for
// longer if its entry lapses in another outage (fault soak, seed 209).
BOOST_FIXTURE_TEST_CASE(departuresAreKnownToInstancesThatStartAfterALoss, Fixture)
{
    fleet.store().put("servers/i-2", makeEntry("ready"));
    fleet.store().put("servers/i-3", makeEntry("ready"));
    BOOST_TEST(isKnown("i-3"));
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("draining"));
    fleet.store().remove("servers/i-3");
    BOOST_TEST(isRemoved("i-3"));
    fleet.loseStore();
    fleet.runFor(1s);
    fleet.kill(1);
    fleet.start(1);
    bool used = false;
    const auto until = Clock::now() + 2s;
    fleet.runUntil([&] {
        const auto *leaving = fleet[1].upstream("i-2");
        used = used || (leaving != nullptr && leaving->phase == UpstreamPhase::Serving)
            || fleet[1].upstream("i-3") != nullptr;
        return Clock::now() > until;
    });
    BOOST_TEST(!used);
    BOOST_TEST((fleet[1].upstream("i-1") != nullptr));
}

// Guards against an upstream that is never used again: it was cut off from the store when its entry lapsed, and renews
// the entry that the copy still has.
BOOST_FIXTURE_TEST_CASE(removedEntriesThatOutliveTheirLeaseAreUsed, Fixture)
{
    fleet.store().keepCopy();
    fleet.store().remove("servers/i-1");
    BOOST_TEST(isRemoved("i-1"));
    fleet.loseStore();
    BOOST_TEST(isKnown("i-1"));
}

// Guards against a new process of an upstream that is taken for the one that had left.
BOOST_FIXTURE_TEST_CASE(newProcessesAfterALossAreUsed, Fixture)
{
    fleet.store().keepCopy();
    fleet.store().put("servers/i-1", makeEntry("draining"));
    BOOST_TEST(fleet.runUntilAll([](auto &it) { return it.upstream("i-1")->phase == UpstreamPhase::Draining; }));
    fleet.loseStore();
    fleet.store().put("servers/i-1", makeEntry("ready", 2000));
    BOOST_TEST(fleet.runUntilAll(
        [](auto &it) { return it.upstream("i-1") && it.upstream("i-1")->phase == UpstreamPhase::Serving; }));
}

// Guards against an instance that starts after a loss and receives the older configuration of the copy from another one
// that uses the newer one.
BOOST_FIXTURE_TEST_CASE(olderConfigurationsAreNotPassedOn, Fixture)
{
    fleet.store().keepCopy();
    publish(2);
    fleet.loseStore();
    fleet.runFor(1s);
    fleet.kill(1);
    fleet.setStoreLink(1, soak::LinkFault::Reset);
    fleet.start(1);
    std::uint64_t first = 0;
    BOOST_TEST(fleet.runUntil([&] {
        first = first == 0 ? fleet[1].routesVersion() : first;
        return first != 0;
    }));
    BOOST_TEST(first == 2U);
}

// Guards against an instance that keeps what the store has lost because it learns of the loss from another one only.
BOOST_FIXTURE_TEST_CASE(instancesWithoutTheStoreLearnOfALoss, Fixture)
{
    const unsigned reader = fleet[0].role() == InstanceRole::Active ? 0 : 1;
    const unsigned other = 1 - reader;
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("ready"));
    publish(2);
    BOOST_TEST(isKnown("i-2"));
    fleet.loseStore();
    fleet.setStoreLink(other, soak::LinkFault::Reset);
    fleet.store().put("op/config", makeConfig(3));
    BOOST_TEST(isInForce(3));
    BOOST_TEST(isRemoved("i-2"));
}

// Guards against an instance that was cut off during a loss and brings back what the store has lost.
BOOST_FIXTURE_TEST_CASE(cutOffInstancesBringNothingBack, Fixture)
{
    fleet.store().keepCopy();
    fleet.store().put("servers/i-2", makeEntry("ready"));
    publish(2);
    BOOST_TEST(isKnown("i-2"));
    fleet.setCutOff(1, true);
    fleet.setStoreLink(1, soak::LinkFault::Blackhole);
    fleet.runFor(500ms);
    fleet.store().restoreCopy();
    fleet.store().put("op/config", makeConfig(2));
    BOOST_TEST(fleet.runUntil([&] { return fleet[0].upstream("i-2") == nullptr; }));
    fleet.setCutOff(1, false);
    bool back = false;
    const auto until = Clock::now() + 3s;
    fleet.runUntil([&] {
        back = back || fleet[0].upstream("i-2") != nullptr;
        return Clock::now() > until;
    });
    BOOST_TEST(!back);
    fleet.store().put("op/config", makeConfig(3));
    BOOST_TEST(isInForce(3));
    BOOST_TEST(isRemoved("i-2"));
}
