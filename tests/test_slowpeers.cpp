#include "changessender.h"

using namespace laburnumspar;

// Guards against a departure that is known late because instances that have it do not answer: each costs the time of
// one unanswered pull (incident inc1).
BOOST_FIXTURE_TEST_CASE(departuresArriveBesideUnresponsiveInstances, ReceiverFixture)
{
    constexpr unsigned Silent = 2;
    addSenders(Silent + 1);
    for (auto it = senders.begin(); it != std::prev(senders.end()); ++it) {
        it->setSilent(true);
    }
    write("servers/i-1", makeEntry("draining"));
    const auto delay = drainDelay();
    BOOST_TEST_MESSAGE("known after " << delay.count() << " ms");
    BOOST_TEST(delay.count() <= DrainTime.count());
}
