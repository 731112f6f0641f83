#include "gateway/httpchannel.h"

#include "net/httpstatus.h"
#include "net/messagereader.h"

#include <sys/socket.h>

namespace laburnumspar::detail {

namespace {

constexpr std::uint64_t MaxReplyBytes = 16 << 20;

ChannelReply failedReply(error_code ec, bool headRead = false)
{
    return {0, {}, {}, readFailure(ec, headRead), ec.message()};
}

} // namespace

HttpChannel::HttpChannel(asio::io_context &context, Endpoint server, std::string acceptedEncoding)
    : m_context(context)
    , m_server(std::move(server))
    , m_acceptedEncoding(std::move(acceptedEncoding))
    , m_buf(MaxUnparsedBytes)
{
}

/// Whether nothing has arrived since the last answer. What has would be taken for the answer to the next request.
bool HttpChannel::isReusable()
{
    if (m_stream == nullptr || m_buf.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto n = ::recv(m_stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

awaitable<ChannelReply> HttpChannel::get(const std::string &target, Milliseconds timeout)
{
    if (!isReusable()) {
        m_stream = std::make_unique<beast::tcp_stream>(m_context);
        m_buf.clear();
        m_stream->expires_after(timeout);
        auto [ec] = co_await m_stream->async_connect(toAsio<tcp>(m_server), NoThrowAwaitable);
        if (ec) {
            m_stream.reset();
            co_return failedReply(ec);
        }
        error_code ignored;
        m_stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    m_stream->expires_after(timeout);
    auto reply = co_await exchange(target);
    if (reply.status == 0) {
        m_stream.reset();
    }
    co_return reply;
}

awaitable<ChannelReply> HttpChannel::exchange(const std::string &target)
{
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, toString(m_server));
    if (!m_acceptedEncoding.empty()) {
        request.set(http::field::accept_encoding, m_acceptedEncoding);
    }
    auto [writeError, written] = co_await http::async_write(*m_stream, request, NoThrowAwaitable);
    if (writeError) {
        co_return failedReply(writeError);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxReplyBytes);
    const auto readError = co_await readMessage(*m_stream, m_buf, parser, nullptr);
    if (readError) {
        co_return failedReply(readError, parser.is_header_done());
    }
    auto &response = parser.get();
    if (!isFinalStatus(response.result_int())) {
        co_return ChannelReply{
            0, {}, {}, ReplyFailure::Malformed, "invalid HTTP status " + std::to_string(response.result_int())};
    }
    ChannelReply reply;
    reply.status = response.result_int();
    reply.body = std::move(response.body());
    reply.headers = std::move(response.base());
    if (!parser.keep_alive()) {
        m_stream.reset();
    }
    co_return reply;
}

} // namespace laburnumspar::detail
