#include "changessender.h"

using namespace laburnumspar;

namespace {

/// More than one second for each instance, also if it is compressed.
constexpr unsigned LargeConfigRoutes = 7000;

} // namespace

// Guards against a departure that waits for a large configuration in the same answer (incident inc1, hypothesis 3).
BOOST_FIXTURE_TEST_CASE(departuresDoNotWaitForALargeConfiguration, ReceiverFixture)
{
    addSenders(1);
    write("servers/i-1", makeEntry("draining"));
    write("op/config", makeConfig(2, LargeConfigRoutes));
    BOOST_TEST(drainDelay().count() <= DrainTime.count());
    BOOST_TEST(runUntil([this] { return serviceRegistry.routes()->version() == 2; }));
}

// Guards against a departure that waits for the end of a pull with a large configuration which began before it.
BOOST_FIXTURE_TEST_CASE(departuresDoNotWaitForALargePull, ReceiverFixture)
{
    addSenders(1);
    write("op/config", makeConfig(2, LargeConfigRoutes));
    const auto begin = Clock::now();
    runUntil([begin] { return Clock::now() >= begin + 100ms; });
    write("servers/i-1", makeEntry("draining"));
    BOOST_TEST(drainDelay().count() <= DrainTime.count());
    BOOST_TEST(runUntil([this] { return serviceRegistry.routes()->version() == 2; }));
}
