#include "gateway/callerserver.h"
#include "net/httpserver.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

const Endpoint callersAddress{"127.0.0.1", 27911};
const Endpoint firstAddress{"127.0.0.2", 27912};
const Endpoint secondAddress{"127.0.0.3", 27912};

const ForwardingHeaders headers{"X-Id", "X-Left", "X-Own", "X-For", "X-Load", "X-Not-Run"};

std::shared_ptr<const RouteTable> makeTable(bool idempotent)
{
    Route route;
    route.name = "all";
    route.host = "a.example";
    route.prefix = "/";
    route.targets = {{"orders", 1}};
    route.idempotent = idempotent;
    RouteTable::Builder builder(1);
    builder.service("orders", {"/healthz", 0});
    builder.route(route);
    return builder.build();
}

/// A caller, an instance and two upstreams whose answers a test sets.
struct Fixture {
    using UpstreamAnswer = std::function<HttpResponse(const HttpRequest &)>;

    Fixture()
        : first(context,
                firstAddress,
                {},
                [this](HttpRequest request, CancellationPtr cancellation) {
                    firstCancellation = std::move(cancellation);
                    return answerAs(firstAnswer, std::move(request), firstDelay);
                })
        , second(
              context,
              secondAddress,
              {},
              [this](HttpRequest request, CancellationPtr) { return answerAs(secondAnswer, std::move(request), 0ms); })
        , forwarder(context, serviceTable, headers, metrics)
        , callers(context, callersAddress, forwarder, serviceTable, headers)
    {
        first.start();
        second.start();
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

    static awaitable<HttpResponse> answerAs(const UpstreamAnswer &answer, HttpRequest request, Milliseconds delay)
    {
        if (delay.count() > 0) {
            co_await sleepFor(delay);
        }
        co_return answer(request);
    }

    void addUpstream(const std::string &id, const Endpoint &address)
    {
        RegisteredUpstream upstream;
        upstream.id = id;
        upstream.service = "orders";
        upstream.address = address;
        upstream.zone = "palermo";
        upstream.slots = 4;
        serviceTable.putUpstream(upstream, Clock::now());
    }

    /// The upstream's own whole answer.
    static HttpResponse ownAnswerTo(const HttpRequest &request, http::status status)
    {
        auto response = makeResponse(status, "text/plain", "done");
        response.set(headers.requestId, request[headers.requestId]);
        response.set(headers.signature, "s");
        return response;
    }

    awaitable<void> ask()
    {
        tcp::socket socket(context);
        co_await socket.async_connect(toAsio<tcp>(callersAddress), asio::use_awaitable);
        http::request<http::string_body> request{http::verb::post, "/pay", 11};
        request.set(http::field::host, "a.example");
        request.set(headers.requestId, "r1");
        request.set(headers.deadline, "3000");
        request.body() = "x";
        request.prepare_payload();
        co_await http::async_write(socket, request, asio::use_awaitable);
        beast::flat_buffer buf;
        http::response<http::string_body> response;
        co_await http::async_read(socket, buf, response, asio::use_awaitable);
        answer = std::move(response);
    }

    /// Sends a request, closes its connection 100 ms later and waits for 500 ms.
    void askAndLeave()
    {
        tcp::socket socket(context);
        socket.connect(toAsio<tcp>(callersAddress));
        const std::string text = "GET /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        context.restart();
        context.run_for(100ms);
        socket.close();
        context.restart();
        context.run_for(500ms);
    }

    /// Status of the answer; 0 if there was none after a time that no working program needs.
    unsigned askAndWait()
    {
        answer.reset();
        asio::co_spawn(context, ask(), asio::detached);
        const auto limit = Clock::now() + 10s;
        while (!answer && Clock::now() < limit) {
            context.restart();
            context.run_for(10ms);
        }
        return answer ? answer->result_int() : 0;
    }

    asio::io_context context{1};
    MetricsRegistry metrics;
    ServiceTable serviceTable{"palermo", {}, 1};
    UpstreamAnswer firstAnswer;
    UpstreamAnswer secondAnswer;
    Milliseconds firstDelay{0};
    CancellationPtr firstCancellation; ///< of the last request there
    HttpServer first;
    HttpServer second;
    Forwarder forwarder;
    CallerServer callers;
    std::optional<http::response<http::string_body>> answer;
};

} // namespace

// Guards against refusals by an instance that has just started and reads the routes a moment later, as after a power
// cut.
BOOST_FIXTURE_TEST_CASE(requestsWaitForTheFirstRoutes, Fixture)
{
    addUpstream("i-1", firstAddress);
    firstAnswer = [](const HttpRequest &request) { return ownAnswerTo(request, http::status::ok); };
    asio::steady_timer timer(context, 200ms);
    timer.async_wait([this](error_code) { serviceTable.applyRoutes(makeTable(false)); });
    BOOST_TEST(askAndWait() == 200U);
}

// Guards against a caller that is held to its deadline by an instance that never learns the routes.
BOOST_FIXTURE_TEST_CASE(requestsWithoutRoutesAreRefusedAsNotRun, Fixture)
{
    const auto begin = Clock::now();
    BOOST_TEST(askAndWait() == 503U);
    BOOST_TEST((Clock::now() - begin < 2500ms));
    BOOST_TEST((*answer)[http::field::retry_after] != "");
}

// Guards against work that is lost, or run by a stranger, when an address belongs to another upstream by now.
BOOST_FIXTURE_TEST_CASE(foreignIdentityMovesTheRequestOn, Fixture)
{
    serviceTable.applyRoutes(makeTable(false));
    addUpstream("i-1", firstAddress);
    int foreign = 0;
    firstAnswer = [&](const HttpRequest &request) {
        BOOST_TEST(request[headers.expectedIdentity] == "i-1");
        ++foreign;
        addUpstream("i-2", secondAddress);
        auto response = ownAnswerTo(request, http::status::misdirected_request);
        response.set(headers.notRun, "1");
        return response;
    };
    secondAnswer = [](const HttpRequest &request) { return ownAnswerTo(request, http::status::ok); };
    serviceTable.divideRetryReserve(1);
    unsigned served = 0;
    for (int n = 0; n < 20; ++n) {
        served += askAndWait() == 200;
    }
    BOOST_TEST(foreign == 1);
    BOOST_TEST(served == 20U);
}

// Guards against a second run of work that must not be repeated after its upstream broke off.
BOOST_FIXTURE_TEST_CASE(failedWorkWithOneChanceIsNotRepeated, Fixture)
{
    serviceTable.applyRoutes(makeTable(false));
    addUpstream("i-1", firstAddress);
    addUpstream("i-2", secondAddress);
    int runs = 0;
    firstAnswer = secondAnswer = [&](const HttpRequest &request) {
        ++runs;
        return ownAnswerTo(request, http::status::internal_server_error);
    };
    BOOST_TEST(askAndWait() == 500U);
    BOOST_TEST(runs == 1);
}

// Guards against an answer that is passed on although it belongs to another request.
BOOST_FIXTURE_TEST_CASE(answersWithAnotherIdentifierAreNotPassedOn, Fixture)
{
    serviceTable.applyRoutes(makeTable(false));
    addUpstream("i-1", firstAddress);
    firstAnswer = [](const HttpRequest &request) {
        auto response = ownAnswerTo(request, http::status::ok);
        response.set(headers.requestId, "r0");
        return response;
    };
    // The upstream may still send the right one, until the time is over.
    BOOST_TEST(askAndWait() == 504U);
}

// Guards against an upstream that works on for a caller that has gone.
BOOST_FIXTURE_TEST_CASE(idempotentWorkIsCancelledWithItsCaller, Fixture)
{
    serviceTable.applyRoutes(makeTable(true));
    addUpstream("i-1", firstAddress);
    firstDelay = 2s;
    firstAnswer = [](const HttpRequest &request) { return ownAnswerTo(request, http::status::ok); };
    askAndLeave();
    BOOST_REQUIRE(firstCancellation);
    BOOST_TEST(firstCancellation->isCancelled());
}

// Guards against the opposite for work that must not be repeated: its effect is wanted although nobody waits.
BOOST_FIXTURE_TEST_CASE(workWithOneChanceGoesOnWithoutItsCaller, Fixture)
{
    serviceTable.applyRoutes(makeTable(false));
    addUpstream("i-1", firstAddress);
    firstDelay = 2s;
    firstAnswer = [](const HttpRequest &request) { return ownAnswerTo(request, http::status::ok); };
    askAndLeave();
    BOOST_REQUIRE(firstCancellation);
    BOOST_TEST(!firstCancellation->isCancelled());
}
