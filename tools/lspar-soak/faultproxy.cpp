#include "faultproxy.h"

#include <array>

namespace laburnumspar::soak {

namespace {

using detail::NoThrowAwaitable;

constexpr Milliseconds DelayTime{150};
constexpr Milliseconds SilentStep{50};

struct Pair {
    explicit Pair(tcp::socket callerSocket, asio::io_context &context)
        : caller(std::move(callerSocket))
        , server(context)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller.close(ignored);
        server.close(ignored);
    }

    void reset()
    {
        boost::system::error_code ignored;
        caller.set_option(asio::socket_base::linger(true, 0), ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    tcp::socket caller;
    tcp::socket server;
};

bool isHeldUp(LinkFault fault, bool toServer)
{
    return fault == LinkFault::Silent || (fault == LinkFault::OneWay && !toServer);
}

awaitable<void> pump(std::shared_ptr<Pair> pair, bool toServer, std::shared_ptr<LinkFault> fault)
{
    auto &from = toServer ? pair->caller : pair->server;
    auto &to = toServer ? pair->server : pair->caller;
    std::array<char, 16384> buf;
    for (;;) {
        auto [readError, n] = co_await from.async_read_some(asio::buffer(buf), NoThrowAwaitable);
        while (isHeldUp(*fault, toServer) && pair->caller.is_open()) {
            co_await detail::sleepFor(SilentStep);
        }
        if (*fault == LinkFault::Reset) {
            pair->reset();
            co_return;
        }
        if (readError) {
            pair->close();
            co_return;
        }
        if (*fault == LinkFault::Delay) {
            co_await detail::sleepFor(DelayTime);
        }
        auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf, n), NoThrowAwaitable);
        if (writeError) {
            pair->close();
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
    , m_listener(context, listen, [this](tcp::socket caller) { accept(std::move(caller)); })
{
    m_listener.start();
}

void FaultProxy::setFault(LinkFault fault)
{
    *m_fault = fault;
}

void FaultProxy::accept(tcp::socket caller)
{
    if (*m_fault == LinkFault::Refuse) {
        return;
    }
    auto pair = std::make_shared<Pair>(std::move(caller), m_context);
    pair->server.async_connect(detail::toAsio<tcp>(m_target), [this, pair](boost::system::error_code ec) {
        if (ec) {
            pair->close();
            return;
        }
        const auto run = [this](awaitable<void> task) {
            asio::co_spawn(m_context, std::move(task), [](std::exception_ptr error) {
                detail::handleTaskException(std::move(error), "fault-proxy");
            });
        };
        run(pump(pair, true, m_fault));
        run(pump(pair, false, m_fault));
    });
}

} // namespace laburnumspar::soak
