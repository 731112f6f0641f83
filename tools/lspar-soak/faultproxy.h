#pragma once

#include "net/listener.h"

#include <list>
#include <memory>

namespace laburnumspar::soak {

namespace asio = boost::asio;
using detail::awaitable;
using detail::tcp;

/// Network faults on the link between a client and a server.
enum class LinkFault : std::uint8_t {
    None,
    Delay, ///< data is forwarded with a delay
    Reset, ///< connections are reset when data arrives
    Blackhole, ///< no data is forwarded in either direction, and connections stay open
    OneWay, ///< data is forwarded to the server, but not to the client
    Refuse, ///< new connections are closed immediately
};

/// Name of a fault in the log.
std::string_view nameOf(LinkFault fault);

/// TCP proxy that injects network faults into its connections.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, const Endpoint &listen, Endpoint target);

    void setFault(LinkFault fault);
    LinkFault fault() const
    {
        return *m_fault;
    }

private:
    void acceptClient(tcp::socket client);

    asio::io_context &m_context;
    Endpoint m_target;
    std::shared_ptr<LinkFault> m_fault = std::make_shared<LinkFault>(LinkFault::None);
    detail::Listener m_listener;
};

} // namespace laburnumspar::soak
