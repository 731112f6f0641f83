#pragma once

#include "laburnumspar/types.h"
#include "platformservice.h"

namespace laburnumspar::tools {

/// Accepts HTTP/1.1 connections and serves them with a PlatformService.
class PlatformServer
{
public:
    /// Throws TransportError if the address cannot be bound.
    PlatformServer(boost::asio::io_context &context, const Endpoint &listen, PlatformService &service);

    /// Bound address; states the port that the system chose for port 0.
    Endpoint address() const;
    /// Accepts until the context stops.
    void start();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket socket);

    boost::asio::ip::tcp::acceptor m_acceptor;
    PlatformService &m_service;
};

} // namespace laburnumspar::tools
