#include "connectionpool.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace laburnumspar::tools {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Returns true if the peer has neither closed the idle connection nor sent unexpected data.
bool isUsable(tcp::socket &socket)
{
    boost::system::error_code ec;
    char byte = 0;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

} // namespace

void ConnectionPool::StreamDeleter::operator()(Stream *stream) const
{
    delete stream;
    --pool->m_count;
    pool->wakeOneWaiter();
}

ConnectionPool::ConnectionPool(asio::any_io_executor executor, std::size_t maxConnections)
    : m_executor(std::move(executor))
    , m_maxConnections(std::max<std::size_t>(maxConnections, 1))
{
}

void ConnectionPool::wakeOneWaiter()
{
    if (!m_waiters.empty()) {
        auto &waiter = *m_waiters.front();
        m_waiters.pop_front();
        waiter.woken = true;
        waiter.timer.cancel();
    }
}

ConnectionPool::StreamPtr ConnectionPool::takeIdle(const Endpoint &address)
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

bool ConnectionPool::closeOneIdle()
{
    for (auto &[address, idle] : m_idle) {
        if (!idle.empty()) {
            // The stream leaves the list before it is closed: closing it wakes a request that may access the idle list.
            const auto stream = std::move(idle.back());
            idle.pop_back();
            return true;
        }
    }
    return false;
}

asio::awaitable<ConnectionPool::StreamPtr> ConnectionPool::connect(const Endpoint &address, TimePoint deadline)
{
    ++m_count;
    StreamPtr stream(new Stream(m_executor), StreamDeleter{this});
    stream->expires_at(deadline);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    auto [ec] = co_await stream->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (ec) {
        co_return StreamPtr{};
    }
    stream->socket().set_option(tcp::no_delay(true), ec);
    co_return stream;
}

asio::awaitable<ConnectionPool::StreamPtr> ConnectionPool::acquire(Endpoint address, TimePoint deadline)
{
    while (true) {
        auto stream = takeIdle(address);
        if (stream) {
            stream->expires_at(deadline);
            co_return stream;
        }
        if (m_count < m_maxConnections || closeOneIdle()) {
            auto opened = co_await connect(address, deadline);
            co_return opened;
        }
        Waiter waiter{asio::steady_timer(m_executor, deadline)};
        const auto position = m_waiters.insert(m_waiters.end(), &waiter);
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!waiter.woken) {
            m_waiters.erase(position);
            co_return StreamPtr{};
        }
    }
}

void ConnectionPool::release(const Endpoint &address, StreamPtr stream)
{
    stream->expires_never();
    m_idle[address].push_back(std::move(stream));
    wakeOneWaiter();
}

} // namespace laburnumspar::tools
