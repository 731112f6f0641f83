#include "gateway/stopschedule.h"
#include "net/io.h"
#include "net/signaltime.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

// Guards against measuring a stop from the moment at which a busy process handles the signal, which is later than the
// one at which its grace time began.
BOOST_AUTO_TEST_CASE(signalsAreTimedWhileTheLoopIsBusy)
{
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM);
    std::optional<TimePoint> handled;
    signals.async_wait([&](error_code, int) { handled = Clock::now(); });
    const SignalTime time({SIGTERM});
    BOOST_TEST(!time.first().has_value());
    const auto before = Clock::now();
    ::raise(SIGTERM);
    const auto after = Clock::now();
    ::raise(SIGTERM);
    context.run();
    BOOST_REQUIRE(handled.has_value());
    BOOST_REQUIRE(time.first().has_value());
    BOOST_TEST((before <= *time.first() && *time.first() <= after));
    BOOST_TEST((*time.first() < *handled));
}

// Guards against taking a signal for new that a paused process gets when it continues.
BOOST_AUTO_TEST_CASE(signalsAfterAPauseMayHaveBeenSentWhenItBegan)
{
    const TimePoint start(1h);
    PauseDetector pauses(start);
    pauses.recordTick(start, 100ms);
    BOOST_TEST((pauses.earliestSent(start + 90ms) == start + 90ms));
    BOOST_TEST((pauses.earliestSent(start + 240ms) == start + 240ms));
    BOOST_TEST((pauses.earliestSent(start + 2s) == start));
    // The late task runs before the signal is handled.
    pauses.recordTick(start + 2001ms, 100ms);
    BOOST_TEST((pauses.earliestSent(start + 2s) == start));
    BOOST_TEST((pauses.earliestSent(start + 2050ms) == start + 2050ms));
    pauses.recordTick(start + 2100ms, 100ms);
    BOOST_TEST((pauses.earliestSent(start + 2s) == start));
    BOOST_TEST((pauses.earliestSent(start + 2150ms) == start + 2150ms));
}

// Guards against margins that are too narrow, or that break requests off too early, in short grace times.
BOOST_AUTO_TEST_CASE(phasesOfAStopFollowTheGraceTime)
{
    for (const Milliseconds grace : {1000ms, 2000ms, 4000ms, 6000ms, 10000ms, 15000ms}) {
        const TimePoint start(1h);
        const StopSchedule schedule(start, grace);
        BOOST_TEST((schedule.refuseFrom <= start + 3s && schedule.refuseFrom < schedule.endAt));
        BOOST_TEST((schedule.endAt >= start + grace * 5 / 6), grace.count());
        BOOST_TEST((schedule.exitAt >= schedule.endAt + grace / 24 || schedule.exitAt >= schedule.endAt + 350ms));
        BOOST_TEST((schedule.exitAt <= start + grace - std::min(250ms, grace / 16)), grace.count());
    }
    BOOST_TEST((StopSchedule(TimePoint(), 6s).endAt == TimePoint(5400ms)));
}
