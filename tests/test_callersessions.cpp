#include "callerserverfixture.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

/// An upstream that answers after a while.
struct SlowFixture : CallerServerFixture {
    explicit SlowFixture(bool idempotent = false)
    {
        serviceRegistry.applyRoutes(makeTable(idempotent));
        addUpstream("i-1", firstAddress);
        firstDelay = 300ms;
        firstAnswer = [](const HttpRequest &request) { return signedAnswer(request, http::status::ok); };
    }
};

struct SlowIdempotentFixture : SlowFixture {
    SlowIdempotentFixture()
        : SlowFixture(true)
    {
        firstDelay = 2s;
    }
};

} // namespace

// Guards against closing a connection without an answer when the caller sends its next request early.
BOOST_FIXTURE_TEST_CASE(earlyRequestsAreAnsweredInOrder, SlowFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(100ms);
    postRequest(caller, "r2");
    postRequest(caller, "r3");
    const auto answers = caller.receiveAnswers(3);
    BOOST_REQUIRE(contains(answers, "X-Id: r3"));
    BOOST_TEST(answers.find("X-Id: r1") < answers.find("X-Id: r2"));
    BOOST_TEST(answers.find("X-Id: r2") < answers.find("X-Id: r3"));
}

// Guards against losing a request whose successor arrives together with it.
BOOST_FIXTURE_TEST_CASE(requestsThatArriveTogetherAreAnswered, SlowFixture)
{
    RawCaller caller(context, callerAddress);
    caller.sendAll("POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\nX-Left: 3000\r\nContent-Length: 1\r\n\r\nx"
                   "POST /pay HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\nX-Left: 3000\r\nContent-Length: 1\r\n\r\nx");
    BOOST_TEST(contains(caller.receiveAnswers(2), "X-Id: r2"));
}

// Guards against closing a connection when an empty line follows a body, as some callers send it.
BOOST_FIXTURE_TEST_CASE(emptyLinesBetweenRequestsAreIgnored, SlowFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1", "x");
    caller.sendAll("\r\n");
    BOOST_TEST(contains(caller.receiveAnswers(1), "X-Id: r1"));
    caller.sendAll("\r\n");
    caller.runFor(100ms);
    postRequest(caller, "r2");
    BOOST_TEST(contains(caller.receiveAnswers(2), "X-Id: r2"));
}

// Guards against losing the answer of a caller that closes its sending side after its request.
BOOST_FIXTURE_TEST_CASE(halfClosedConnectionsGetTheirAnswer, SlowFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.closeSendingSide();
    BOOST_TEST(contains(caller.receiveAnswers(1), "X-Id: r1"));
}

// Guards against early bytes without bound, and against a close that is not noticed behind them.
BOOST_FIXTURE_TEST_CASE(closeBehindManyEarlyBytesIsNoticed, SlowIdempotentFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(50ms);
    for (int n = 0; n < 8; ++n) {
        postRequest(caller, "early" + std::to_string(n), std::string(8000, 'x'));
        caller.runFor(10ms);
    }
    BOOST_REQUIRE(firstCancellation);
    BOOST_TEST(!firstCancellation->isCancelled());
    caller.close();
    caller.runFor(600ms);
    BOOST_TEST(firstCancellation->isCancelled());
}

// Guards against a reset that destroys the last answer on a connection because the caller has sent more.
BOOST_FIXTURE_TEST_CASE(lastAnswerIsNotResetByUnreadBytes, SlowFixture)
{
    callers.startClosing();
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(50ms);
    for (int n = 0; n < 8; ++n) {
        postRequest(caller, "early" + std::to_string(n), std::string(8000, 'x'));
    }
    caller.runFor(600ms);
    // Sent after the answer has been written.
    caller.sendAll("more");
    caller.runFor(50ms);
    const auto answers = caller.receiveAnswers(1);
    BOOST_TEST(contains(answers, "X-Id: r1"));
    BOOST_TEST(contains(answers, "Connection: close"));
}

// Guards against a reset that destroys an answer because its caller has closed its sending side behind unread bytes.
BOOST_FIXTURE_TEST_CASE(answersToHalfClosedConnectionsAreNotReset, LargeAnswerFixture)
{
    firstDelay = 300ms;
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(50ms);
    for (int n = 0; n < 8; ++n) {
        postRequest(caller, "early" + std::to_string(n), std::string(8000, 'x'));
    }
    caller.closeSendingSide();
    caller.runFor(600ms);
    const auto answers = caller.receiveAnswers(2);
    BOOST_TEST(answers.size() > LargeAnswerBytes);
    BOOST_TEST(contains(answers, "X-Id: early0"));
}

// Guards against a request without an answer because the instance ends while it waits for the first routes.
BOOST_FIXTURE_TEST_CASE(requestsThatWaitForRoutesAreRefusedWhenTheInstanceEnds, CallerServerFixture)
{
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(100ms);
    callers.refuseUnforwarded();
    caller.runFor(10ms);
    BOOST_TEST(callers.activeRequests() == 0U);
    const auto answer = caller.receiveAnswers(1);
    BOOST_TEST(contains(answer, "HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "leaving"));
}

// Guards against replacing the answer of an upstream that has failed when the instance ends during a retry.
BOOST_FIXTURE_TEST_CASE(failuresOfUpstreamsArePassedOnWhenTheInstanceEnds, CallerServerFixture)
{
    serviceRegistry.applyRoutes(makeTable(true, 2));
    serviceRegistry.divideRetryReserve(1);
    addUpstream("i-2", secondAddress);
    secondAnswer = [&](const HttpRequest &request) {
        addUpstream("i-1", firstAddress);
        return signedAnswer(request, http::status::internal_server_error);
    };
    firstDelay = 2s;
    firstAnswer = [](const HttpRequest &request) { return signedAnswer(request, http::status::ok); };
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(300ms);
    BOOST_REQUIRE(firstCancellation);
    forwarder.endAll(Clock::now());
    BOOST_TEST(contains(caller.receiveAnswers(1), "HTTP/1.1 500"));
}

// Guards against taking a request that outlasts the process, which would be broken off.
BOOST_FIXTURE_TEST_CASE(requestsThatMayOutlastAStopAreRefused, SlowFixture)
{
    int runs = 0;
    firstAnswer = [&](const HttpRequest &request) {
        ++runs;
        return signedAnswer(request, http::status::ok);
    };
    BOOST_TEST(sendAndWait() == 200U);
    forwarder.endBy(Clock::now() + 10ms);
    BOOST_TEST(sendAndWait() == 503U);
    BOOST_TEST(runs == 1);
    BOOST_TEST(!(*answer)[http::field::retry_after].empty());
}

// Guards against ending a connection without an answer when the process has to exit.
BOOST_FIXTURE_TEST_CASE(runningRequestsGetAFinalAnswerWhenTheInstanceEnds, SlowFixture)
{
    firstDelay = 2s;
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    caller.runFor(100ms);
    forwarder.endAll(Clock::now());
    BOOST_TEST(contains(caller.receiveAnswers(1), "HTTP/1.1 504"));
    BOOST_TEST(callers.activeRequests() == 0U);
}

// Guards against answering "may have run" for a request that was never sent to an upstream.
BOOST_FIXTURE_TEST_CASE(queuedRequestsAreRefusedWhenTheInstanceEnds, SlowFixture)
{
    firstDelay = 2s;
    std::vector<std::unique_ptr<RawCaller>> running;
    for (int n = 0; n < 20; ++n) {
        running.push_back(std::make_unique<RawCaller>(context, callerAddress));
        postRequest(*running.back(), "r" + std::to_string(n));
        running.back()->runFor(10ms);
    }
    forwarder.endAll(Clock::now());
    unsigned notRun = 0;
    unsigned mayHaveRun = 0;
    for (const auto &it : running) {
        const auto text = it->receiveAnswers(1);
        notRun += contains(text, "HTTP/1.1 503") && contains(text, "Retry-After") ? 1 : 0;
        mayHaveRun += contains(text, "HTTP/1.1 504") ? 1 : 0;
    }
    BOOST_TEST(notRun + mayHaveRun == running.size());
    BOOST_TEST(notRun > 0U);
    BOOST_TEST(mayHaveRun > 0U);
}

// Guards against sending a request to an upstream after its caller has closed the connection.
BOOST_FIXTURE_TEST_CASE(earlyRequestsOfCallersThatLeftAreNotSent, SlowFixture)
{
    int runs = 0;
    firstAnswer = [&](const HttpRequest &request) {
        ++runs;
        return signedAnswer(request, http::status::ok);
    };
    RawCaller caller(context, callerAddress);
    postRequest(caller, "r1");
    postRequest(caller, "r2");
    caller.runFor(100ms);
    caller.close();
    caller.runFor(1s);
    BOOST_TEST(runs == 1);
}

// Guards against starting a queued request so late in a stop that it would be broken off.
BOOST_FIXTURE_TEST_CASE(queuedRequestsAreNotStartedJustBeforeTheEnd, SlowFixture)
{
    firstDelay = 1300ms;
    std::vector<std::unique_ptr<RawCaller>> queued;
    for (int n = 0; n < 8; ++n) {
        queued.push_back(std::make_unique<RawCaller>(context, callerAddress));
        postRequest(*queued.back(), "r" + std::to_string(n));
    }
    queued.front()->runFor(100ms);
    const auto end = Clock::now() + 1500ms;
    forwarder.endBy(end);
    while (Clock::now() < end) {
        queued.front()->runFor(50ms);
        forwarder.tick(Clock::now());
    }
    forwarder.endAll(Clock::now());
    for (const auto &it : queued) {
        const auto text = it->receiveAnswers(1);
        BOOST_TEST((contains(text, "HTTP/1.1 200") || contains(text, "HTTP/1.1 503")), text);
    }
}

// Guards against refusing requests during a stop for a deadline that has nothing to do with it.
BOOST_FIXTURE_TEST_CASE(shortDeadlinesAreNoReasonToRefuseDuringAStop, SlowFixture)
{
    forwarder.endBy(Clock::now() + 1h);
    BOOST_TEST(sendAndWait() == 200U);
}
