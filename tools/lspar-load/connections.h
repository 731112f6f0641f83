#pragma once

#include "laburnumspar/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace laburnumspar::tools {

/// Idle connections of one caller. Used by one thread only.
class Connections
{
public:
    using Stream = boost::beast::tcp_stream;

    explicit Connections(boost::asio::any_io_executor executor);

    /// An idle connection or a new one; empty if none could be opened before `limit`.
    boost::asio::awaitable<std::unique_ptr<Stream>> open(Endpoint address, TimePoint limit);
    /// Keeps a connection whose answer was read to its end.
    void keep(const Endpoint &address, std::unique_ptr<Stream> stream);

private:
    std::unique_ptr<Stream> takeIdle(const Endpoint &address);

    boost::asio::any_io_executor m_executor;
    std::unordered_map<Endpoint, std::vector<std::unique_ptr<Stream>>> m_idle;
};

} // namespace laburnumspar::tools
