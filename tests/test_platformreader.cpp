#include "net/platformreader.h"

#include "laburnumspar/plugin.h"
#include "loopback.h"
#include "net/httpserver.h"
#include "rawupstream.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint platformAddress{loopbackAddress(0), 27951};
/// What the platform may have sent before a connection is closed: the limits of this side, and the socket buffers of
/// both sides.
constexpr std::size_t MaxSentWithoutEnd = 24 << 20;

const std::vector<std::pair<http::status, std::string>> badReplies{
    {http::status::ok, std::string(65 << 20, ' ')},
    {http::status::ok, R"({"version":9,"values":[{"path":7}]})"},
    {http::status::ok, std::string(1000, '[')},
    {http::status::bad_request, ""}};

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

// Guards against asking for the same changes again and again although the reply can never be used: the settings that
// follow them were not read any more.
BOOST_DATA_TEST_CASE(rejectedChangesAreListedAnew, boost::unit_test::data::xrange(badReplies.size()), n)
{
    asio::io_context context{1};
    std::vector<std::string> watches;
    HttpServer platform(
        context, platformAddress, {}, [&](HttpRequest request, CancellationPtr) -> awaitable<HttpResponse> {
            const std::string target(request.target());
            if (target.starts_with("/v1/read")) {
                co_return makeResponse(http::status::ok, "", R"({"path":"/teams/a","version":5,"value":"x"})");
            }
            if (!target.starts_with("/v1/watch")) {
                co_return makeResponse(http::status::ok, "", R"({"version":5,"instances":[]})");
            }
            watches.push_back(target);
            if (target.find("after=0") == std::string::npos) {
                co_return makeResponse(badReplies[n].first, "", badReplies[n].second);
            }
            co_return makeResponse(http::status::ok, "", R"({"version":5,"values":[{"path":"/teams/a","version":5}]})");
        });
    platform.start();
    const auto dialect = Registry<PlatformDialect>::global().make("lspar-v1");
    MetricsRegistry metrics;
    unsigned values = 0;
    PlatformReader reader({context,
                           *dialect,
                           {platformAddress},
                           metrics,
                           [] { return true; },
                           [](const SettingsVersion &) { return true; },
                           [&values](const PlatformValue &) { ++values; },
                           [](const PlatformInstances &) {}});
    reader.start();
    const auto until = Clock::now() + 10s;
    while (values < 2 && Clock::now() < until) {
        context.run_for(10ms);
    }
    reader.stop();
    BOOST_TEST(values == 2U);
    BOOST_REQUIRE(watches.size() == 3U);
    BOOST_TEST(watches[1].find("after=5") != std::string::npos);
    BOOST_TEST(watches[2].find("after=0") != std::string::npos);
    BOOST_TEST(metrics.counter("lspar_platform_rejected_total").value() >= 1U);
    platform.close();
    context.run_for(1500ms);
}
