#include "exchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Largest answer, in bytes.
constexpr std::uint64_t AnswerMax = 16 << 20;

std::string headerOf(const http::response<http::string_body> &answer, const char *name)
{
    const auto value = answer[name];
    return {value.data(), value.size()};
}

CallerAnswer readAnswer(const http::response<http::string_body> &answer, bool complete)
{
    CallerAnswer found;
    found.status = answer.result_int();
    found.complete = complete;
    found.body = answer.body();
    found.outcome = headerOf(answer, "Lspar-Outcome");
    found.requestId = headerOf(answer, "Lspar-Request-Id");
    if (found.requestId.empty()) {
        found.requestId = headerOf(answer, "X-Request-Id");
    }
    found.digest = headerOf(answer, "X-Body-Digest");
    found.notRun = headerOf(answer, "X-Not-Run");
    return found;
}

struct Opened {
    Connections::StreamPtr stream;
    Endpoint address;
};

/// The first address that accepts a connection; no stream if none does.
asio::awaitable<Opened> openFirst(Connections &connections, std::vector<Endpoint> addresses, TimePoint limit)
{
    for (const auto &address : addresses) {
        auto stream = co_await connections.open(address, limit);
        if (stream) {
            co_return Opened{std::move(stream), address};
        }
    }
    co_return Opened{};
}

} // namespace

asio::awaitable<Exchange>
exchange(Connections &connections, std::vector<Endpoint> addresses, HttpRequest request, TimePoint limit)
{
    Exchange result;
    auto [stream, address] = co_await openFirst(connections, std::move(addresses), limit);
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
    parser.body_limit(AnswerMax);
    auto [readError, read] = co_await http::async_read(*stream, buf, parser, Await);
    result.answered = parser.is_header_done();
    if (result.answered) {
        result.answer = readAnswer(parser.get(), !readError);
        result.reason = headerOf(parser.get(), "Lspar-Reason");
        result.nextIdentifier = headerOf(parser.get(), "Lspar-Next-Request-Id");
        result.instance = headerOf(parser.get(), "Lspar-Instance");
    }
    if (!readError && parser.get().keep_alive() && buf.size() == 0) {
        connections.keep(address, std::move(stream));
    }
    co_return result;
}

} // namespace laburnumspar::tools
