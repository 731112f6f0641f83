#include "lspar-load/scenario.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::tools;
using namespace std::chrono_literals;

namespace {

const std::string Valid = R"(name = "two phases"
[upstreams]
count = 10
slots = 6
zones = ["a", "b"]
[[mix]]
service = "orders"
team = "web"
run_ms = 20
long_run_ms = 2000
long_share = 0.05
[[phase]]
name = "calm"
duration_ms = 2000
load = 0.5
long_share = 0
[[phase]]
name = "rise"
duration_ms = 1000
rate = 100
rate_end = 300
[[fault]]
at_ms = 500
kind = "slow"
upstream = "9"
[bounds]
detection_ms_max = 3000
)";

/// The valid scenario with one part replaced.
std::string with(const std::string &part, const std::string &other)
{
    std::string text = Valid;
    const auto at = text.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), other);
}

std::string errorOf(const std::string &text)
{
    try {
        parseScenario(text, "s.toml");
    } catch (const SettingsError &error) {
        return error.key();
    }
    return "accepted";
}

} // namespace

// Guards against a load that is taken as a rate: 60 slots at 20 ms serve 3000/s, with 5% of 2 s far fewer.
BOOST_AUTO_TEST_CASE(loadIsAShareOfTheSlots)
{
    const auto scenario = parseScenario(Valid, "s.toml");
    BOOST_TEST(scenario.phases[0].rateStart == 1500, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(poolCapacity(scenario, scenario.phases[1]) == 60 / 0.119, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(scenario.faults.at(0).upstream == "9");
    BOOST_TEST(*scenario.bounds.detectionMsMax == 3000);
}

// Guards against a detection time that is always good: an upstream that refuses connections receives no work at all.
BOOST_AUTO_TEST_CASE(refusalIsNotTimed)
{
    BOOST_TEST(parseScenario(Valid, "s.toml").faults.at(0).measureDetection);
    BOOST_TEST(!parseScenario(with("\"slow\"", "\"refuse\""), "s.toml").faults.at(0).measureDetection);
}

// Guards against arrivals that jump at a ramp or go on after the end.
BOOST_AUTO_TEST_CASE(rateFollowsThePhases)
{
    const auto scenario = parseScenario(Valid, "s.toml");
    BOOST_TEST(phaseIndexAt(scenario, 1999ms) == 0U);
    BOOST_TEST(phaseIndexAt(scenario, 2000ms) == 1U);
    BOOST_TEST(phaseIndexAt(scenario, 9s) == 1U);
    BOOST_TEST(rateAt(scenario, 2500ms) == 200, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(rateAt(scenario, 3000ms) == 0);
}

// Guards against a misspelt or impossible scenario that runs as something else.
BOOST_AUTO_TEST_CASE(errorsNameTheKey)
{
    BOOST_TEST(errorOf(Valid) == "accepted");
    BOOST_TEST(errorOf(with("long_share = 0.05", "long_shares = 0.05")) == "mix.long_shares");
    BOOST_TEST(errorOf(with("long_share = 0.05", "long_share = 1.5")) == "mix.long_share");
    BOOST_TEST(errorOf(with("count = 10", "count = 2.5")) == "upstreams.count");
    BOOST_TEST(errorOf(with("slots = 6\n", "")) == "upstreams.slots");
    BOOST_TEST(errorOf(with("upstream = \"9\"", "upstream = \"10\"")) == "fault.upstream");
    BOOST_TEST(errorOf(with("upstream = \"9\"", "zone = \"c\"")) == "fault.zone");
    BOOST_TEST(errorOf(with("\"slow\"", "\"tired\"")) == "fault.kind");
    BOOST_TEST(errorOf(with("at_ms = 500", "at_ms = 3000")) == "fault.at_ms");
    BOOST_TEST(errorOf(with("load = 0.5", "load = 0.5\nrate = 3")) == "phase.rate");
    BOOST_TEST(errorOf(with("[bounds]", "[limits]")) == "limits");
    BOOST_TEST(errorOf(with("[[mix]]", "[mix]")) == "mix");
    BOOST_TEST(errorOf(with("count = 10", "count =")) == "");
}
