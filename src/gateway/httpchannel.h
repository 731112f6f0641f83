#pragma once

#include "net/io.h"

#include <memory>
#include <optional>
#include <string>

namespace laburnumspar::detail {

struct ChannelReply {
    unsigned status = 0; ///< 0: no answer
    std::string body;
    std::string failure;
};

/// Sends GET requests to one server over a connection that is kept open, one at a time.
class HttpChannel
{
public:
    HttpChannel(asio::io_context &context, Endpoint server);

    /// Never throws; a request without a whole answer within the time closes the connection.
    awaitable<ChannelReply> get(const std::string &target, Milliseconds timeout);
    const Endpoint &server() const
    {
        return m_server;
    }

private:
    awaitable<ChannelReply> exchange(const std::string &target);

    asio::io_context &m_context;
    Endpoint m_server;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buf;
};

} // namespace laburnumspar::detail
