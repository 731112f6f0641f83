#include "net/gossip.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

udp::socket bindSocket(asio::io_context &context, const Endpoint &endpoint)
{
    try {
        return udp::socket(asio::make_strand(context), toAsio<udp>(endpoint));
    } catch (const boost::system::system_error &e) {
        throw TransportError("cannot bind a UDP socket to " + toString(endpoint) + ": " + e.code().message());
    }
}

} // namespace

Gossip::Gossip(asio::io_context &context,
               const FaultInjector &faults,
               const Endpoint &self,
               MetricsRegistry &metrics,
               ReceiveHook onReceive)
    : m_socket(bindSocket(context, self))
    , m_faults(faults)
    , m_onReceive(std::move(onReceive))
    , m_sentBytes(metrics.counter("lspar_gossip_sent_bytes_total"))
    , m_receivedBytes(metrics.counter("lspar_gossip_received_bytes_total"))
    , m_refused(metrics.counter("lspar_gossip_refused_total"))
{
}

void Gossip::start()
{
    asio::co_spawn(m_socket.get_executor(), receiveAll(), [](std::exception_ptr error) {
        handleTaskException(std::move(error), "gossip.receive");
    });
}

awaitable<void> Gossip::receiveAll()
{
    // One byte more than the limit, so that an oversized datagram is detected instead of being cut to a valid prefix.
    std::array<std::uint8_t, MaxDatagramBytes + 1> buf{};
    udp::endpoint from;
    while (m_socket.is_open()) {
        auto [ec, n] = co_await m_socket.async_receive_from(asio::buffer(buf), from, NoThrowAwaitable);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        // Other errors are ICMP reports about earlier datagrams to unreachable peers.
        if (!ec) {
            receive(std::span(buf.data(), n), fromAsio(from));
        }
    }
}

void Gossip::receive(std::span<const std::uint8_t> bytes, const Endpoint &from)
{
    m_receivedBytes.add(bytes.size());
    if (bytes.size() > MaxDatagramBytes) {
        m_refused.add();
        return;
    }
    try {
        const auto message = decode(bytes);
        if (m_faults.allowsIncoming(message.envelope.sender)) {
            m_onReceive(message, from);
        }
    } catch (const DecodeError &e) {
        m_refused.add();
        logEvent(LogLevel::Debug, "gossip.refused", {{"from", toString(from)}, {"error", e.what()}});
    }
}

void Gossip::send(const Endpoint &to, std::vector<std::uint8_t> bytes)
{
    if (!m_faults.allowsOutgoing(to)) {
        return;
    }
    m_sentBytes.add(bytes.size());
    asio::post(m_socket.get_executor(), [this, to, bytes = std::move(bytes)] {
        error_code ignored; // the next heartbeat makes up for a lost datagram
        m_socket.send_to(asio::buffer(bytes), toAsio<udp>(to), 0, ignored);
    });
}

void Gossip::close()
{
    asio::post(m_socket.get_executor(), [this] {
        error_code ignored;
        m_socket.close(ignored);
    });
}

} // namespace laburnumspar::detail
