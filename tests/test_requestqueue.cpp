#include "laburnumspar/requestqueue.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <string>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

const RequestQueue::Owner nobody;

} // namespace

// Guards against serving less urgent requests first, and against a request that misses its objective behind one of the
// same priority that has more time.
BOOST_AUTO_TEST_CASE(ordersByPriorityThenByObjective)
{
    const TimePoint now{100s};
    RequestQueue queue;
    queue.add(RequestQueue::makeEntry(2, now + 2s, 1), nobody);
    queue.add(RequestQueue::makeEntry(1, now + 2s, 2), nobody);
    queue.add(RequestQueue::makeEntry(1, now + 1s, 3), nobody);
    BOOST_TEST(queue.front(now)->ticket == 3U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(2, now + 2s, 1), nobody, now) == 2U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(1, now + 2s, 2), nobody, now) == 1U);
    queue.remove(RequestQueue::makeEntry(1, now + 1s, 3), nobody);
    BOOST_TEST(queue.front(now)->ticket == 2U);
}

// Guards against an overload in which all requests become late because late requests are served first.
BOOST_AUTO_TEST_CASE(lateRequestsAreServedAfterThoseOnTime)
{
    const TimePoint now{100s};
    RequestQueue queue;
    queue.add(RequestQueue::makeEntry(1, now - 1s, 1), nobody);
    queue.add(RequestQueue::makeEntry(1, now + 1s, 2), nobody);
    BOOST_TEST(queue.front(now)->ticket == 2U);
    BOOST_TEST(queue.countAhead(RequestQueue::makeEntry(1, now - 1s, 1), nobody, now) == 1U);
    queue.remove(RequestQueue::makeEntry(1, now + 1s, 2), nobody);
    BOOST_TEST(queue.front(now)->ticket == 1U);
}

// Guards against estimating the wait from an outdated start rate.
BOOST_AUTO_TEST_CASE(startRateCoversTheLastSecond)
{
    TimePoint now{100s};
    RequestQueue queue;
    for (int n = 0; n < 20; ++n) {
        queue.recordStart(now += 100ms, nobody);
    }
    BOOST_TEST(queue.startRate(now) > 9);
    BOOST_TEST(queue.startRate(now) < 12);
    BOOST_TEST(queue.startRate(now + 5s) == 0);
}

// Load: a service starts 100 requests a second, three organisations of equal weight send 33 each and one 400. Guards
// against an organisation that pushes the others out, and against one that starves.
BOOST_AUTO_TEST_CASE(organisationsShareTheRoomOfAnOverloadedService)
{
    TimePoint now{100s};
    RequestQueue queue;
    std::map<std::string, double> started;
    struct Waiting {
        RequestQueue::Entry entry;
        std::string organisation;
    };
    std::deque<Waiting> waiting;
    std::map<RequestQueue::Ticket, std::string> owners;
    RequestQueue::Ticket ticket = 1;
    const auto arrive = [&](const std::string &organisation) {
        const auto entry = RequestQueue::makeEntry(1, now + 500ms, ticket++);
        queue.add(entry, {organisation, 10});
        waiting.push_back({entry, organisation});
        owners[entry.ticket] = organisation;
    };
    for (int step = 0; step < 1000; ++step) {
        now += 10ms;
        for (int n = 0; n < 4; ++n) {
            arrive("hot");
        }
        if (step % 3 == 0) {
            arrive("a");
            arrive("b");
            arrive("c");
        }
        if (const auto next = queue.front(now)) {
            const RequestQueue::Owner owner{owners[next->ticket], 10};
            queue.remove(*next, owner);
            queue.recordStart(now, owner);
            ++started[owner.organisation];
        }
        // Requests that can no longer meet their objective leave.
        for (; !waiting.empty() && waiting.front().entry.startBy < now; waiting.pop_front()) {
            queue.remove(waiting.front().entry, {waiting.front().organisation, 10});
        }
    }
    for (const auto *organisation : {"a", "b", "c", "hot"}) {
        BOOST_TEST(started[organisation] >= 0.9 * 250, organisation << " has started " << started[organisation]);
    }
}

// Guards against an organisation that is held back although no other one waits.
BOOST_AUTO_TEST_CASE(anOrganisationIsHeldBackOnlyForOthers)
{
    const TimePoint now{100s};
    RequestQueue queue;
    const RequestQueue::Owner a{"a", 5};
    const RequestQueue::Owner b{"b", 5};
    for (int n = 0; n < 100; ++n) {
        queue.recordStart(now, a);
    }
    const auto first = RequestQueue::makeEntry(0, now + 1s, 1);
    queue.add(first, a);
    BOOST_TEST(queue.front(now)->ticket == 1U);
    const auto second = RequestQueue::makeEntry(0, now + 2s, 2);
    queue.add(second, b);
    BOOST_TEST(queue.front(now)->ticket == 2U);
    BOOST_TEST(queue.countAhead(first, a, now) == 1U);
    BOOST_TEST(queue.countAhead(second, b, now) == 0U);
    queue.remove(second, b);
    BOOST_TEST(queue.front(now)->ticket == 1U);
    BOOST_TEST(queue.size() == 1U);
}
