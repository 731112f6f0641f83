#include "loopback.h"
#include "net/httpserver.h"
#include "net/platformreader.h"

#include "laburnumspar/plugin.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint platformAddress{loopbackAddress(0), 27961};

const std::vector<std::pair<http::status, std::string>> badReplies{
    {http::status::ok, std::string(65 << 20, ' ')},
    {http::status::ok, R"({"version":9,"values":[{"path":7}]})"},
    {http::status::ok, std::string(1000, '[')},
    {http::status::bad_request, ""}};

} // namespace

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
