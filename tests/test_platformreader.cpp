#include "net/platformreader.h"

#include "laburnumspar/plugin.h"
#include "loopback.h"
#include "rawupstream.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint platformAddress{loopbackAddress(0), 27951};
/// What the platform may have sent before a connection is closed: the limits of this side, and the socket buffers of
/// both sides.
constexpr std::size_t MaxSentWithoutEnd = 24 << 20;

} // namespace

// Guards against memory that fills with a reply of the platform that has no end.
BOOST_AUTO_TEST_CASE(endlessRepliesAreCutOff)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(8192, 'a');
    const std::vector<std::pair<std::string, std::string>> replies{
        {"", block},
        {"HTTP/1.1 200 OK\r\nX-Long: ", block},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {chunked + "5;", block},
        {chunked, "1\r\na\r\n"},
        {chunked + "1\r\na\r\n0\r\nX-Trailer: ", block},
    };
    for (const auto &[prefix, repeated] : replies) {
        BOOST_TEST_CONTEXT(prefix << repeated.substr(0, 32))
        {
            asio::io_context context{1};
            RawUpstream platform(context, platformAddress, "X-Id");
            platform.script = [prefix = prefix, repeated = repeated](
                                  RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
                co_await self.send(socket, prefix);
                co_await self.sendWithoutEnd(socket, repeated);
            };
            MetricsRegistry metrics;
            const auto dialect = Registry<PlatformDialect>::global().make("lspar-v1");
            // One reader calls the platform, the other one waits for its role.
            unsigned checks = 0;
            PlatformReader reader({context,
                                   *dialect,
                                   {platformAddress},
                                   metrics,
                                   [&checks] { return checks++ == 0; },
                                   [](const SettingsVersion &) { return true; },
                                   [](const PlatformValue &) {},
                                   [](const PlatformInstances &) {}});
            reader.start();
            const auto limit = Clock::now() + 1500ms;
            while (platform.closedByPeer == 0 && Clock::now() < limit) {
                context.run_for(10ms);
            }
            BOOST_TEST(platform.closedByPeer == 1U);
            BOOST_TEST(platform.sent < MaxSentWithoutEnd);
            reader.stop();
            platform.close();
            context.run_for(20ms);
        }
    }
}
