#include "gateway/forwarder.h"
#include "loopback.h"
#include "rawupstream.h"
#include "routingsupport.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t UpstreamCount = 8;
constexpr std::uint16_t UpstreamPort = 27951;
constexpr std::size_t MaxPendingBytes = 1 << 20;
constexpr Milliseconds ServiceTime{30};

/// An upstream that ends, with all that runs on it, when it gets a request whose identifier begins with "deadly".
class CrashingUpstream
{
public:
    CrashingUpstream(asio::io_context &context, const Endpoint &endpoint)
        : m_upstream(context, endpoint, "X-Id")
    {
        m_upstream.script = [this](RawUpstream &upstream, tcp::socket &socket, std::string id) -> awaitable<void> {
            if (id.starts_with("deadly")) {
                crashed = true;
                upstream.close();
            }
            for (const auto end = Clock::now() + ServiceTime; !crashed && Clock::now() < end;) {
                co_await sleepFor(1ms);
            }
            if (crashed) {
                socket.close();
                co_return;
            }
            const std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Own: s\r\nContent-Length: 4\r\n\r\ndone";
            co_await upstream.send(socket, text);
        };
    }
    void close()
    {
        crashed = true;
        m_upstream.close();
    }

    bool crashed = false;

private:
    RawUpstream m_upstream;
};

/// An instance in front of upstreams that crash. Each upstream runs four requests at a time.
struct Fixture {
    Fixture()
        : forwarder(context, serviceRegistry, quotas, headers, metrics, memory)
    {
        serviceRegistry.divideRetryReserve(1);
        serviceRegistry.applyRoutes(makeTable(true, 4));
        for (std::size_t n = 0; n < UpstreamCount; ++n) {
            const Endpoint address{loopbackAddress(unsigned(n)), UpstreamPort};
            upstreams.push_back(std::make_unique<CrashingUpstream>(context, address));
            registerUpstream(serviceRegistry, "i-" + std::to_string(n), address);
        }
    }
    ~Fixture()
    {
        for (auto &it : upstreams) {
            it->close();
        }
        run(50ms);
    }

    void run(Milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Starts a request. Its answer appears in `answers`.
    void start(const std::string &id, const std::string &target)
    {
        ForwardedRequest request;
        request.id = id;
        request.method = "GET";
        request.host = "a.example";
        request.target = target;
        request.headers = "X-Id: " + id + "\r\n";
        request.arrived = Clock::now();
        request.deadline = request.arrived + 3s;
        forwarder.forward(std::move(request), [this, id](CallerAnswer answer) { answers[id] = std::move(answer); });
    }
    /// Returns the answer, or one with status 0 if there was none in time.
    CallerAnswer send(const std::string &id, const std::string &target)
    {
        start(id, target);
        for (const auto limit = Clock::now() + 4s; !answers.contains(id) && Clock::now() < limit;) {
            run(5ms);
        }
        CallerAnswer none;
        none.status = 0;
        return answers.contains(id) ? std::move(answers[id]) : std::move(none);
    }
    std::size_t crashes() const
    {
        return std::size_t(
            std::count_if(upstreams.begin(), upstreams.end(), [](const auto &it) { return it->crashed; }));
    }

    MemoryBudget memory{MaxPendingBytes};
    asio::io_context context{1};
    MetricsRegistry metrics;
    ServiceRegistry serviceRegistry{"palermo", {}, 1};
    std::vector<std::unique_ptr<CrashingUpstream>> upstreams;
    QuotaLedger quotas{"10.1.0.1", {}, Clock::now()};
    Forwarder forwarder;
    std::map<std::string, CallerAnswer> answers;
};

} // namespace

// Guards against a request that is handed to one upstream after the other although each of them crashes.
BOOST_FIXTURE_TEST_CASE(requestThatCrashesUpstreamsIsNotHandedOn, Fixture)
{
    const auto begin = Clock::now();
    BOOST_TEST(send("deadly-1", "/ticket/7").status == 502U);
    BOOST_TEST((Clock::now() - begin < 1s));
    BOOST_TEST(crashes() == 2U);
}

// Guards against callers that end more upstreams with a request under which others have ended already. A refusal says
// truthfully that the request has not run, and when to come back.
BOOST_FIXTURE_TEST_CASE(requestThatCrashedUpstreamsIsRefusedToLaterCallers, Fixture)
{
    send("deadly-1", "/ticket/7");
    const auto before = crashes();
    for (unsigned n = 2; n < 6; ++n) {
        const auto answer = send("deadly-" + std::to_string(n), "/ticket/7");
        BOOST_TEST(answer.status == 503U);
        BOOST_TEST(answer.headers.find("Retry-After") != std::string::npos);
    }
    BOOST_TEST(crashes() == before);
    // Other requests are served all the same.
    BOOST_TEST(send("r1", "/ticket/8").status == 200U);
}

// Guards against requests that are given up because they ran beside one that crashes its upstream.
BOOST_FIXTURE_TEST_CASE(requestsBesideADeadlyOneAreServed, Fixture)
{
    for (unsigned n = 0; n < 16; ++n) {
        start("r" + std::to_string(n), "/ticket/" + std::to_string(100 + n));
    }
    run(10ms);
    send("deadly-1", "/ticket/7");
    run(500ms);
    for (unsigned n = 0; n < 16; ++n) {
        BOOST_TEST(answers["r" + std::to_string(n)].status == 200U);
    }
    BOOST_TEST(crashes() <= 2U);
}
