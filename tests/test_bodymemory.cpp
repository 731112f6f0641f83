#include "callerserverfixture.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

/// Upstreams that take a second, and a budget for two large bodies.
struct MemoryFixture : CallerServerFixture {
    MemoryFixture()
    {
        serviceRegistry.applyRoutes(makeTable(false));
        addUpstream("i-1", firstAddress);
        firstDelay = 1s;
        firstAnswer = [](const HttpRequest &request) { return signedAnswer(request, http::status::ok); };
    }

    static constexpr std::size_t LargeBodyBytes = 400 << 10;
};

/// A body in chunks of 1,000 bytes.
std::string chunked(std::size_t chunks)
{
    std::string text;
    for (std::size_t n = 0; n < chunks; ++n) {
        text += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
    }
    return text + "0\r\n\r\n";
}

} // namespace

// Guards against complete bodies that wait for slow upstreams until the process exceeds its memory.
BOOST_FIXTURE_TEST_CASE(waitingBodiesAreBounded, MemoryFixture)
{
    RawCaller first(context, callerAddress);
    RawCaller second(context, callerAddress);
    RawCaller third(context, callerAddress);
    postRequest(first, "r1", std::string(LargeBodyBytes, 'x'));
    postRequest(second, "r2", std::string(LargeBodyBytes, 'x'));
    first.runFor(300ms);
    BOOST_TEST(memory.held() >= 2 * LargeBodyBytes);
    postRequest(third, "r3", std::string(LargeBodyBytes, 'x'));
    const auto begin = Clock::now();
    const auto refusal = third.receiveAnswers(1);
    BOOST_TEST((Clock::now() - begin < 500ms));
    BOOST_TEST(contains(refusal, "HTTP/1.1 503"));
    BOOST_TEST(contains(refusal, "Retry-After: "));
    BOOST_TEST(memory.refused(MemoryUse::Request) == 1U);
    BOOST_TEST(contains(first.receiveAnswers(1), "HTTP/1.1 200"));
    BOOST_TEST(contains(second.receiveAnswers(1), "HTTP/1.1 200"));
    first.runFor(50ms);
    BOOST_TEST(memory.held() == 0U);
}

// Guards against small requests that are refused because a few large ones wait.
BOOST_FIXTURE_TEST_CASE(largeBodiesLeaveMemoryForSmallOnes, MemoryFixture)
{
    RawCaller first(context, callerAddress);
    RawCaller second(context, callerAddress);
    RawCaller third(context, callerAddress);
    postRequest(first, "r1", std::string(LargeBodyBytes, 'x'));
    postRequest(second, "r2", std::string(LargeBodyBytes, 'x'));
    first.runFor(300ms);
    postRequest(third, "r3", std::string(50'000, 'x'));
    BOOST_TEST(contains(third.receiveAnswers(1), "HTTP/1.1 200"));
}

// Guards against requests whose memory is never freed, because their exchange with an upstream ends neither before the
// event loop nor with it.
BOOST_AUTO_TEST_CASE(requestsInFlightAreFreedWithTheEventLoop)
{
    std::weak_ptr<const RouteTable> table; // a request owns the routes with which it has begun
    {
        MemoryFixture fixture;
        table = fixture.serviceRegistry.routes();
        RawCaller caller(fixture.context, callerAddress);
        postRequest(caller, "r1");
        caller.runFor(300ms);
        BOOST_TEST(fixture.forwarder.inFlight() == 1U);
    }
    BOOST_TEST(table.expired());
}

// Guards against reading a body, or asking for it, that has no place in the memory.
BOOST_FIXTURE_TEST_CASE(bodiesThatDoNotFitAreNotAskedFor, MemoryFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1", std::string(2 * LargeBodyBytes, 'x'));
    caller.runFor(300ms);
    const std::string head = "POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\n"
                             "Content-Length: 100000\r\n";
    for (const auto *expectation : {"", "Expect: 100-continue\r\n"}) {
        RawCaller other(context, callerAddress);
        other.sendAll(head + expectation + "\r\n");
        const auto refusal = other.receiveAnswers(1);
        BOOST_TEST(contains(refusal, "HTTP/1.1 503"));
        BOOST_TEST(contains(refusal, "Retry-After: "));
        BOOST_TEST(!contains(refusal, "100 Continue"));
    }
}

// Guards against refusing bodies for which there is room, as a bound for a part of the memory did, whether their
// length is known or not.
BOOST_FIXTURE_TEST_CASE(largeBodiesAreServedWhenNothingElseNeedsTheMemory, MemoryFixture)
{
    firstDelay = 0ms;
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1", std::string(830'000, 'x'));
    BOOST_TEST(contains(caller.receiveAnswers(1), "HTTP/1.1 200"));
    RawCaller other(context, callerAddress);
    other.sendAll("POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  + chunked(830));
    BOOST_TEST(contains(other.receiveAnswers(1), "HTTP/1.1 200"));
}

// Guards against a body of unknown length that grows beyond the memory, and against losing the refusal because the
// caller still sends.
BOOST_FIXTURE_TEST_CASE(growingBodiesAreRefusedWhenTheMemoryIsUsedUp, MemoryFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1", std::string(LargeBodyBytes, 'x'));
    caller.runFor(300ms);
    RawCaller other(context, callerAddress);
    other.sendAll("POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  + chunked(500));
    other.runFor(100ms);
    for (int n = 0; n < 20; ++n) {
        other.sendAll(chunked(100));
        other.runFor(5ms);
    }
    BOOST_TEST(contains(other.receiveAnswers(1), "HTTP/1.1 503"));
    BOOST_TEST(contains(caller.receiveAnswers(1), "HTTP/1.1 200"));
}

// Guards against answers that wait for callers who don't read them until the process exceeds its memory.
BOOST_FIXTURE_TEST_CASE(answersThatWaitForSlowCallersAreCounted, LargeAnswerFixture)
{
    RawCaller slow(context, callerAddress);
    postRequest(slow, "r1");
    slow.runFor(1s);
    BOOST_TEST(memory.held() >= LargeAnswerBytes);
    BOOST_TEST(sendAndWait() == 502U);
    BOOST_TEST(memory.refused(MemoryUse::Answer) == 1U);
    slow.close();
    slow.runFor(100ms);
    BOOST_TEST(memory.held() == 0U);
}

// Guards against a copy of the body for each attempt, and against a body that is released before the last one.
BOOST_FIXTURE_TEST_CASE(attemptsShareTheBody, MemoryFixture)
{
    serviceRegistry.divideRetryReserve(1);
    const std::string body(LargeBodyBytes, 'x');
    std::vector<std::size_t> held;
    addUpstream("i-2", secondAddress);
    firstDelay = 0ms;
    firstAnswer = secondAnswer = [&](const HttpRequest &request) {
        BOOST_TEST((request.body() == body));
        held.push_back(memory.held());
        if (held.size() == 2) {
            return signedAnswer(request, http::status::ok);
        }
        auto response = signedAnswer(request, http::status::service_unavailable);
        response.set(headers.notRun, "1");
        return response;
    };
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1", body);
    BOOST_TEST(contains(caller.receiveAnswers(1), "HTTP/1.1 200"));
    BOOST_TEST(held == std::vector(2, LargeBodyBytes), boost::test_tools::per_element());
    caller.runFor(50ms);
    BOOST_TEST(memory.held() == 0U);
}
