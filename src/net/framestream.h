#pragma once

#include "laburnumspar/messages.h"
#include "net/io.h"

#include <deque>

namespace laburnumspar::detail {

/// A TCP connection that carries encoded messages. All members except `send` and `close` may only be called on the
/// strand of the socket.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
    /// Called immediately before a frame is written; the frame is dropped if it returns false.
    using WriteHook = std::function<bool()>;

    explicit FrameStream(tcp::socket socket);

    /// Queues a frame. Safe to call from any thread.
    void send(std::vector<std::uint8_t> frame, WriteHook onWrite = {});
    /// Receives the next message. Empty if the connection has ended or the received bytes are not a valid message.
    awaitable<std::optional<DecodedMessage>> receive();
    /// Safe to call from any thread.
    void close();

    tcp::socket &socket()
    {
        return m_socket;
    }
    /// Number of bytes that wait to be written.
    std::size_t queuedBytes() const
    {
        return m_queuedBytes;
    }

private:
    struct Frame {
        std::vector<std::uint8_t> bytes;
        WriteHook onWrite;
    };

    awaitable<void> writeAll();

    tcp::socket m_socket;
    std::deque<Frame> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_writing = false;
};

using FrameStreamPtr = std::shared_ptr<FrameStream>;

} // namespace laburnumspar::detail
