#include "gateway/callerserver.h"
#include "loopback.h"
#include "rawcaller.h"
#include "rawupstream.h"
#include "routingsupport.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint callerAddress{loopbackAddress(0), 27991};
const Endpoint firstAddress{loopbackAddress(1), 27992};
const Endpoint secondAddress{loopbackAddress(2), 27992};
constexpr std::size_t MaxPendingBytes = 8 << 20;
/// A link at 1% of 1,000 Mbit/s that twelve connections share: about 100 kB/s for each.
constexpr std::size_t PartBytes = 2000;
constexpr Milliseconds PartInterval{20};

/// Two upstreams behind narrow links.
struct Fixture {
    explicit Fixture(bool idempotent = false)
    {
        serviceRegistry.applyRoutes(makeTable(idempotent, idempotent ? 2 : 1));
        registerUpstream(serviceRegistry, "i-1", firstAddress);
        registerUpstream(serviceRegistry, "i-2", secondAddress);
        first.script = second.script = answerInParts(200'000);
        callers.start();
    }
    ~Fixture()
    {
        callers.close();
        first.close();
        second.close();
        context.restart();
        context.run_for(50ms);
    }

    static RawUpstream::Script answerInParts(std::size_t size)
    {
        return [size](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
            const std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id
                + "\r\nX-Own: s\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a');
            for (std::size_t at = 0; at < text.size(); at += PartBytes) {
                const auto part = text.substr(at, PartBytes);
                if (!co_await self.send(socket, part)) {
                    co_return;
                }
                co_await sleepFor(PartInterval);
            }
        };
    }

    /// Checks that a request with a deadline of 8 s gets the whole answer of an upstream.
    void checkWholeAnswer(RawCaller &caller, std::size_t size)
    {
        const auto limit = Clock::now() + 10s;
        std::string received;
        while (Clock::now() < limit && !received.ends_with(std::string(size, 'a'))) {
            received = caller.receive(20ms);
        }
        BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
        BOOST_TEST(received.ends_with("\r\n\r\n" + std::string(size, 'a')));
    }

    MemoryBudget memory{MaxPendingBytes};
    asio::io_context context{1};
    RawUpstream first{context, firstAddress, "X-Id"};
    RawUpstream second{context, secondAddress, "X-Id"};
    MetricsRegistry metrics;
    ServiceRegistry serviceRegistry{"palermo", {}, 1};
    QuotaLedger quotas{"10.1.0.1", {}, Clock::now()};
    Forwarder forwarder{context, serviceRegistry, quotas, headers, metrics, memory};
    CallerServer callers{context, callerAddress, forwarder, serviceRegistry, headers, memory};
};

struct IdempotentFixture : Fixture {
    IdempotentFixture()
        : Fixture(true)
    {
    }
};

const std::string requestHead = "POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\nX-Left: 8000\r\n";

} // namespace

// Guards against a non-idempotent request that is given up or sent again while its answer arrives slowly.
BOOST_FIXTURE_TEST_CASE(slowAnswersAreWaitedFor, Fixture)
{
    RawCaller caller(context, callerAddress);
    caller.send(requestHead + "Content-Length: 1\r\n\r\nx");
    checkWholeAnswer(caller, 200'000);
    BOOST_TEST(first.requests + second.requests == 1U);
}

// Guards against an answer that is thrown away because an idempotent request is sent to a second upstream as well.
BOOST_FIXTURE_TEST_CASE(slowAnswersToIdempotentRequestsArriveWhole, IdempotentFixture)
{
    RawCaller caller(context, callerAddress);
    caller.send(requestHead + "Content-Length: 1\r\n\r\nx");
    checkWholeAnswer(caller, 200'000);
    BOOST_TEST(first.requests + second.requests <= 2U);
}

// Guards against a request whose body arrives slowly, and a caller that reads its answer slowly, being cut off.
BOOST_FIXTURE_TEST_CASE(slowCallersAreServed, Fixture)
{
    first.script = second.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        const std::string text = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Own: s\r\nContent-Length: 4000000\r\n\r\n"
            + std::string(4'000'000, 'a');
        co_await self.send(socket, text);
    };
    RawCaller caller(context, callerAddress);
    const std::string body(100'000, 'b');
    caller.send(requestHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    for (std::size_t at = 0; at < body.size(); at += PartBytes) {
        BOOST_REQUIRE(caller.send(body.substr(at, PartBytes)));
        caller.receive(PartInterval);
    }
    // The answer fills the buffers of the connection before the caller begins to read.
    context.restart();
    context.run_for(2s);
    checkWholeAnswer(caller, 4'000'000);
    BOOST_TEST(first.requests + second.requests == 1U);
}
