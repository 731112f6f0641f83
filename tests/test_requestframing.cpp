#include "gateway/callerserver.h"
#include "loopback.h"
#include "net/httpserver.h"
#include "rawcaller.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint callerAddress{loopbackAddress(0), 27971};
const Endpoint upstreamAddress{loopbackAddress(1), 27972};
constexpr std::size_t MaxPendingBytes = 1 << 20;
const ForwardingHeaders headers{"X-Id", "X-Left", "X-Own", "X-For", "X-Load", "X-Not-Run", "X-Rate", "X-Leaving"};

/// A request that must not run, as a part of the body of another one.
const std::string smuggled = "POST /smuggled HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n";

std::string post(const std::string &framing, const std::string &version = "1.1")
{
    return "POST /first HTTP/" + version + "\r\nHost: a.example\r\nX-Id: r1\r\nX-Left: 3000\r\n" + framing + "\r\n";
}

std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

/// Requests whose end is not known for certain, each with a second request in what may be its body.
std::vector<std::string> ambiguousRequests()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string length = "Content-Length: " + std::to_string(smuggled.size()) + "\r\n";
    const std::string chunks = chunk(smuggled) + "0\r\n\r\n";
    std::vector<std::string> texts;
    for (const auto &value : std::vector<std::string>{"gzip",
                                                      "identity",
                                                      "chunked, gzip",
                                                      "chunked, identity",
                                                      "chunked, chunked",
                                                      "gzip, chunked",
                                                      "xchunked",
                                                      "chunkedx",
                                                      "chunked;q=1",
                                                      "\"chunked\"",
                                                      "chunked,",
                                                      "\vchunked",
                                                      std::string("chunked\0", 8),
                                                      ""}) {
        const std::string line = "Transfer-Encoding: " + value + "\r\n";
        texts.push_back(post(line) + smuggled);
        texts.push_back(post(line) + chunks);
        texts.push_back(post(line + length) + smuggled);
        texts.push_back(post(length + line) + smuggled);
    }
    texts.push_back(post(chunked + length) + "0\r\n\r\n" + smuggled);
    texts.push_back(post(length + chunked) + "0\r\n\r\n" + smuggled);
    texts.push_back(post(chunked + chunked) + chunks);
    texts.push_back(post(chunked + "Transfer-Encoding: gzip\r\n") + chunks);
    texts.push_back(post("Transfer-Encoding: gzip\r\n" + chunked) + chunks);
    texts.push_back(post("Transfer-Encoding: identity\r\n" + chunked) + chunks);
    texts.push_back(post("Transfer-Encoding : chunked\r\n") + chunks);
    texts.push_back(post("Transfer-Encoding\t: chunked\r\n") + chunks);
    texts.push_back(post("Transfer-Encoding:\r\n chunked, gzip\r\n") + chunks);
    texts.push_back(post(chunked, "1.0") + "0\r\n\r\n" + smuggled);
    texts.push_back(post("Connection: keep-alive\r\n" + chunked, "1.0") + chunks);
    texts.push_back(post("Connection: keep-alive\r\nTransfer-Encoding: gzip\r\n" + length, "1.0") + smuggled);
    texts.push_back(post("Content-Length: 0\r\nContent-Length: 5\r\n") + smuggled);
    texts.push_back(post("Content-Length: +5\r\n") + smuggled);
    return texts;
}

/// Requests whose body is framed properly.
std::vector<std::string> properRequests()
{
    const std::string chunks = chunk("abc") + "0\r\n\r\n";
    return {post("Transfer-Encoding: chunked\r\n") + chunks,
            post("transfer-encoding:   Chunked  \r\n") + chunks,
            post("Content-Length: 3\r\n") + "abc"};
}

struct Fixture {
    ~Fixture()
    {
        context.restart();
        context.run_for(50ms);
    }

    awaitable<HttpResponse> answer(HttpRequest request)
    {
        targets.emplace_back(request.target());
        body = request.body();
        auto response = makeResponse(http::status::ok, "text/plain", "done");
        response.set(headers.requestId, request[headers.requestId]);
        response.set(headers.signature, "s");
        co_return response;
    }

    /// Sends all bytes at once, then the second request once more after the answer.
    void checkRefused(const std::string &text)
    {
        targets.clear();
        RawCaller caller(context, callerAddress);
        caller.send(text);
        const auto received = caller.receive(20ms);
        BOOST_TEST((received.starts_with("HTTP/1.1 400 ") || received.starts_with("HTTP/1.1 501 ")));
        BOOST_TEST(boost::algorithm::icontains(received, "\r\nConnection: close\r\n"));
        caller.send(smuggled);
        caller.receive(20ms);
        BOOST_TEST(caller.closed);
        BOOST_TEST(targets.empty());
    }

    void checkAll()
    {
        for (const auto &text : ambiguousRequests()) {
            BOOST_TEST_CONTEXT(text)
            {
                checkRefused(text);
            }
        }
        for (const auto &text : properRequests()) {
            BOOST_TEST_CONTEXT(text)
            {
                targets.clear();
                RawCaller caller(context, callerAddress);
                caller.send(text);
                BOOST_TEST(caller.receive(100ms).starts_with("HTTP/1.1 200 "));
                BOOST_TEST(targets.size() == 1U);
                BOOST_TEST(body == "abc");
            }
        }
    }

    asio::io_context context{1};
    std::vector<std::string> targets; ///< of the requests that have run
    std::string body; ///< of the last one
};

struct OwnInterfaceFixture : Fixture {
    OwnInterfaceFixture()
    {
        server.start();
    }
    ~OwnInterfaceFixture()
    {
        server.close();
    }

    HttpServer server{context, callerAddress, {}, [this](HttpRequest request, CancellationPtr) {
                          return answer(std::move(request));
                      }};
};

struct GatewayFixture : Fixture {
    GatewayFixture()
    {
        Route route;
        route.name = "all";
        route.host = "a.example";
        route.prefix = "/";
        route.targets = {{"orders", 1}};
        RouteTable::Builder builder(1);
        builder.service("orders", {"/healthz", 0});
        builder.route(route);
        serviceRegistry.applyRoutes(builder.build());
        RegisteredUpstream registered;
        registered.id = "i-1";
        registered.service = "orders";
        registered.address = upstreamAddress;
        registered.zone = "palermo";
        registered.slots = 4;
        serviceRegistry.putUpstream(registered, Clock::now());
        upstream.start();
        callers.start();
    }
    ~GatewayFixture()
    {
        callers.close();
        upstream.close();
    }

    MemoryBudget memory{MaxPendingBytes};
    MetricsRegistry metrics;
    ServiceRegistry serviceRegistry{"palermo", {}, 1};
    HttpServer upstream{context, upstreamAddress, {}, [this](HttpRequest request, CancellationPtr) {
                            return answer(std::move(request));
                        }};
    QuotaLedger quotas{"10.1.0.1", {}, Clock::now()};
    Forwarder forwarder{context, serviceRegistry, quotas, headers, metrics, memory};
    CallerServer callers{context, callerAddress, forwarder, serviceRegistry, headers, memory};
};

} // namespace

// Guards against a request that runs without its body, while what may be its body runs as a second request that no
// caller has sent.
BOOST_FIXTURE_TEST_CASE(ambiguousRequestsAreRefusedByTheOwnInterface, OwnInterfaceFixture)
{
    checkAll();
}

// Guards against the same at the callers' interface of the gateway.
BOOST_FIXTURE_TEST_CASE(ambiguousRequestsAreRefusedByTheGateway, GatewayFixture)
{
    checkAll();
}
