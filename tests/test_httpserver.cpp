#include "net/httpserver.h"

#include "loopback.h"
#include "rawcaller.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint serverAddress{loopbackAddress(0), 27961};
/// What a caller can have sent before its connection is closed: the limits of the server, and the socket buffers of
/// both sides.
constexpr std::size_t MaxSentWithoutEnd = 24 << 20;
constexpr std::size_t MaxPendingBytes = 4 << 20;

struct Fixture {
    Fixture()
        : server(context, serverAddress, limits(), [this](HttpRequest request, CancellationPtr) {
            return answer(std::move(request));
        })
    {
        server.start();
    }
    ~Fixture()
    {
        server.close();
        context.restart();
        context.run_for(50ms);
    }

    static HttpServer::Limits limits()
    {
        HttpServer::Limits limits;
        limits.maxPendingBytes = MaxPendingBytes;
        return limits;
    }

    awaitable<HttpResponse> answer(HttpRequest request)
    {
        ++requests;
        co_return makeResponse(http::status::ok, "text/plain", std::string(request.target()));
    }

    asio::io_context context{1};
    unsigned requests = 0;
    HttpServer server;
};

} // namespace

// Guards against memory that fills, and processor time that is spent, with a request that has no end.
BOOST_FIXTURE_TEST_CASE(endlessRequestsAreCutOff, Fixture)
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(8192, 'a');
    const std::vector<std::pair<std::string, std::string>> texts{
        {"", block},
        {"GET /", block},
        {"GET / HTTP/1.1\r\nX-Long: ", block},
        {"GET / HTTP/1.1\r\n", "X-More: 1\r\n"},
        {"POST / HTTP/1.1\r\nContent-Length: 10000000000\r\n\r\n", block},
        {chunked, "2000\r\n" + block + "\r\n"},
        {chunked, "1\r\na\r\n"},
        {chunked + "5;", block},
        {chunked, "1;" + block + "\r\na\r\n"},
        {chunked + "1\r\na\r\n0\r\nX-Trailer: ", block},
    };
    for (const auto &[prefix, repeated] : texts) {
        BOOST_TEST_CONTEXT(prefix << repeated.substr(0, 32))
        {
            RawCaller caller(context, serverAddress);
            caller.send(prefix);
            caller.sendWithoutEnd(repeated, 5s);
            BOOST_TEST(!caller.send(repeated));
            BOOST_TEST(caller.sent < MaxSentWithoutEnd);
        }
    }
    BOOST_TEST(requests == 0U);
}

// Guards against a limit for each request that many requests exceed together. What does not fit is refused as not run,
// and the memory of requests that have ended is available again.
BOOST_FIXTURE_TEST_CASE(memoryLimitCoversAllRequests, Fixture)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1800000\r\n\r\n";
    const std::string part(1 << 20, 'a');
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::size_t refused = 0;
    for (unsigned n = 0; n < 8; ++n) {
        callers.push_back(std::make_unique<RawCaller>(context, serverAddress));
        auto &caller = *callers.back();
        caller.send(head);
        const auto end = Clock::now() + 5s;
        for (std::size_t at = 0; at < part.size() && Clock::now() < end;) {
            const auto before = caller.sent;
            if (!caller.send(std::string_view(part).substr(at))) {
                break;
            }
            at += caller.sent - before;
            context.restart();
            context.poll();
        }
        refused += caller.receive(50ms).starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    BOOST_TEST(refused >= 4U);
    BOOST_TEST(refused <= 6U);
    callers.clear();
    RawCaller caller(context, serverAddress);
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    BOOST_TEST(caller.receive(100ms).starts_with("HTTP/1.1 200"));
}

namespace {

/// A server whose handlers take a while, and note whether their requests are cancelled meanwhile.
struct SlowFixture {
    SlowFixture()
        : server(context, serverAddress, {}, [this](HttpRequest request, CancellationPtr cancellation) {
            return answer(std::move(request), std::move(cancellation));
        })
    {
        server.start();
    }
    ~SlowFixture()
    {
        server.close();
        context.restart();
        context.run_for(50ms);
    }

    awaitable<HttpResponse> answer(HttpRequest request, CancellationPtr cancellation)
    {
        ++requests;
        last = cancellation;
        if (request.method() == http::verb::post) {
            cancellation->keepWithoutCaller();
        }
        co_await sleepFor(time);
        co_return makeResponse(http::status::ok,
                               "text/plain",
                               (cancellation->isCancelled() ? "cancelled " : "done ") + request.body()
                                   + std::string(padding, '.'));
    }

    /// A request that goes on if its caller leaves, or with another method one that does not.
    static std::string request(const std::string &body, const std::string &method = "POST")
    {
        return method + " / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    asio::io_context context{1};
    Milliseconds time{300};
    std::size_t padding = 0; ///< of answers, in bytes
    unsigned requests = 0;
    CancellationPtr last; ///< of the last request
    HttpServer server;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a close that is not noticed once a byte of the next request has arrived.
BOOST_FIXTURE_TEST_CASE(closeBehindEarlyBytesIsNoticed, SlowFixture)
{
    time = 3s;
    for (const std::size_t early : {1, 64 << 10}) {
        auto caller = std::make_unique<RawCaller>(context, serverAddress);
        caller->send(request("r1", "PUT"));
        caller->receive(100ms);
        caller->send(std::string(early, 'G'));
        caller->receive(100ms);
        BOOST_REQUIRE(last);
        BOOST_TEST(!last->isCancelled());
        caller.reset();
        context.restart();
        context.run_for(500ms);
        BOOST_TEST(last->isCancelled(), early << " early bytes");
        last.reset();
    }
}

// Guards against losing requests that are sent before the answers to earlier ones.
BOOST_FIXTURE_TEST_CASE(earlyRequestsAreAnsweredInOrder, SlowFixture)
{
    RawCaller caller(context, serverAddress);
    caller.send(request("r1"));
    caller.receive(100ms);
    caller.send(request("r2") + request("r3"));
    const auto answers = caller.receive(1200ms);
    BOOST_TEST(answers.find("done r1") < answers.find("done r2"));
    BOOST_TEST(answers.find("done r2") < answers.find("done r3"));
    BOOST_TEST(contains(answers, "done r3"));
}

// Guards against refusing a request because an empty line precedes it, as some callers send it.
BOOST_FIXTURE_TEST_CASE(emptyLinesBetweenRequestsAreIgnored, SlowFixture)
{
    time = 10ms;
    RawCaller caller(context, serverAddress);
    caller.send("\r\n" + request("r1") + "\r\n");
    BOOST_TEST(contains(caller.receive(100ms), "done r1"));
    caller.send("\r\n");
    caller.receive(50ms);
    caller.send("\r\n" + request("r2"));
    BOOST_TEST(contains(caller.receive(100ms), "done r2"));
    BOOST_TEST(!caller.closed);
}

// Guards against a reset that destroys the end of the last answer because the caller has sent more than has been read.
BOOST_FIXTURE_TEST_CASE(lastAnswerIsNotResetByUnreadBytes, SlowFixture)
{
    padding = 2 << 20; // more than the caller's side of the connection takes before it is read
    server.startClosing();
    RawCaller caller(context, serverAddress);
    caller.send(request("r1"));
    context.restart();
    context.run_for(100ms);
    caller.send(std::string(64 << 10, 'x'));
    context.restart();
    context.run_for(500ms);
    const auto answer = caller.receive(500ms);
    BOOST_TEST(contains(answer, "Connection: close"));
    BOOST_TEST(answer.size() > padding);
    BOOST_TEST(caller.closed);
    BOOST_TEST(caller.send("more"));
}

// Guards against a reset that destroys the refusal of a request whose caller still sends its body.
BOOST_FIXTURE_TEST_CASE(refusalIsNotResetByTheRestOfTheRequest, SlowFixture)
{
    RawCaller caller(context, serverAddress);
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000000\r\n\r\n" + std::string(64 << 10, 'x'));
    BOOST_TEST(contains(caller.receive(100ms), "HTTP/1.1 400"));
    BOOST_TEST(caller.send("more"));
    BOOST_TEST(caller.send("more"));
}

// Guards against losing the answer of a caller that closes its sending side after its request, and against cancelling a
// request whose effect is wanted although its caller may have left.
BOOST_FIXTURE_TEST_CASE(halfClosedConnectionsGetTheirAnswer, SlowFixture)
{
    RawCaller caller(context, serverAddress);
    caller.send(request("r1"));
    caller.receive(100ms);
    caller.closeSendingSide();
    BOOST_TEST(contains(caller.receive(500ms), "done r1"));
    RawCaller other(context, serverAddress);
    other.send(request("r2", "PUT"));
    other.receive(100ms);
    other.closeSendingSide();
    BOOST_TEST(contains(other.receive(500ms), "cancelled r2"));
}

// Guards against running a request whose caller has closed its connection before it was started.
BOOST_FIXTURE_TEST_CASE(earlyRequestsOfCallersThatLeftAreNotRun, SlowFixture)
{
    RawCaller caller(context, serverAddress);
    caller.send(request("r1") + request("r2"));
    caller.receive(100ms);
    caller.closeSendingSide();
    const auto answers = caller.receive(1s);
    BOOST_TEST(contains(answers, "not-run"));
    BOOST_TEST(requests == 1U);
}

// Guards against closing a connection while a request arrives on it.
BOOST_FIXTURE_TEST_CASE(requestsThatAreBeingReadOutlastAClose, SlowFixture)
{
    const auto text = request("r1");
    RawCaller caller(context, serverAddress);
    caller.send(text.substr(0, 20));
    caller.receive(50ms);
    server.close();
    caller.receive(50ms);
    caller.send(text.substr(20));
    BOOST_TEST(contains(caller.receive(500ms), "done r1"));
    BOOST_TEST(caller.closed);
}
