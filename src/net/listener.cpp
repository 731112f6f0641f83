#include "net/listener.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

tcp::acceptor bindAcceptor(asio::io_context &context, const Endpoint &endpoint)
{
    try {
        return tcp::acceptor(asio::make_strand(context), toAsio<tcp>(endpoint));
    } catch (const boost::system::system_error &e) {
        throw TransportError("cannot listen on " + toString(endpoint) + ": " + e.code().message());
    }
}

} // namespace

Listener::Listener(asio::io_context &context, const Endpoint &endpoint, AcceptHook onAccept)
    : m_context(context)
    , m_acceptor(bindAcceptor(context, endpoint))
    , m_onAccept(std::move(onAccept))
{
}

void Listener::start()
{
    asio::co_spawn(m_acceptor.get_executor(), acceptAll(), [](std::exception_ptr error) {
        handleTaskException(std::move(error), "listener.accept");
    });
}

awaitable<void> Listener::acceptAll()
{
    // Accepting fails while the process is out of file descriptors; retrying at once would keep a thread busy.
    constexpr Milliseconds RetryDelay{50};
    while (m_acceptor.is_open()) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asio::make_strand(m_context), NoThrowAwaitable);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            co_await sleepFor(RetryDelay);
            continue;
        }
        onAccepted(std::move(socket));
    }
}

/// A connection that cannot be set up must not end the task that accepts the others.
void Listener::onAccepted(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    try {
        m_onAccept(std::move(socket));
    } catch (const InvariantError &) {
        throw;
    } catch (const std::exception &e) {
        logEvent(LogLevel::Error, "listener.connection-failed", {{"error", e.what()}});
    }
}

void Listener::closeNow()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void Listener::finish()
{
    asio::post(m_acceptor.get_executor(), [this] {
        error_code ec;
        m_acceptor.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(asio::make_strand(m_context));
            m_acceptor.accept(socket, ec);
            if (!ec) {
                onAccepted(std::move(socket));
            }
        }
        closeNow();
    });
}

void Listener::close()
{
    asio::post(m_acceptor.get_executor(), [this] { closeNow(); });
}

} // namespace laburnumspar::detail
