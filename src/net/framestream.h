#pragma once

#include "laburnumspar/messages.h"
#include "net/io.h"

#include <deque>

namespace laburnumspar::detail {

/// A TCP connection that carries encoded messages. All members but `send` and `close` belong to the strand.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
    /// Called right before the first byte of a frame is written; false drops the frame.
    using WriteHook = std::function<bool()>;

    explicit FrameStream(tcp::socket socket);

    /// Queues a frame. Safe to call from any thread.
    void send(std::vector<std::uint8_t> frame, WriteHook onWrite = {});
    /// Next message; empty when the connection has ended or carried bytes that are no message.
    awaitable<std::optional<DecodedMessage>> receive();
    /// Safe to call from any thread.
    void close();

    tcp::socket &socket()
    {
        return m_socket;
    }
    /// Bytes waiting to be written; only on the strand.
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
