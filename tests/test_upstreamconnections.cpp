#include "gateway/upstreamconnections.h"

#include "loopback.h"
#include "rawupstream.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const ForwardingHeaders headers{"X-Id", "X-Left", "X-Own", "X-For", "X-Load", "X-Not-Run", "X-Rate", "X-Leaving"};
const Endpoint upstreamAddress{loopbackAddress(0), 27921};
constexpr std::size_t MaxPendingBytes = 2 << 20;
/// What an upstream may have sent before its connection is closed: the limits of this side, and the socket buffers of
/// both sides.
constexpr std::size_t MaxSentWithoutEnd = 24 << 20;

std::string answerTo(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Own: s\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

struct Fixture {
    explicit Fixture(std::size_t memoryBytes = MaxPendingBytes)
        : memory(memoryBytes)
        , connections(context, headers, memory)
    {
    }
    ~Fixture()
    {
        upstream.close();
        run(50ms);
    }

    void run(Milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Starts an exchange whose result is stored in `result`.
    std::shared_ptr<Exchange> start(const std::string &id, std::optional<ExchangeResult> &result)
    {
        UpstreamConnections::Request request;
        request.address = upstreamAddress;
        request.identity = "i-1";
        request.head = "GET / HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\n\r\n";
        request.requestId = id;
        return connections.send(std::move(request), [&result](ExchangeResult it) { result = std::move(it); });
    }

    /// Runs one exchange to its end.
    ExchangeResult exchange(const std::string &id)
    {
        std::optional<ExchangeResult> result;
        const auto pending = start(id, result);
        const auto limit = Clock::now() + 20s;
        while (!result && Clock::now() < limit) {
            run(10ms);
        }
        BOOST_REQUIRE(result);
        return std::move(*result);
    }

    /// Checks that an exchange with an upstream that sends `prefix` and then `repeated` without end fails, and that the
    /// connection is closed after a limited number of bytes.
    void checkEndless(const std::string &prefix, const std::string &repeated)
    {
        upstream.script = [prefix, repeated](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
            co_await self.send(socket, prefix);
            co_await self.sendWithoutEnd(socket, repeated);
        };
        upstream.sent = 0;
        const auto closed = upstream.closedByPeer;
        BOOST_TEST((exchange("r1").outcome == ExchangeOutcome::Lost));
        run(100ms);
        BOOST_TEST(upstream.closedByPeer == closed + 1);
        BOOST_TEST(upstream.sent < MaxSentWithoutEnd);
    }

    /// Checks that an answer which ends with the connection is not taken for a complete one.
    void checkBrokenOff(const std::string &text, bool reset)
    {
        upstream.script = [text, reset](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
            co_await self.send(socket, text);
            co_await sleepFor(5ms);
            error_code ignored;
            if (reset) {
                socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            socket.close(ignored);
        };
        BOOST_TEST((exchange("r1").outcome == ExchangeOutcome::Lost));
    }

    MemoryBudget memory;
    asio::io_context context{1};
    RawUpstream upstream{context, upstreamAddress, "X-Id"};
    UpstreamConnections connections;
};

/// So much memory that it does not limit the bytes without content that an answer may have.
struct LargeMemoryFixture : Fixture {
    LargeMemoryFixture()
        : Fixture(std::size_t(1) << 30)
    {
    }
};

} // namespace

// Guards against an answer of an upstream in trouble whose status is none: 000 was taken for an interim answer, so that
// the caller waited for another one until its deadline, and 600 was passed on.
BOOST_FIXTURE_TEST_CASE(answersWithAnInvalidStatusAreLost, Fixture)
{
    for (const std::string status : {"000", "099", "600", "999", "20", "2000"}) {
        for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
            upstream.script = [&](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
                const auto valid = answerTo(id, "x");
                const auto text = id == "r1" ? valid : before + "HTTP/1.1 " + status + valid.substr(12);
                co_await self.send(socket, text);
            };
            BOOST_TEST_CONTEXT("status " << status << (before.empty() ? "" : " after an interim answer"))
            {
                BOOST_TEST((exchange("r1").outcome == ExchangeOutcome::Answered));
                const auto begin = Clock::now();
                BOOST_TEST((exchange("r2").outcome == ExchangeOutcome::Lost));
                BOOST_TEST((Clock::now() - begin < 5s));
            }
        }
    }
}

// Guards against an answer that is passed on twice: the second copy of an earlier answer arrives where the answer to
// the next request is expected.
BOOST_FIXTURE_TEST_CASE(secondCopyOfAnEarlierAnswerIsSkipped, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        if (id == "r2") {
            co_await self.send(socket, answerTo("r1", "first"));
        }
        co_await self.send(socket, answerTo(id, id == "r1" ? "first" : "second"));
    };
    BOOST_TEST(exchange("r1").message.body().text() == "first");
    BOOST_TEST(exchange("r2").message.body().text() == "second");
    BOOST_TEST(upstream.connections == 1U);
}

// Guards against the same when the second copy arrives while the connection is idle: the connection is not used again.
BOOST_FIXTURE_TEST_CASE(connectionWithUnexpectedDataIsNotReused, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        co_await self.send(socket, answerTo(id, id));
        co_await sleepFor(20ms);
        co_await self.send(socket, answerTo(id, id));
    };
    BOOST_TEST(exchange("r1").message.body().text() == "r1");
    run(60ms);
    BOOST_TEST(exchange("r2").message.body().text() == "r2");
    BOOST_TEST(upstream.connections == 2U);
}

// Guards against the same when the second copy follows the first without a gap, as bytes after the announced length.
BOOST_FIXTURE_TEST_CASE(connectionWithBytesAfterTheAnswerIsNotReused, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        co_await self.send(socket, answerTo(id, id) + answerTo(id, id));
    };
    BOOST_TEST(exchange("r1").message.body().text() == "r1");
    BOOST_TEST(exchange("r2").message.body().text() == "r2");
    BOOST_TEST(upstream.connections == 2U);
}

// Guards against taking an answer without an identifier, which may belong to any request, for one that is known to be
// the right one.
BOOST_FIXTURE_TEST_CASE(answerWithoutAnIdentifierIsNotIdentified, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
        co_await self.send(socket, "HTTP/1.1 200 OK\r\nX-Own: s\r\nContent-Length: 2\r\n\r\nok");
    };
    BOOST_TEST(!exchange("r1").identified);
    exchange("r2");
    BOOST_TEST(upstream.connections == 2U);
}

// Guards against taking an earlier refusal, which the upstream writes once more, for the answer to a request that is
// sent again: the caller is told that a request has not run which is running.
BOOST_FIXTURE_TEST_CASE(refusedRequestsAreSentAgainOnAnotherConnection, Fixture)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    bool refused = false;
    upstream.script = [&](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        if (id == "r1" && !std::exchange(refused, true)) {
            co_await self.send(socket, refusal);
            co_return;
        }
        if (self.connections == 1) {
            co_await self.send(socket, refusal);
        }
        co_await self.send(socket, answerTo(id, "ran"));
    };
    BOOST_TEST(exchange("r1").message.result_int() == 503U);
    BOOST_TEST(exchange("r1").message.result_int() == 200U);
    BOOST_TEST(upstream.connections == 2U);
    // Other requests use both connections; copies of the refusal are told apart by the identifier.
    BOOST_TEST(exchange("r2").message.body().text() == "ran");
    BOOST_TEST(upstream.connections == 2U);
}

// Guards against trusting an answer without an identifier on a connection that has carried other requests.
BOOST_FIXTURE_TEST_CASE(answerWithoutAnIdentifierMayBelongToAnEarlierRequest, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        const std::string refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        const auto text = id == "r2" ? refusal : answerTo(id, id);
        co_await self.send(socket, text);
    };
    auto result = exchange("r1");
    BOOST_TEST(result.identified);
    BOOST_TEST(result.firstOnConnection);
    result = exchange("r2");
    BOOST_TEST(upstream.connections == 1U);
    BOOST_TEST(!result.identified);
    BOOST_TEST(!result.firstOnConnection);
}

// Guards against passing on a part of an answer as a whole one.
BOOST_FIXTURE_TEST_CASE(answersThatBreakOffAreLost, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\n";
    checkBrokenOff(head.substr(0, 20), false);
    checkBrokenOff(head + "Content-Length: 10\r\n\r\n12345", false);
    checkBrokenOff(head + "Content-Length: 10\r\n\r\n12345", true);
    checkBrokenOff(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", false);
    checkBrokenOff(head + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n", false);
    checkBrokenOff(head + "\r\n12345", true);
    checkBrokenOff("HTTP/1.1 100 Continue\r\n\r\n", false);
}

// Guards against an answer that an upstream breaks off anywhere, in its head above all, and that is passed on as a
// whole one with an empty or short body.
BOOST_FIXTURE_TEST_CASE(answersThatBreakOffAnywhereAreLost, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\nContent-Type: text/plain\r\n";
    for (const auto &text : {head + "Content-Length: 12\r\n\r\n123456789012",
                             head + "Transfer-Encoding: chunked\r\n\r\nc\r\n123456789012\r\n0\r\n\r\n",
                             "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 1\r\n\r\n1"}) {
        for (std::size_t n = 0; n < text.size(); ++n) {
            BOOST_TEST_CONTEXT(n << " bytes of " << text)
            {
                checkBrokenOff(text.substr(0, n), n % 2 == 1);
            }
        }
    }
}

// Guards against losing answers that end with the connection on purpose.
BOOST_FIXTURE_TEST_CASE(answerWithoutLengthEndsWithTheConnection, Fixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
        co_await self.send(socket, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\n\r\n12345");
        error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    };
    const auto result = exchange("r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    BOOST_TEST(result.message.body().text() == "12345");
}

// Guards against memory that fills with bytes that are no answer, which an upstream in trouble sends until its
// connection is closed.
BOOST_FIXTURE_TEST_CASE(endlessAnswersAreCutOff, Fixture)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\n";
    const std::string block(8192, 'a');
    checkEndless("", block);
    checkEndless("HTTP/1.1 200 OK\r\nX-Long: ", block);
    checkEndless("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n");
    checkEndless("", "HTTP/1.1 100 Continue\r\n\r\n");
    checkEndless("", answerTo("r0", block));
    checkEndless(head + "\r\n", block);
    checkEndless(head + "Content-Length: 10000000000\r\n\r\n", block);
    checkEndless(head + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + block + "\r\n");
    checkEndless(head + "Transfer-Encoding: chunked\r\n\r\n5;", block);
    checkEndless(head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + block + "\r\na\r\n");
    checkEndless(head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Trailer: ", block);
}

// Guards against processor time that is spent until the deadline on answers that make no progress.
BOOST_FIXTURE_TEST_CASE(endlessFramingIsCutOff, LargeMemoryFixture)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    checkEndless(chunked, "1\r\na\r\n");
    checkEndless(chunked, "1;" + std::string(64, 'a') + "\r\na\r\n");
    checkEndless(chunked + "1\r\na\r\n0\r\n", "X-Trailer: 1\r\n");
}

// Guards against losing answers that are sent in small parts.
BOOST_FIXTURE_TEST_CASE(answersInSmallChunksAreWhole, LargeMemoryFixture)
{
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string) -> awaitable<void> {
        std::string text = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Own: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (unsigned n = 0; n < 20'000; ++n) {
            text += "1\r\na\r\n";
        }
        for (unsigned n = 0; n < 20'000; ++n) {
            text += "10\r\n0123456789abcdef\r\n";
        }
        text += "0\r\n\r\n";
        co_await self.send(socket, text);
    };
    const auto result = exchange("r1");
    BOOST_TEST((result.outcome == ExchangeOutcome::Answered));
    BOOST_TEST(result.message.body().size() == 340'000U);
}

// Guards against a limit for each answer that many answers exceed together.
BOOST_FIXTURE_TEST_CASE(memoryLimitCoversAllAnswers, Fixture)
{
    const std::string part(MaxPendingBytes / 4, 'a');
    upstream.script = [part](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        co_await self.send(socket,
                           "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Own: s\r\nContent-Length: 4000000\r\n\r\n");
        co_await self.send(socket, part);
    };
    std::vector<std::optional<ExchangeResult>> results(12);
    std::vector<std::shared_ptr<Exchange>> pending;
    for (std::size_t n = 0; n < results.size(); ++n) {
        pending.push_back(start("r" + std::to_string(n), results[n]));
    }
    run(500ms);
    const auto failed = std::count_if(results.begin(), results.end(), [](const auto &it) { return it.has_value(); });
    BOOST_TEST(failed >= 8);
    BOOST_TEST(failed < 12);
    // Memory of cancelled exchanges is available again.
    for (const auto &it : pending) {
        it->cancel();
    }
    pending.clear();
    run(50ms);
    upstream.script = [](RawUpstream &self, tcp::socket &socket, std::string id) -> awaitable<void> {
        co_await self.send(socket, answerTo(id, std::string(MaxPendingBytes / 2, 'b')));
    };
    BOOST_TEST((exchange("r100").outcome == ExchangeOutcome::Answered));
}
