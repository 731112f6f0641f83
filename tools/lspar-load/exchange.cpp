#include "exchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Largest accepted answer.
constexpr std::uint64_t MaxAnswerBytes = 16 << 20;

std::string headerValue(const http::response<http::string_body> &answer, const char *name)
{
    const auto value = answer[name];
    return {value.data(), value.size()};
}

CallerAnswer makeAnswer(const http::response<http::string_body> &answer, bool complete)
{
    CallerAnswer result;
    result.status = answer.result_int();
    result.complete = complete;
    result.body = answer.body();
    result.outcome = headerValue(answer, "Lspar-Outcome");
    result.requestId = headerValue(answer, "Lspar-Request-Id");
    if (result.requestId.empty()) {
        result.requestId = headerValue(answer, "X-Request-Id");
    }
    result.digest = headerValue(answer, "X-Body-Digest");
    result.notRun = headerValue(answer, "X-Not-Run");
    return result;
}

struct OpenConnection {
    ConnectionPool::StreamPtr stream;
    Endpoint address;
};

/// Connects to the first address that accepts a connection; the stream is null if none does.
asio::awaitable<OpenConnection> connectFirst(ConnectionPool &pool, std::vector<Endpoint> addresses, TimePoint deadline)
{
    for (const auto &address : addresses) {
        auto stream = co_await pool.acquire(address, deadline);
        if (stream) {
            co_return OpenConnection{std::move(stream), address};
        }
    }
    co_return OpenConnection{};
}

} // namespace

asio::awaitable<ExchangeResult>
exchange(ConnectionPool &pool, std::vector<Endpoint> addresses, HttpRequest request, TimePoint deadline)
{
    ExchangeResult result;
    auto [stream, address] = co_await connectFirst(pool, std::move(addresses), deadline);
    if (!stream) {
        co_return result;
    }
    result.sent = true;
    request.set(http::field::host, toString(address));
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(*stream, request, Await);
    if (writeError) {
        co_return result;
    }
    boost::beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    auto [readError, read] = co_await http::async_read(*stream, buf, parser, Await);
    result.answered = parser.is_header_done();
    if (result.answered) {
        result.answer = makeAnswer(parser.get(), !readError);
        result.reason = headerValue(parser.get(), "Lspar-Reason");
        result.nextRequestId = headerValue(parser.get(), "Lspar-Next-Request-Id");
        result.instance = headerValue(parser.get(), "Lspar-Instance");
    }
    if (!readError && parser.get().keep_alive() && buf.size() == 0) {
        pool.release(address, std::move(stream));
    }
    co_return result;
}

} // namespace laburnumspar::tools
