#include "lspar-load/scenario.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::tools;
using namespace std::chrono_literals;

namespace {

const std::string ValidScenario = R"(name = "two phases"
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

/// The valid scenario with `part` replaced.
std::string replace(const std::string &part, const std::string &replacement)
{
    std::string text = ValidScenario;
    const auto at = text.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), replacement);
}

/// Key named by the error of parseScenario(), or "accepted".
std::string errorKey(const std::string &text)
{
    try {
        parseScenario(text, "s.toml");
    } catch (const SettingsError &error) {
        return error.key();
    }
    return "accepted";
}

} // namespace

// Guards against treating a load as a rate. 60 slots serve 3000 requests of 20 ms per second, and far fewer if 5% of
// the requests take 2 s.
BOOST_AUTO_TEST_CASE(convertsLoadToRate)
{
    const auto scenario = parseScenario(ValidScenario, "s.toml");
    BOOST_TEST(scenario.phases[0].rateStart == 1500, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(poolCapacity(scenario, scenario.phases[1]) == 60 / 0.119, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(scenario.faults.at(0).upstream == "9");
    BOOST_TEST(*scenario.bounds.detectionMsMax == 3000);
}

// Guards against a detection time that always meets its bound: an upstream that refuses connections receives no
// requests.
BOOST_AUTO_TEST_CASE(detectionOfRefusalIsNotMeasured)
{
    BOOST_TEST(parseScenario(ValidScenario, "s.toml").faults.at(0).measureDetection);
    BOOST_TEST(!parseScenario(replace("\"slow\"", "\"refuse\""), "s.toml").faults.at(0).measureDetection);
}

// Guards against a rate that jumps within a ramp or does not drop to 0 after the last phase.
BOOST_AUTO_TEST_CASE(rateFollowsThePhases)
{
    const auto scenario = parseScenario(ValidScenario, "s.toml");
    BOOST_TEST(phaseIndexAt(scenario, 1999ms) == 0U);
    BOOST_TEST(phaseIndexAt(scenario, 2000ms) == 1U);
    BOOST_TEST(phaseIndexAt(scenario, 9s) == 1U);
    BOOST_TEST(rateAt(scenario, 2500ms) == 200, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(rateAt(scenario, 3000ms) == 0);
}

// Guards against accepting a scenario with misspelt keys or impossible values.
BOOST_AUTO_TEST_CASE(errorsReportTheKey)
{
    BOOST_TEST(errorKey(ValidScenario) == "accepted");
    BOOST_TEST(errorKey(replace("long_share = 0.05", "long_shares = 0.05")) == "mix.long_shares");
    BOOST_TEST(errorKey(replace("long_share = 0.05", "long_share = 1.5")) == "mix.long_share");
    BOOST_TEST(errorKey(replace("count = 10", "count = 2.5")) == "upstreams.count");
    BOOST_TEST(errorKey(replace("slots = 6\n", "")) == "upstreams.slots");
    BOOST_TEST(errorKey(replace("upstream = \"9\"", "upstream = \"10\"")) == "fault.upstream");
    BOOST_TEST(errorKey(replace("upstream = \"9\"", "zone = \"c\"")) == "fault.zone");
    BOOST_TEST(errorKey(replace("\"slow\"", "\"tired\"")) == "fault.kind");
    BOOST_TEST(errorKey(replace("at_ms = 500", "at_ms = 3000")) == "fault.at_ms");
    BOOST_TEST(errorKey(replace("load = 0.5", "load = 0.5\nrate = 3")) == "phase.rate");
    BOOST_TEST(errorKey(replace("[bounds]", "[limits]")) == "limits");
    BOOST_TEST(errorKey(replace("[[mix]]", "[mix]")) == "mix");
    BOOST_TEST(errorKey(replace("count = 10", "count =")) == "");
}
