#pragma once

#include "laburnumspar/errors.h"
#include "net/listener.h"

#include <functional>
#include <memory>
#include <string>

namespace laburnumspar {

/// An upstream that sends exactly the bytes that a test wants. The script is called for each request, with the value of
/// its identifier header, and may send without end until the connection is closed.
class RawUpstream
{
public:
    using Script = std::function<detail::awaitable<void>(RawUpstream &, detail::tcp::socket &, std::string id)>;

    RawUpstream(detail::asio::io_context &context, const Endpoint &endpoint, std::string idHeader)
        : m_idHeader(std::move(idHeader) + ": ")
        , m_listener(context, endpoint, [this, &context](detail::tcp::socket socket) {
            ++connections;
            auto shared = std::make_shared<detail::tcp::socket>(std::move(socket));
            detail::asio::co_spawn(context, serve(shared), [](std::exception_ptr) {});
        })
    {
        m_listener.start();
    }

    void close()
    {
        m_listener.close();
    }

    /// Returns false if the connection has been closed. `text` has to outlive the call.
    detail::awaitable<bool> send(detail::tcp::socket &socket, const std::string &text)
    {
        auto [ec, n] = co_await detail::asio::async_write(socket, detail::asio::buffer(text), detail::NoThrowAwaitable);
        sent += n;
        co_return !ec;
    }

    /// Sends `text` again and again until the connection is closed.
    detail::awaitable<void> sendWithoutEnd(detail::tcp::socket &socket, const std::string &text)
    {
        bool open = true;
        while (open) {
            open = co_await send(socket, text);
        }
        ++closedByPeer;
    }

    Script script;
    unsigned connections = 0;
    unsigned requests = 0;
    unsigned closedByPeer = 0; ///< connections closed while sendWithoutEnd() was sending
    std::size_t sent = 0; ///< bytes

private:
    detail::awaitable<void> serve(std::shared_ptr<detail::tcp::socket> socket)
    {
        std::string buf;
        for (;;) {
            auto [ec, n] = co_await detail::asio::async_read_until(
                *socket, detail::asio::dynamic_buffer(buf), "\r\n\r\n", detail::NoThrowAwaitable);
            if (ec) {
                co_return;
            }
            const auto head = buf.substr(0, n);
            buf.erase(0, n);
            ++requests;
            const auto at = head.find(m_idHeader);
            const auto begin = at + m_idHeader.size();
            auto id = at == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", at) - begin);
            // The coroutine uses the captures of this copy, also after the test has set another script.
            const auto running = script;
            co_await running(*this, *socket, std::move(id));
        }
    }

    std::string m_idHeader;
    detail::Listener m_listener;
};

} // namespace laburnumspar
