#include "platformserver.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"
#include "laburnumspar/settings.h"

#include <boost/beast/core.hpp>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Larger than MaxValueBytes, so that a value above the limit gets an error response.
constexpr std::size_t MaxBodyBytes = 64 * MaxValueBytes;
// Accepting usually fails because file descriptors have run out, which lasts until connections are closed.
constexpr Milliseconds AcceptRetryDelay{100};

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, const Endpoint &listen, PlatformService &service)
    : m_acceptor(context)
    , m_service(service)
{
    try {
        m_acceptor = tcp::acceptor(context, tcp::endpoint(asio::ip::make_address(listen.ip), listen.port));
    } catch (const boost::system::system_error &e) {
        throw TransportError("cannot listen on " + toString(listen) + ": " + e.code().message());
    }
}

Endpoint PlatformServer::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void PlatformServer::start()
{
    asio::co_spawn(m_acceptor.get_executor(), acceptConnections(), asio::detached);
}

asio::awaitable<void> PlatformServer::acceptConnections()
{
    asio::steady_timer timer(m_acceptor.get_executor());
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!ec) {
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
            continue;
        }
        logEvent(LogLevel::Error, "accept failed", {{"error", ec.message()}});
        timer.expires_after(AcceptRetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> PlatformServer::serve(Socket socket)
{
    beast::flat_buffer buf;
    try {
        for (bool keepAlive = true; keepAlive;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            co_await http::async_read(socket, buf, parser, asio::use_awaitable);
            const auto request = parser.release();
            auto response = co_await m_service.handle(request, socket);
            keepAlive = response && request.keep_alive();
            if (response) {
                response->version(request.version());
                response->keep_alive(keepAlive);
                response->prepare_payload();
                co_await http::async_write(socket, *response, asio::use_awaitable);
            }
        }
    } catch (const boost::system::system_error &e) {
        if (e.code() != http::error::end_of_stream) {
            logEvent(LogLevel::Debug, "connection closed after an error", {{"error", e.code().message()}});
        }
    }
}

} // namespace laburnumspar::tools
