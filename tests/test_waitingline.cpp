#include "laburnumspar/waitingline.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

// Guards against less urgent work that goes first, and against work of one urgency that misses its objective behind
// work with more time.
BOOST_AUTO_TEST_CASE(urgencyGoesFirstThenTheObjective)
{
    const TimePoint now{100s};
    WaitingLine line;
    line.add({2, now + 1s, 1});
    line.add({1, now + 5s, 2});
    line.add({1, now + 3s, 3});
    BOOST_TEST(line.front()->ticket == 3U);
    BOOST_TEST(line.ahead({2, now + 1s, 1}) == 2U);
    line.remove({1, now + 3s, 3});
    BOOST_TEST(line.front()->ticket == 2U);
}

// Guards against waits that are estimated without regard to the slots.
BOOST_AUTO_TEST_CASE(waitGrowsWithThoseAheadAndShrinksWithSlots)
{
    BOOST_TEST((expectedWait(9, 10, 0.5) == 500ms));
    BOOST_TEST((expectedWait(9, 0, 0.5) == 5000ms));
}
