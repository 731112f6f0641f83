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
