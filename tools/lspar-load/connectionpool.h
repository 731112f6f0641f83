#pragma once

#include "laburnumspar/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace laburnumspar::tools {

/// Connections of one caller: reused when idle, bounded in number. Used by one thread only.
class ConnectionPool
{
public:
    using Stream = boost::beast::tcp_stream;

    /// Tells the pool when a connection is closed.
    struct StreamDeleter {
        ConnectionPool *pool = nullptr;
        void operator()(Stream *stream) const;
    };
    using StreamPtr = std::unique_ptr<Stream, StreamDeleter>;

    /// `limit`: connections, idle ones included; at least 1.
    ConnectionPool(boost::asio::any_io_executor executor, std::size_t maxConnections);

    /// An idle connection or a new one; empty if none could be opened before `deadline`. At the limit it closes an idle
    /// connection to another address, or waits for one that is given back.
    boost::asio::awaitable<StreamPtr> acquire(Endpoint address, TimePoint deadline);
    /// Keeps a connection whose answer was read to its end.
    void release(const Endpoint &address, StreamPtr stream);
    std::size_t count() const
    {
        return m_count;
    }

private:
    struct Waiter {
        boost::asio::steady_timer timer;
        bool woken = false;
    };

    StreamPtr takeIdle(const Endpoint &address);
    /// False if none is idle.
    bool closeOneIdle();
    void wakeOneWaiter();
    boost::asio::awaitable<StreamPtr> connect(const Endpoint &address, TimePoint deadline);

    boost::asio::any_io_executor m_executor;
    std::size_t m_maxConnections;
    std::size_t m_count = 0;
    std::list<Waiter *> m_waiters; ///< first come, first served
    std::unordered_map<Endpoint, std::vector<StreamPtr>> m_idle;
};

} // namespace laburnumspar::tools
