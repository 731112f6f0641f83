#include "laburnumspar/dispatchpolicy.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace laburnumspar;

namespace {

const std::array<UpstreamId, 3> Ids{UpstreamId{"10.0.0.1", 80}, UpstreamId{"10.0.0.2", 80}, UpstreamId{"10.0.0.3", 80}};

std::array<int, 3> countChoices(const char *policyName, const std::vector<PolicyCandidate> &candidates, int choices)
{
    const auto policy = Registry<DispatchPolicy>::global().make(policyName);
    RandomEngine random(1);
    std::array<int, 3> counts{};
    for (int n = 0; n < choices; ++n) {
        ++counts.at(policy->choose(candidates, random));
    }
    return counts;
}

} // namespace

// Guards against comparing numbers of requests instead of load: 3 of 6 slots is a lower load than 2 of 3.
BOOST_AUTO_TEST_CASE(leastLoadedIsRelativeToSlots)
{
    const auto counts = countChoices("least-loaded", {{&Ids[0], 3, 2}, {&Ids[1], 6, 3}, {&Ids[2], 3, 3}}, 100);
    BOOST_TEST(counts[1] == 100);
}

// Guards against always choosing the first upstream of a tie: many dispatchers would choose the same one.
BOOST_AUTO_TEST_CASE(leastLoadedBreaksTiesEvenly)
{
    const auto counts = countChoices("least-loaded", {{&Ids[0], 3, 1}, {&Ids[1], 6, 2}, {&Ids[2], 3, 1}}, 3000);
    for (const int count : counts) {
        BOOST_TEST(count > 900);
        BOOST_TEST(count < 1100);
    }
}

// Guards against a choice that ignores the load or always compares the same two upstreams.
BOOST_AUTO_TEST_CASE(twoChoicesPrefersTheLessLoaded)
{
    const auto counts = countChoices("two-choices", {{&Ids[0], 4, 0}, {&Ids[1], 4, 2}, {&Ids[2], 4, 3}}, 9000);
    BOOST_TEST(counts[0] > 4500); // 5 of 9 pairs
    BOOST_TEST(counts[1] > 2500); // 3 of 9
    BOOST_TEST(counts[2] > 700); // 1 of 9
}

// Guards against skipping an upstream when the candidates change between two choices.
BOOST_AUTO_TEST_CASE(roundRobinFollowsIds)
{
    const auto policy = Registry<DispatchPolicy>::global().make("round-robin");
    RandomEngine random(1);
    const std::vector<PolicyCandidate> all{{&Ids[0], 1, 0}, {&Ids[1], 1, 0}, {&Ids[2], 1, 0}};
    const std::vector<PolicyCandidate> outer{{&Ids[0], 1, 0}, {&Ids[2], 1, 0}};
    BOOST_TEST(policy->choose(all, random) == 0);
    BOOST_TEST(policy->choose(outer, random) == 1);
    BOOST_TEST(policy->choose(all, random) == 0);
    BOOST_TEST(policy->choose(all, random) == 1);
    BOOST_TEST(policy->choose(all, random) == 2);
}
