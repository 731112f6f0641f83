#pragma once

#include "net/io.h"

namespace laburnumspar::detail {

/// A TCP listener that passes each accepted connection, on a strand of its own, to a hook.
class Listener
{
public:
    using AcceptHook = std::function<void(tcp::socket)>;

    /// Binds the address. Throws TransportError if that fails.
    Listener(asio::io_context &context, const Endpoint &endpoint, AcceptHook onAccept);

    void start();
    /// Accepts the connections that are waiting, then stops accepting. Safe to call from any thread.
    void finish();
    /// Stops accepting. Safe to call from any thread.
    void close();

private:
    awaitable<void> acceptAll();
    void onAccepted(tcp::socket socket);
    void closeNow();

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    AcceptHook m_onAccept;
};

} // namespace laburnumspar::detail
