#include "gateway/stopschedule.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

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
