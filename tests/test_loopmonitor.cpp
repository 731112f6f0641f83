#include "gateway/loopmonitor.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

// Guards against a late tick that is reported with a step from before the last tick, or with a shorter one.
BOOST_AUTO_TEST_CASE(longestStepSinceLastTickIsKept)
{
    MetricsRegistry metrics;
    LoopMonitor monitor(metrics);
    const TimePoint due(1s);
    monitor.recordStep("apply", 20ms);
    monitor.recordStep("answer", 60ms);
    monitor.recordStep("list", 30ms);
    BOOST_TEST(monitor.longestStep() == "answer");
    monitor.recordTick(due, due + 110ms, 0ms);
    BOOST_TEST(monitor.longestStep().empty());
    monitor.recordStep("list", 1ms);
    BOOST_TEST(monitor.longestStep() == "list");
}

// Guards against ticks that are missing from the metric because they were on time.
BOOST_AUTO_TEST_CASE(eachTickIsCounted)
{
    MetricsRegistry metrics;
    LoopMonitor monitor(metrics);
    const TimePoint due(1s);
    monitor.recordTick(due, due - 1ms, 0ms);
    monitor.recordTick(due, due + 3ms, 0ms);
    monitor.recordTick(due, due + 120ms, 0ms);
    const auto &delays = metrics.histogram("lspar_tick_delay_seconds");
    BOOST_TEST(delays.count() == 3U);
    BOOST_TEST(delays.countUpTo(0) == 2U);
    BOOST_TEST(delays.countUpTo(4) == 2U);
}
