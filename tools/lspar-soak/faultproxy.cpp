#include "faultproxy.h"

#include <array>

namespace laburnumspar::soak {

namespace {

using detail::NoThrowAwaitable;

/// Delay of data with LinkFault::Delay.
constexpr Milliseconds AddedDelay{150};
/// Interval at which a blocked direction checks whether the fault has ended.
constexpr Milliseconds BlockPollInterval{50};

/// Connection of a client and the proxy's connection to the server.
struct ConnectionPair {
    explicit ConnectionPair(tcp::socket clientSocket, asio::io_context &context)
        : client(std::move(clientSocket))
        , server(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    tcp::socket client;
    tcp::socket server;
};

bool isBlocked(LinkFault fault, bool toServer)
{
    return fault == LinkFault::Blackhole || (fault == LinkFault::OneWay && !toServer);
}

/// Forwards data in one direction until either connection ends.
awaitable<void> forward(std::shared_ptr<ConnectionPair> connections, bool toServer, std::shared_ptr<LinkFault> fault)
{
    auto &from = toServer ? connections->client : connections->server;
    auto &to = toServer ? connections->server : connections->client;
    std::array<char, 16384> buf;
    for (;;) {
        auto [readError, n] = co_await from.async_read_some(asio::buffer(buf), NoThrowAwaitable);
        while (isBlocked(*fault, toServer) && connections->client.is_open()) {
            co_await detail::sleepFor(BlockPollInterval);
        }
        if (*fault == LinkFault::Reset) {
            connections->reset();
            co_return;
        }
        if (readError) {
            connections->close();
            co_return;
        }
        if (*fault == LinkFault::Delay) {
            co_await detail::sleepFor(AddedDelay);
        }
        auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf, n), NoThrowAwaitable);
        if (writeError) {
            connections->close();
            co_return;
        }
    }
}

} // namespace

std::string_view nameOf(LinkFault fault)
{
    constexpr std::array<std::string_view, 6> Names{"none", "delay", "reset", "silent", "one-way", "refuse"};
    return Names.at(static_cast<std::size_t>(fault));
}

FaultProxy::FaultProxy(asio::io_context &context, const Endpoint &listen, Endpoint target)
    : m_context(context)
    , m_target(std::move(target))
    , m_listener(context, listen, [this](tcp::socket client) { acceptClient(std::move(client)); })
{
    m_listener.start();
}

void FaultProxy::setFault(LinkFault fault)
{
    *m_fault = fault;
}

void FaultProxy::acceptClient(tcp::socket client)
{
    if (*m_fault == LinkFault::Refuse) {
        return;
    }
    auto connections = std::make_shared<ConnectionPair>(std::move(client), m_context);
    connections->server.async_connect(detail::toAsio<tcp>(m_target), [this, connections](boost::system::error_code ec) {
        if (ec) {
            connections->close();
            return;
        }
        const auto run = [this](awaitable<void> task) {
            asio::co_spawn(m_context, std::move(task), [](std::exception_ptr error) {
                detail::handleTaskException(std::move(error), "fault-proxy");
            });
        };
        run(forward(connections, true, m_fault));
        run(forward(connections, false, m_fault));
    });
}

} // namespace laburnumspar::soak
