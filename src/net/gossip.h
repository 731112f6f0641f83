#pragma once

#include "laburnumspar/messages.h"
#include "laburnumspar/metrics.h"
#include "net/faultinjector.h"
#include "net/io.h"

namespace laburnumspar::detail {

/// UDP socket that sends and receives heartbeats.
class Gossip
{
public:
    using ReceiveHook = std::function<void(const DecodedMessage &, const Endpoint &from)>;

    /// Binds the address. Throws TransportError if that fails.
    Gossip(asio::io_context &context,
           const FaultInjector &faults,
           const Endpoint &self,
           MetricsRegistry &metrics,
           ReceiveHook onReceive);

    void start();
    /// Sends a datagram; errors are ignored. Safe to call from any thread.
    void send(const Endpoint &to, std::vector<std::uint8_t> bytes);
    void close();

private:
    awaitable<void> receiveAll();
    void receive(std::span<const std::uint8_t> bytes, const Endpoint &from);

    udp::socket m_socket;
    const FaultInjector &m_faults;
    ReceiveHook m_onReceive;
    Counter &m_sentBytes;
    Counter &m_receivedBytes;
    Counter &m_refused;
};

} // namespace laburnumspar::detail
