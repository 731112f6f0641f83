#include "laburnumspar/instancegroup.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

/// Instances of one or more zones that hear each other, as far as a test lets them.
struct Fleet {
    explicit Fleet(int count, const std::string &zone = "palermo")
    {
        for (int n = 0; n < count; ++n) {
            add("10.1.0." + std::to_string(n + 1), zone);
        }
    }

    void add(const std::string &ip, const std::string &zone, std::uint16_t capacity = 200)
    {
        InstanceStatus status;
        status.ip = ip;
        status.zone = zone;
        status.incarnation = 1;
        status.capacity = capacity;
        instances.push_back(std::make_unique<InstanceGroup>(status, InstanceGroup::Timing{}, now));
    }

    /// All that run hear each other and decide, in steps of 100 ms.
    void run(Milliseconds time)
    {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (const auto &from : instances) {
                for (const auto &to : instances) {
                    if (isUp(*from) && isUp(*to)) {
                        to->receiveStatus(from->self(), now);
                    }
                }
            }
            for (const auto &it : instances) {
                if (isUp(*it)) {
                    it->updateRole(now);
                }
            }
        }
    }

    bool isUp(const InstanceGroup &group) const
    {
        return !down.contains(group.self().ip);
    }

    std::vector<InstanceGroup *> withRole(InstanceRole role)
    {
        std::vector<InstanceGroup *> result;
        for (const auto &it : instances) {
            if (isUp(*it) && it->self().role == role) {
                result.push_back(it.get());
            }
        }
        return result;
    }

    TimePoint now{1000s};
    std::vector<std::unique_ptr<InstanceGroup>> instances;
    std::set<std::string> down;
};

} // namespace

// Guards against every instance of a zone becoming active, or none: each would see too little of every upstream.
BOOST_AUTO_TEST_CASE(oneInstanceOfASmallZoneIsActive)
{
    Fleet fleet(13);
    fleet.run(6s);
    BOOST_TEST(fleet.withRole(InstanceRole::Active).size() == 1U);
    BOOST_TEST(fleet.withRole(InstanceRole::Spare).size() == 1U);
}

// Guards against a zone without a named instance after its active one has died.
BOOST_AUTO_TEST_CASE(spareTakesOverWhenTheActiveInstanceIsSilent)
{
    Fleet fleet(13);
    fleet.run(6s);
    const auto dead = fleet.withRole(InstanceRole::Active)[0]->self().ip;
    const auto spare = fleet.withRole(InstanceRole::Spare)[0]->self().ip;
    fleet.down.insert(dead);
    fleet.run(1200ms);
    const auto active = fleet.withRole(InstanceRole::Active);
    BOOST_REQUIRE(active.size() == 1U);
    BOOST_TEST(active[0]->self().ip == spare);
    BOOST_TEST(fleet.instances[12]->addressesFor("palermo", fleet.now)[0] == spare);
}

// Guards against a spare that is dead as well: the next in rank takes over.
BOOST_AUTO_TEST_CASE(nextInRankTakesOverFromADeadSpare)
{
    Fleet fleet(5);
    fleet.run(6s);
    fleet.down.insert(fleet.withRole(InstanceRole::Active)[0]->self().ip);
    fleet.down.insert(fleet.withRole(InstanceRole::Spare)[0]->self().ip);
    fleet.run(4s);
    BOOST_TEST(fleet.withRole(InstanceRole::Active).size() == 1U);
}

// Guards against addresses of an instance that is stopping.
BOOST_AUTO_TEST_CASE(leavingInstanceIsReplacedAtOnce)
{
    Fleet fleet(5);
    fleet.run(6s);
    auto *leaving = fleet.withRole(InstanceRole::Active)[0];
    leaving->leave();
    fleet.run(300ms);
    const auto active = fleet.withRole(InstanceRole::Active);
    BOOST_REQUIRE(active.size() == 1U);
    BOOST_TEST(active[0] != leaving);
    for (const auto &it : fleet.instances) {
        const auto addresses = it->addressesFor("palermo", fleet.now);
        BOOST_TEST(std::count(addresses.begin(), addresses.end(), leaving->self().ip) == 0);
    }
    BOOST_TEST((leaving->updateRole(fleet.now) == InstanceRole::Leaving));
}

// Guards against two active instances for ever after a partition has healed.
BOOST_AUTO_TEST_CASE(surplusActiveInstanceStepsBack)
{
    Fleet fleet(6);
    fleet.run(6s);
    const auto active = fleet.withRole(InstanceRole::Active)[0]->self().ip;
    fleet.down.insert(active);
    fleet.run(3s);
    fleet.down.clear();
    fleet.run(3s);
    BOOST_TEST(fleet.withRole(InstanceRole::Active).size() == 1U);
}

// Guards against instances that stay few while they have no processor time left, and many when the load has gone.
BOOST_AUTO_TEST_CASE(loadDecidesTheNumberOfActiveInstances)
{
    Fleet fleet(13);
    fleet.run(6s);
    const auto loadActives = [&](std::uint16_t load) {
        for (const auto &it : fleet.instances) {
            it->self().load = it->self().role == InstanceRole::Active ? load : 0;
        }
    };
    for (int n = 0; n < 20; ++n) {
        loadActives(180);
        fleet.run(200ms);
    }
    BOOST_TEST(fleet.withRole(InstanceRole::Active).size() > 2U);
    for (int n = 0; n < 40; ++n) {
        loadActives(1);
        fleet.run(200ms);
    }
    BOOST_TEST(fleet.withRole(InstanceRole::Active).size() == 1U);
}

// Guards against small machines that carry the traffic while larger ones stand by.
BOOST_AUTO_TEST_CASE(largerMachinesGoFirst)
{
    Fleet fleet(5);
    fleet.add("10.1.0.99", "palermo", 500);
    fleet.run(6s);
    const auto active = fleet.withRole(InstanceRole::Active);
    BOOST_REQUIRE(active.size() == 1U);
    BOOST_TEST(active[0]->self().ip == "10.1.0.99");
}

// Guards against every active instance reading the store, and against none when the reader is cut off from it.
BOOST_AUTO_TEST_CASE(oneActiveInstanceReadsTheStore)
{
    Fleet fleet(3);
    fleet.add("10.2.0.1", "catania");
    fleet.add("10.2.0.2", "catania");
    fleet.run(6s);
    const auto readers = [&] {
        std::vector<InstanceGroup *> result;
        for (auto *it : fleet.withRole(InstanceRole::Active)) {
            if (it->isStoreReader(0ms, fleet.now)) {
                result.push_back(it);
            }
        }
        return result;
    };
    BOOST_REQUIRE(readers().size() == 1U);
    readers()[0]->self().storeAgeMs = 5000;
    fleet.run(200ms);
    BOOST_TEST(readers().size() == 2U);
}

// Guards against an earlier start of an instance that is heard of late and hides the present one.
BOOST_AUTO_TEST_CASE(olderIncarnationsAreIgnored)
{
    Fleet fleet(1);
    auto &group = *fleet.instances[0];
    InstanceStatus other;
    other.ip = "10.1.0.50";
    other.zone = "palermo";
    other.incarnation = 5;
    other.role = InstanceRole::Active;
    group.receiveStatus(other, fleet.now);
    other.incarnation = 4;
    other.role = InstanceRole::Standby;
    group.receiveStatus(other, fleet.now);
    group.receiveRelayedStatus(other, 0ms, fleet.now);
    BOOST_TEST(group.activeInstances("palermo", fleet.now).size() == 1U);
}

// Guards against a caller zone without instances that gets no address.
BOOST_AUTO_TEST_CASE(unknownZoneGetsAddressesElsewhere)
{
    Fleet fleet(3);
    fleet.run(6s);
    BOOST_TEST(fleet.instances[0]->addressesFor("nowhere", fleet.now).size() == 1U);
}

// Guards against a store that turns away just the active instances: nobody would hear of a change. Hunt 38d9 broke
// CONFIG and DENIED in this way.
BOOST_AUTO_TEST_CASE(othersStandInWhenThereIsNoNewsOfTheStore)
{
    Fleet fleet(8);
    fleet.run(6s);
    const auto standIns = [&](Milliseconds fleetStoreAge) {
        return std::count_if(fleet.instances.begin(), fleet.instances.end(), [&](const auto &it) {
            return it->self().role != InstanceRole::Active && it->isStoreReader(fleetStoreAge, fleet.now);
        });
    };
    BOOST_TEST(standIns(900ms) == 0);
    const auto first = standIns(1450ms);
    BOOST_TEST(first > 0);
    BOOST_TEST(first < 7);
    BOOST_TEST(standIns(3000ms) == 7);
}
