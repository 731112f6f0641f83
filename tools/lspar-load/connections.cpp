#include "connections.h"

#include <boost/asio.hpp>

#include <algorithm>

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

void Connections::Closer::operator()(Stream *stream) const
{
    delete stream;
    --owner->m_count;
    owner->wakeOne();
}

Connections::Connections(asio::any_io_executor executor, std::size_t limit)
    : m_executor(std::move(executor))
    , m_limit(std::max<std::size_t>(limit, 1))
{
}

void Connections::wakeOne()
{
    if (!m_waiting.empty()) {
        auto &waiter = *m_waiting.front();
        m_waiting.pop_front();
        waiter.woken = true;
        waiter.timer.cancel();
    }
}

Connections::StreamPtr Connections::takeIdle(const Endpoint &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (isUsable(stream->socket())) {
            return stream;
        }
    }
    return {};
}

bool Connections::closeIdle()
{
    for (auto &[address, idle] : m_idle) {
        if (!idle.empty()) {
            // Taken out first: closing it wakes a request that may look at the idle ones.
            const auto stream = std::move(idle.back());
            idle.pop_back();
            return true;
        }
    }
    return false;
}

asio::awaitable<Connections::StreamPtr> Connections::connect(const Endpoint &address, TimePoint until)
{
    ++m_count;
    StreamPtr stream(new Stream(m_executor), Closer{this});
    stream->expires_at(until);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    auto [ec] = co_await stream->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (ec) {
        co_return StreamPtr{};
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

asio::awaitable<Connections::StreamPtr> Connections::open(Endpoint address, TimePoint until)
{
    while (true) {
        auto stream = takeIdle(address);
        if (stream) {
            stream->expires_at(until);
            co_return stream;
        }
        if (m_count < m_limit || closeIdle()) {
            auto made = co_await connect(address, until);
            co_return made;
        }
        Waiter waiter{asio::steady_timer(m_executor, until)};
        const auto place = m_waiting.insert(m_waiting.end(), &waiter);
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!waiter.woken) {
            m_waiting.erase(place);
            co_return StreamPtr{};
        }
    }
}

void Connections::keep(const Endpoint &address, StreamPtr stream)
{
    stream->expires_never();
    m_idle[address].push_back(std::move(stream));
    wakeOne();
}

} // namespace laburnumspar::tools
