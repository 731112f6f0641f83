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

/// TCP connections of one caller. Reuses idle connections and limits their total number. Not thread-safe.
class ConnectionPool
{
public:
    using Stream = boost::beast::tcp_stream;

    /// Closes a connection and updates the pool, which may then open another one.
    struct StreamDeleter {
        ConnectionPool *pool = nullptr;
        void operator()(Stream *stream) const;
    };
    using StreamPtr = std::unique_ptr<Stream, StreamDeleter>;

    /// `maxConnections` includes idle connections; 0 counts as 1.
    ConnectionPool(boost::asio::any_io_executor executor, std::size_t maxConnections);

    /// Returns an idle or a new connection, or null if none could be opened before `deadline`. At the connection limit
    /// it closes an idle connection to another address, or waits until a connection is released.
    boost::asio::awaitable<StreamPtr> acquire(Endpoint address, TimePoint deadline);
    /// Makes a connection available for reuse. Its last answer must have been read to the end.
    void release(const Endpoint &address, StreamPtr stream);
    /// Number of open connections, including idle ones.
    std::size_t count() const
    {
        return m_count;
    }

private:
    struct Waiter {
        boost::asio::steady_timer timer;
        bool woken = false;
    };

    /// Null if there is no usable idle connection to the address.
    StreamPtr takeIdle(const Endpoint &address);
    /// Returns false if there is no idle connection.
    bool closeOneIdle();
    void wakeOneWaiter();
    boost::asio::awaitable<StreamPtr> connect(const Endpoint &address, TimePoint deadline);

    boost::asio::any_io_executor m_executor;
    std::size_t m_maxConnections;
    std::size_t m_count = 0;
    std::list<Waiter *> m_waiters; ///< in order of arrival
    std::unordered_map<Endpoint, std::vector<StreamPtr>> m_idle;
};

} // namespace laburnumspar::tools
