#pragma once

#include "laburnumspar/types.h"
#include "platformservice.h"

namespace laburnumspar::tools {

/// HTTP/1.1 server of a PlatformService.
class PlatformServer
{
public:
    /// Throws TransportError if the address cannot be bound.
    PlatformServer(boost::asio::io_context &context, const Endpoint &listen, PlatformService &service);

    /// Bound address; if port 0 was requested, it has the port that the system selected.
    Endpoint address() const;
    /// Accepts connections until the context stops.
    void start();

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(Socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    PlatformService &m_service;
};

} // namespace laburnumspar::tools
