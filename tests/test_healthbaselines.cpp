#include "laburnumspar/healthbaselines.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1h};

std::vector<PoolMember> fourUpstreams()
{
    std::vector<PoolMember> pool;
    for (std::uint16_t n = 1; n <= 4; ++n) {
        pool.push_back({{"10.0.0.1", n}, "palermo", 6, UpstreamPhase::Serving, true});
    }
    return pool;
}

void record(HealthPolicy &policy, std::uint16_t port, EvidenceKind kind, int times, TimePoint at = Now)
{
    for (int n = 0; n < times; ++n) {
        policy.record({{"10.0.0.1", port}, kind, RequestClass::Short, 30ms, at, at, 0});
    }
}

std::unique_ptr<HealthPolicy> make(const std::string &name)
{
    auto policy = Registry<HealthPolicy>::global().make(name);
    policy->configure({0.5, 6, 1s}, 1);
    policy->setPool(fourUpstreams(), Now);
    return policy;
}

} // namespace

// Guards against baselines that never eject, or that ignore the floor which the policy "judge" keeps.
BOOST_AUTO_TEST_CASE(consecutiveErrorsEjectUpToTheFloor)
{
    const auto policy = make("consecutive-errors");
    record(*policy, 1, EvidenceKind::Error, 4);
    record(*policy, 1, EvidenceKind::Success, 1);
    record(*policy, 1, EvidenceKind::Error, 4);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 6U);
    for (std::uint16_t port = 1; port <= 4; ++port) {
        record(*policy, port, EvidenceKind::Error, 5);
    }
    BOOST_TEST(policy->evaluate(Now).size() == 2U);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 0U);
    BOOST_TEST(policy->admission({"10.0.0.1", 3}, Now).slots == 6U);
    policy->evaluate(Now + 2s);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now + 2s).slots == 6U);
}

// Guards against a baseline that uses the results of requests, although it is defined by probes only.
BOOST_AUTO_TEST_CASE(probesOnlyIgnoresRequests)
{
    const auto policy = make("probes-only");
    record(*policy, 1, EvidenceKind::Timeout, 20);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 6U);
    BOOST_TEST(policy->probesDue(Now).size() == 4U);
    BOOST_TEST(policy->probesDue(Now + 500ms).empty());
    record(*policy, 1, EvidenceKind::ProbeFailed, 3);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 0U);
    record(*policy, 1, EvidenceKind::ProbeOk, 2);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 6U);
}

// Guards against a policy that cannot be created by its name.
BOOST_AUTO_TEST_CASE(peerComparisonIsRegisteredAsJudge)
{
    const auto policy = make("judge");
    record(*policy, 1, EvidenceKind::Wrong, 1);
    policy->evaluate(Now);
    BOOST_TEST(policy->admission({"10.0.0.1", 1}, Now).slots == 1U);
    BOOST_CHECK_THROW(Registry<HealthPolicy>::global().make("none"), UnknownPluginError);
}
