#include "laburnumspar/gateway.h"
#include "loopback.h"
#include "platform/adapter.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

GatewaySettings makeSettings()
{
    GatewaySettings settings;
    settings.name = "front-1";
    settings.ip = loopbackAddress(0);
    settings.zone = "palermo";
    settings.zones = {"palermo"};
    settings.callers = {settings.ip, 27971};
    settings.readiness = {settings.ip, 27972};
    settings.addresses = {settings.ip, 27973};
    settings.peers = {settings.ip, 27974};
    settings.store = {settings.ip, 27975}; // nothing listens there
    return settings;
}

} // namespace

// Guards against an instance that notices no signal after a reload has failed in a way that was not foreseen, and is
// killed at the end of the grace period of its stop.
BOOST_AUTO_TEST_CASE(reloadsThatFailDoNotDisableSignals, *boost::unit_test::timeout(20))
{
    Gateway gateway(makeSettings(), platform::makeAdapter());
    std::atomic<unsigned> reloads = 0;
    std::thread sender([&] {
        for (unsigned n = 1; n <= 2; ++n) {
            ::kill(::getpid(), SIGHUP);
            while (reloads < n) {
                std::this_thread::sleep_for(1ms);
            }
        }
        ::kill(::getpid(), SIGTERM);
    });
    gateway.run([&]() -> GatewaySettings {
        ++reloads;
        throw std::runtime_error("settings cannot be read");
    });
    sender.join();
    BOOST_TEST(reloads == 2U);
}
