#include "gateway/httptext.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const ForwardingHeaders names{"X-Id", "X-Deadline", "X-Sig", "X-Expect", "X-Load", "X-Not-Run"};

CallerMessage parseRequest(const std::string &text)
{
    http::request_parser<BudgetedBody> parser;
    error_code ec;
    parser.eager(true);
    parser.put(asio::buffer(text), ec);
    BOOST_REQUIRE(!ec);
    BOOST_REQUIRE(parser.is_done());
    return parser.release();
}

} // namespace

// Guards against forwarding hop-by-hop headers, and against callers that override headers which the instance sets.
BOOST_AUTO_TEST_CASE(onlyEndToEndHeadersAreForwarded)
{
    const TimePoint now{std::chrono::seconds(5)};
    const auto request
        = makeForwardedRequest(parseRequest("POST /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\nX-Id: 7\r\n"
                                            "X-Deadline: 1500\r\nX-Expect: i-9\r\nConnection: close, X-Hop\r\n"
                                            "X-Hop: 1\r\nKeep-Alive: timeout=3\r\nCookie: a=b\r\nTE: trailers\r\n"
                                            "Content-Length: 3\r\n\r\nabc"),
                               names,
                               now);
    BOOST_TEST((request.deadline == now + Milliseconds(1500)));
    const auto head = upstreamHead(request, names, "i-1", Milliseconds(1200));
    BOOST_TEST(head
               == "POST /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\nX-Id: 7\r\nCookie: a=b\r\nX-Deadline: 1200\r\n"
                  "X-Expect: i-1\r\nContent-Length: 3\r\n\r\n");
    BOOST_TEST(request.body->text() == "abc");
}

// Guards against chunked bodies that are forwarded without a length, and bodies that are added to requests without one.
BOOST_AUTO_TEST_CASE(bodiesAreSentWithTheirLength)
{
    const auto chunked = makeForwardedRequest(
        parseRequest("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"),
        names,
        TimePoint());
    BOOST_TEST(chunked.body->text() == "ab");
    BOOST_TEST(upstreamHead(chunked, names, "i", Milliseconds(1)).find("Content-Length: 2\r\n") != std::string::npos);
    BOOST_TEST(upstreamHead(chunked, names, "i", Milliseconds(1)).find("Transfer-Encoding") == std::string::npos);
    const auto get = makeForwardedRequest(parseRequest("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), names, TimePoint());
    BOOST_TEST(upstreamHead(get, names, "i", Milliseconds(1)).find("Content-Length") == std::string::npos);
}

// Guards against invalid deadlines that end the request at once or let it wait forever.
BOOST_AUTO_TEST_CASE(invalidDeadlinesGetTheDefault)
{
    for (const auto *value : {"", "abc", "-5", "99999999999999999999"}) {
        const auto request = makeForwardedRequest(
            parseRequest(std::string("GET / HTTP/1.1\r\nHost: h\r\nX-Deadline: ") + value + "\r\n\r\n"),
            names,
            TimePoint());
        BOOST_TEST((request.deadline == TimePoint() + DefaultDeadline));
    }
}

// Guards against answers that are changed, or that pass on headers meant for the instance only.
BOOST_AUTO_TEST_CASE(answersKeepStatusBodyAndSignature)
{
    UpstreamMessage message{http::status::created, 11};
    message.set("X-Id", "7");
    message.set("X-Sig", "s");
    message.set("X-Load", "1,0,4");
    message.set(http::field::connection, "close");
    message.body() = std::string("whole");
    const auto answer = makeCallerAnswer(std::move(message), false, names);
    BOOST_TEST(callerHead(answer, false) == "HTTP/1.1 201 Created\r\nX-Id: 7\r\nX-Sig: s\r\nContent-Length: 5\r\n\r\n");
    BOOST_TEST(answer.body.text() == "whole");
}

// Guards against refusals without the time after which the caller may retry.
BOOST_AUTO_TEST_CASE(localAnswersHaveRetryAfter)
{
    const auto answer = makeLocalAnswer(http::status::service_unavailable, "busy", "7", names, Milliseconds(250));
    const auto head = callerHead(answer, true);
    BOOST_TEST(head.find("Retry-After: 0.250\r\n") != std::string::npos);
    BOOST_TEST(head.find("Connection: close\r\n") != std::string::npos);
    BOOST_TEST(head.find("X-Id: 7\r\n") != std::string::npos);
}
