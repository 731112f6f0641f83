#include "lspar-load/loadstats.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::tools;
using namespace std::chrono_literals;

namespace {

/// Ten upstreams that receive 100 requests per bucket each, except upstream 3, which receives `requests` from bucket
/// `from` on.
RequestSeries makeSeries(std::size_t from, std::uint32_t requests)
{
    RequestSeries series{100ms, std::vector(10, std::vector<std::uint32_t>(60, 100))};
    std::fill(series.received[3].begin() + static_cast<std::ptrdiff_t>(from), series.received[3].end(), requests);
    return series;
}

Scenario onePhase()
{
    Scenario scenario;
    scenario.pool = {1, 2, 10, {"a"}};
    scenario.mix.push_back({"orders", "web"});
    scenario.phases.push_back({"only", 1000ms, 100, 100, std::nullopt, true});
    return scenario;
}

RequestRecord record(CallerOutcome outcome, std::chrono::nanoseconds latency)
{
    RequestRecord record;
    record.outcome = outcome;
    record.latency = latency;
    record.deadline = 1000ms;
    return record;
}

PhaseResult phase(double p99, double goodputShare)
{
    PhaseResult result;
    result.name = "p";
    result.shortLatency.p99 = p99;
    result.goodputShare = goodputShare;
    result.counts.offered = 10;
    return result;
}

} // namespace

// Guards against a detection time that takes a temporary lack of requests, or a share that stays above 1%, for
// avoidance.
BOOST_AUTO_TEST_CASE(detectionRequiresLastingAvoidance)
{
    BOOST_CHECK(detectionTime(makeSeries(18, 0), 3, 1050ms, 6000ms) == 750ms);
    BOOST_CHECK(detectionTime(makeSeries(18, 9), 3, 1050ms, 6000ms) == 750ms);
    BOOST_CHECK(!detectionTime(makeSeries(18, 20), 3, 1050ms, 6000ms));
    BOOST_CHECK(!detectionTime(makeSeries(60, 0), 3, 1050ms, 6000ms));
    auto interrupted = makeSeries(10, 0);
    std::fill(interrupted.received[3].begin() + 25, interrupted.received[3].end(), 100);
    BOOST_CHECK(!detectionTime(interrupted, 3, 1000ms, 6000ms));
    const RequestSeries idle{100ms, std::vector(10, std::vector<std::uint32_t>(60, 0))};
    BOOST_CHECK(!detectionTime(idle, 3, 1050ms, 6000ms));
}

// Guards against taking blocked slots for detection: 9 of 909 requests are at most 1% of all requests, but more than 1%
// of an equal share.
BOOST_AUTO_TEST_CASE(quietTimeUsesEqualShare)
{
    const auto blocked = makeSeries(0, 9);
    BOOST_CHECK(detectionTime(blocked, 3, 1050ms, 6000ms) == 0ms);
    BOOST_CHECK(!quietTime(blocked, 3, 1050ms, 6000ms));
    BOOST_CHECK(quietTime(makeSeries(18, 0), 3, 1050ms, 6000ms) == 750ms);
    BOOST_TEST(requestsReceived(blocked, 3, 1000ms, 2000ms) == 90U);
}

// Guards against counting late or refused requests as goodput, and against quantiles that are off by one rank.
BOOST_AUTO_TEST_CASE(goodputCountsAnswersWithinDeadline)
{
    const std::vector<RequestRecord> records{record(CallerOutcome::Answered, 10ms),
                                             record(CallerOutcome::Answered, 1001ms),
                                             record(CallerOutcome::NotRun, 2ms),
                                             record(CallerOutcome::NoAnswer, 5ms)};
    const auto result = phaseResults(onePhase(), records).at(0);
    BOOST_TEST(result.counts.inTime == 1U);
    BOOST_TEST(result.counts.late == 1U);
    BOOST_TEST(result.counts.unknownOutcomes() == 1U);
    BOOST_TEST(result.goodputShare == 0.25);
    BOOST_TEST(result.refusalLatency.p99 == 2);
    BOOST_TEST(result.capacity == 100);
    std::vector<std::chrono::nanoseconds> times;
    for (int ms = 1000; ms > 0; --ms) {
        times.emplace_back(Milliseconds(ms));
    }
    const auto found = quantiles(times);
    BOOST_TEST(found.p50 == 500);
    BOOST_TEST(found.p99 == 990);
    BOOST_TEST(found.p999 == 999);
}

// Guards against bounds that are never reported as missed: each bound is missed once and met once.
BOOST_AUTO_TEST_CASE(reportsEachMissedBound)
{
    const std::vector<PhaseResult> phases{phase(20, 0.99), phase(28, 0.97)};
    const std::vector<DetectionResult> detections{{"slow", 1, 900ms, 950ms, 0}};
    const std::vector<DetectionResult> neverQuiet{{"slow", 1, 900ms, std::nullopt, 0}};
    ScenarioBounds bounds{0.95, 30, 1.5, 10, 0, 1000, 1000};
    BOOST_TEST(missedBounds(bounds, phases, detections).empty());
    BOOST_TEST(missedBounds(bounds, phases, neverQuiet).size() == 1U);
    BOOST_TEST(missedBounds({0.98, {}, {}, {}, {}, {}, {}}, phases, detections).size() == 1U);
    BOOST_TEST(missedBounds({{}, 25, {}, {}, {}, {}, {}}, phases, detections).size() == 1U);
    BOOST_TEST(missedBounds({{}, {}, 1.3, {}, {}, {}, {}}, phases, detections).size() == 1U);
    BOOST_TEST(missedBounds({{}, {}, {}, {}, {}, 890, {}}, phases, detections).size() == 1U);
    BOOST_TEST(missedBounds({{}, {}, {}, {}, {}, {}, 920}, phases, detections).size() == 1U);
    BOOST_TEST(missedBounds(bounds, phases, {{"slow", 1, std::nullopt, 900ms, 0}}).size() == 1U);
    auto slow = phase(20, 1);
    slow.refusalLatency.p99 = 60;
    slow.counts.byOutcome[static_cast<std::size_t>(CallerOutcome::NoAnswer)] = 1;
    BOOST_TEST(missedBounds({{}, {}, {}, 50, {}, {}, {}}, {slow}, {}).size() == 1U);
    BOOST_TEST(missedBounds({{}, {}, {}, {}, 0.05, {}, {}}, {slow}, {}).size() == 1U);
}
