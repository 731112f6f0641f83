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
class Connections
{
public:
    using Stream = boost::beast::tcp_stream;

    /// Tells the owner when a connection is closed.
    struct Closer {
        Connections *owner = nullptr;
        void operator()(Stream *stream) const;
    };
    using StreamPtr = std::unique_ptr<Stream, Closer>;

    /// `limit`: connections, idle ones included; at least 1.
    Connections(boost::asio::any_io_executor executor, std::size_t limit);

    /// An idle connection or a new one; empty if none could be opened before `until`. At the limit it closes an idle
    /// connection to another address, or waits for one that is given back.
    boost::asio::awaitable<StreamPtr> open(Endpoint address, TimePoint until);
    /// Keeps a connection whose answer was read to its end.
    void keep(const Endpoint &address, StreamPtr stream);
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
    bool closeIdle();
    void wakeOne();
    boost::asio::awaitable<StreamPtr> connect(const Endpoint &address, TimePoint until);

    boost::asio::any_io_executor m_executor;
    std::size_t m_limit;
    std::size_t m_count = 0;
    std::list<Waiter *> m_waiting; ///< first come, first served
    std::unordered_map<Endpoint, std::vector<StreamPtr>> m_idle;
};

} // namespace laburnumspar::tools
