#include "connections.h"

#include <boost/asio.hpp>

namespace laburnumspar::tools {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// True if the peer has neither closed the idle connection nor sent something unasked.
bool isUsable(tcp::socket &socket)
{
    boost::system::error_code ec;
    char byte = 0;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

} // namespace

Connections::Connections(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

std::unique_ptr<Connections::Stream> Connections::takeIdle(const Endpoint &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (isUsable(stream->socket())) {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<std::unique_ptr<Connections::Stream>> Connections::open(Endpoint address, TimePoint limit)
{
    auto stream = takeIdle(address);
    if (stream) {
        stream->expires_at(limit);
        co_return stream;
    }
    stream = std::make_unique<Stream>(m_executor);
    stream->expires_at(limit);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    auto [ec] = co_await stream->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (ec) {
        co_return nullptr;
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

void Connections::keep(const Endpoint &address, std::unique_ptr<Stream> stream)
{
    stream->expires_never();
    m_idle[address].push_back(std::move(stream));
}

} // namespace laburnumspar::tools
