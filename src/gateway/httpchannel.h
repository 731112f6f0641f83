#pragma once

#include "net/replyfailure.h"

#include <memory>
#include <optional>
#include <string>

namespace laburnumspar::detail {

struct ChannelReply {
    unsigned status = 0; ///< HTTP status; 0 if no complete reply has arrived
    std::string body;
    http::fields headers;
    ReplyFailure failure = ReplyFailure::None; ///< why no complete reply has arrived
    std::string error; ///< message that belongs to `failure`
};

/// Sends GET requests to one server over a persistent connection. Only one request may be in progress at a time.
class HttpChannel
{
public:
    /// `acceptedEncoding`: content encoding in which the server may answer; empty if none.
    HttpChannel(asio::io_context &context, Endpoint server, std::string acceptedEncoding = {});

    /// Never throws. If no complete reply arrives within `timeout`, or one that exceeds its limit, the connection is
    /// closed.
    awaitable<ChannelReply> get(const std::string &target, Milliseconds timeout);
    const Endpoint &server() const
    {
        return m_server;
    }

private:
    bool isReusable();
    awaitable<ChannelReply> exchange(const std::string &target);

    asio::io_context &m_context;
    Endpoint m_server;
    std::string m_acceptedEncoding;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buf;
};

} // namespace laburnumspar::detail
