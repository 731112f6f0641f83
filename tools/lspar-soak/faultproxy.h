#pragma once

#include "net/listener.h"

#include <list>
#include <memory>

namespace laburnumspar::soak {

namespace asio = boost::asio;
using detail::awaitable;
using detail::tcp;

enum class LinkFault : std::uint8_t {
    None,
    Delay, ///< each piece of bytes is late
    Reset, ///< connections are reset when they carry bytes
    Silent, ///< nothing goes through in either direction, and nothing is closed
    OneWay, ///< bytes go to the server, and nothing comes back
    Refuse, ///< connections are closed at once
};

std::string_view nameOf(LinkFault fault);

/// A TCP proxy on a loopback address that harms what passes it.
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
    void accept(tcp::socket caller);

    asio::io_context &m_context;
    Endpoint m_target;
    std::shared_ptr<LinkFault> m_fault = std::make_shared<LinkFault>(LinkFault::None);
    detail::Listener m_listener;
};

} // namespace laburnumspar::soak
