#include "laburnumspar/upstreamassignment.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace laburnumspar;

namespace {

InstanceStatus makeInstance(const std::string &ip, const std::string &zone)
{
    InstanceStatus status;
    status.ip = ip;
    status.zone = zone;
    status.role = InstanceRole::Active;
    return status;
}

RegisteredUpstream makeUpstream(int n, const std::string &zone)
{
    RegisteredUpstream upstream;
    upstream.id = "u" + std::to_string(n);
    upstream.zone = zone;
    return upstream;
}

const std::vector<InstanceStatus> active{
    makeInstance("10.1.0.1", "palermo"), makeInstance("10.1.0.2", "palermo"), makeInstance("10.2.0.1", "catania")};

} // namespace

// Guards against an upstream that no instance explores, or that several do.
BOOST_AUTO_TEST_CASE(eachUpstreamHasOneExplorerOfItsZone)
{
    std::map<std::string, UpstreamAssignment> assignments;
    for (const auto &it : active) {
        assignments.emplace(it.ip, UpstreamAssignment(it.ip)).first->second.update(active);
    }
    std::map<std::string, int> counts;
    for (int n = 0; n < 200; ++n) {
        const auto upstream = makeUpstream(n, n % 2 == 0 ? "palermo" : "catania");
        int explorers = 0;
        for (const auto &[ip, assignment] : assignments) {
            const bool isExplorer = assignment.isExplorer(upstream);
            explorers += isExplorer ? 1 : 0;
            counts[ip] += isExplorer ? 1 : 0;
        }
        BOOST_TEST(explorers == 1);
    }
    BOOST_TEST(counts["10.2.0.1"] == 100);
    BOOST_TEST(counts["10.1.0.1"] > 25);
    BOOST_TEST(counts["10.1.0.2"] > 25);
}

// Guards against upstreams without an explorer while their zone has no active instance.
BOOST_AUTO_TEST_CASE(otherZonesExploreTheUpstreamsOfAZoneWithoutInstances)
{
    int explorers = 0;
    for (const auto &it : active) {
        UpstreamAssignment assignment(it.ip);
        assignment.update(active);
        explorers += assignment.isExplorer(makeUpstream(1, "messina")) ? 1 : 0;
    }
    BOOST_TEST(explorers == 1);
}

// Guards against trials by instances that serve hardly any requests.
BOOST_AUTO_TEST_CASE(inactiveInstancesExploreNothing)
{
    UpstreamAssignment assignment("10.9.0.1");
    BOOST_TEST(!assignment.isExplorer(makeUpstream(1, "palermo")));
    assignment.update(active);
    for (int n = 0; n < 50; ++n) {
        BOOST_TEST(!assignment.isExplorer(makeUpstream(n, "palermo")));
    }
}

// Guards against instances that use more of an upstream's request rate together than it takes.
BOOST_AUTO_TEST_CASE(rateSharesAddUpToOne)
{
    for (const auto *zone : {"palermo", "catania", "messina"}) {
        double sum = 0;
        for (const auto &it : active) {
            UpstreamAssignment assignment(it.ip);
            assignment.update(active);
            sum += assignment.rateShare(makeUpstream(1, zone));
        }
        BOOST_TEST(std::abs(sum - 1) < 1e-9);
    }
    UpstreamAssignment standby("10.1.0.9");
    standby.update(active);
    BOOST_TEST(standby.rateShare(makeUpstream(1, "palermo")) == 0);
}
