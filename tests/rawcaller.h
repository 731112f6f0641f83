#pragma once

#include "net/io.h"

#include <sys/socket.h>

#include <string>
#include <string_view>

namespace laburnumspar {

/// A caller that sends exactly the bytes that a test wants, over one connection.
class RawCaller
{
public:
    RawCaller(detail::asio::io_context &context, const Endpoint &server)
        : m_context(context)
        , m_socket(context)
    {
        m_socket.connect(detail::toAsio<detail::tcp>(server));
        m_socket.non_blocking(true);
    }

    /// Sends as much as the connection takes now. Returns false once the server has closed it.
    bool send(std::string_view text)
    {
        detail::error_code ec;
        sent += m_socket.write_some(detail::asio::buffer(text), ec);
        return !ec || ec == detail::asio::error::would_block;
    }

    /// Sends `text` again and again for `time`, or until the server closes the connection.
    void sendWithoutEnd(const std::string &text, Milliseconds time)
    {
        const auto end = Clock::now() + time;
        while (Clock::now() < end && send(text)) {
            run(Milliseconds(0));
        }
    }

    /// Runs the servers for `time` and returns all that the server has sent so far.
    const std::string &receive(Milliseconds time)
    {
        run(time);
        std::array<char, 65536> buf{};
        detail::error_code ec;
        while (const auto n = m_socket.read_some(detail::asio::buffer(buf), ec)) {
            m_received.append(buf.data(), n);
        }
        closed = ec && ec != detail::asio::error::would_block;
        return m_received;
    }

    void closeSendingSide()
    {
        m_socket.shutdown(detail::tcp::socket::shutdown_send);
    }

    std::size_t sent = 0; ///< bytes
    bool closed = false; ///< by the server, as seen by receive()

private:
    void run(Milliseconds time)
    {
        m_context.restart();
        time.count() > 0 ? m_context.run_for(time) : m_context.poll();
    }

    detail::asio::io_context &m_context;
    detail::tcp::socket m_socket;
    std::string m_received;
};

} // namespace laburnumspar
