#include "laburnumspar/requestqueue.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

// Guards against serving less urgent requests first, and against a request that misses its objective behind one of the
// same priority that has more time.
BOOST_AUTO_TEST_CASE(ordersByPriorityThenByObjective)
{
    const TimePoint now{100s};
    RequestQueue queue;
    queue.add(RequestQueue::makeEntry(2, now + 2s, 1));
    queue.add(RequestQueue::makeEntry(1, now + 2s, 2));
    queue.add(RequestQueue::makeEntry(1, now + 1s, 3));
    BOOST_TEST(queue.front(now)->ticket == 3U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(2, now + 2s, 1), now) == 2U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(1, now + 2s, 2), now) == 1U);
    queue.remove(RequestQueue::makeEntry(1, now + 1s, 3));
    BOOST_TEST(queue.front(now)->ticket == 2U);
}

// Guards against an overload in which all requests become late because late requests are served first.
BOOST_AUTO_TEST_CASE(lateRequestsAreServedAfterThoseOnTime)
{
    const TimePoint now{100s};
    RequestQueue queue;
    queue.add(RequestQueue::makeEntry(1, now - 1s, 1));
    queue.add(RequestQueue::makeEntry(1, now + 1s, 2));
    BOOST_TEST(queue.front(now)->ticket == 2U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(1, now - 1s, 1), now) == 1U);
    queue.remove(RequestQueue::makeEntry(1, now + 1s, 2));
    BOOST_TEST(queue.front(now)->ticket == 1U);
}

// Guards against estimating the wait from an outdated start rate.
BOOST_AUTO_TEST_CASE(startRateCoversTheLastSecond)
{
    TimePoint now{100s};
    RequestQueue queue;
    for (int n = 0; n < 20; ++n) {
        queue.recordStart(now += 100ms);
    }
    BOOST_TEST(queue.startRate(now) > 9);
    BOOST_TEST(queue.startRate(now) < 12);
    BOOST_TEST(queue.startRate(now + 5s) == 0);
}
