#pragma once

#include "gateway/callerserver.h"
#include "loopback.h"
#include "net/httpserver.h"
#include "rawcaller.h"
#include "routingsupport.h"

namespace laburnumspar::detail {

inline const Endpoint callerAddress{loopbackAddress(0), 27911};
inline const Endpoint firstAddress{loopbackAddress(1), 27912};
inline const Endpoint secondAddress{loopbackAddress(2), 27912};

inline constexpr std::size_t MemoryBytes = 1 << 20;

/// A caller server and two upstreams whose answers are set by the test.
struct CallerServerFixture {
    using UpstreamAnswer = std::function<HttpResponse(const HttpRequest &)>;

    explicit CallerServerFixture(std::size_t memoryBytes = MemoryBytes)
        : memory(memoryBytes)
        , first(context,
                firstAddress,
                {},
                [this](HttpRequest request, CancellationPtr cancellation) {
                    firstCancellation = std::move(cancellation);
                    return answerAfter(firstAnswer, std::move(request), firstDelay);
                })
        , second(context,
                 secondAddress,
                 {},
                 [this](HttpRequest request, CancellationPtr) {
                     return answerAfter(secondAnswer, std::move(request), Milliseconds(0));
                 })
        , forwarder(context, serviceRegistry, quotas, headers, metrics, memory)
        , callers(context, callerAddress, forwarder, serviceRegistry, headers, memory)
    {
        first.start();
        second.start();
        callers.start();
    }
    ~CallerServerFixture()
    {
        callers.close();
        first.close();
        second.close();
        context.restart();
        context.run_for(Milliseconds(50));
    }

    static awaitable<HttpResponse> answerAfter(const UpstreamAnswer &answer, HttpRequest request, Milliseconds delay)
    {
        if (delay.count() > 0) {
            co_await sleepFor(delay);
        }
        co_return answer(request);
    }

    void addUpstream(const std::string &id, const Endpoint &address)
    {
        registerUpstream(serviceRegistry, id, address);
    }

    /// A complete, signed answer of the upstream.
    static HttpResponse signedAnswer(const HttpRequest &request, http::status status)
    {
        auto response = makeResponse(status, "text/plain", "done");
        response.set(headers.requestId, request[headers.requestId]);
        response.set(headers.signature, "s");
        return response;
    }

    awaitable<void> sendRequest()
    {
        tcp::socket socket(context);
        co_await socket.async_connect(toAsio<tcp>(callerAddress), asio::use_awaitable);
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
    void sendAndDisconnect()
    {
        tcp::socket socket(context);
        socket.connect(toAsio<tcp>(callerAddress));
        const std::string text = "GET /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        context.restart();
        context.run_for(Milliseconds(100));
        socket.close();
        context.restart();
        context.run_for(Milliseconds(500));
    }

    /// Sends a request. Returns the status of the answer, or 0 if there was none within 10 seconds.
    unsigned sendAndWait()
    {
        answer.reset();
        asio::co_spawn(context, sendRequest(), asio::detached);
        const auto limit = Clock::now() + std::chrono::seconds(10);
        while (!answer && Clock::now() < limit) {
            context.restart();
            context.run_for(Milliseconds(10));
        }
        return answer ? answer->result_int() : 0;
    }

    MemoryBudget memory;
    asio::io_context context{1};
    MetricsRegistry metrics;
    ServiceRegistry serviceRegistry{"palermo", {}, 1};
    UpstreamAnswer firstAnswer;
    UpstreamAnswer secondAnswer;
    Milliseconds firstDelay{0};
    CancellationPtr firstCancellation; ///< of the last request to the first upstream
    HttpServer first;
    HttpServer second;
    QuotaLedger quotas{"10.1.0.1", {}, Clock::now()};
    Forwarder forwarder;
    CallerServer callers;
    std::optional<http::response<http::string_body>> answer;
};

/// A budget for one and a half large answers.
struct LargeAnswerFixture : CallerServerFixture {
    LargeAnswerFixture()
        : CallerServerFixture(24 << 20)
    {
        serviceRegistry.applyRoutes(makeTable(false));
        addUpstream("i-1", firstAddress);
        firstAnswer = [](const HttpRequest &request) {
            auto response = signedAnswer(request, http::status::ok);
            response.body() = std::string(LargeAnswerBytes, 'a');
            return response;
        };
    }

    static constexpr std::size_t LargeAnswerBytes = 16 << 20; ///< more than the buffers of a connection take
};

/// Sends a request that is not idempotent by its method, with a deadline of 3 s.
inline void postRequest(RawCaller &caller, const std::string &id, const std::string &body = "x")
{
    caller.sendAll("POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: " + id
                   + "\r\nX-Left: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace laburnumspar::detail
