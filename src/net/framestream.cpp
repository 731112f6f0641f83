#include "net/framestream.h"

#include "laburnumspar/log.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Memory that a frame takes before its bytes arrive.
constexpr std::size_t MaxReadBytes = 64 << 10;

} // namespace

FrameStream::FrameStream(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void FrameStream::send(std::vector<std::uint8_t> frame, WriteHook onWrite)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), frame = std::move(frame), onWrite = std::move(onWrite)]() mutable {
                   if (!self->m_socket.is_open()) {
                       return;
                   }
                   self->m_queuedBytes += frame.size();
                   self->m_queue.push_back({std::move(frame), std::move(onWrite)});
                   if (!self->m_writing) {
                       self->m_writing = true;
                       asio::co_spawn(
                           self->m_socket.get_executor(),
                           [self] { return self->writeAll(); },
                           [](std::exception_ptr error) { handleTaskException(std::move(error), "peer.write"); });
                   }
               });
}

awaitable<void> FrameStream::writeAll()
{
    while (!m_queue.empty() && m_socket.is_open()) {
        auto frame = std::move(m_queue.front());
        m_queue.pop_front();
        m_queuedBytes -= frame.bytes.size();
        if (frame.onWrite && !frame.onWrite()) {
            continue;
        }
        auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(frame.bytes), NoThrowAwaitable);
        if (ec) {
            error_code ignored;
            m_socket.close(ignored);
        }
    }
    m_writing = false;
}

awaitable<std::optional<DecodedMessage>> FrameStream::receive()
{
    std::vector<std::uint8_t> buf(FrameHeaderBytes);
    auto [ec, n] = co_await asio::async_read(m_socket, asio::buffer(buf), NoThrowAwaitable);
    if (ec) {
        co_return std::nullopt;
    }
    std::string decodeError;
    try {
        const auto length = frameLength(buf);
        while (buf.size() < length) {
            const auto received = buf.size();
            buf.resize(std::min(length, received + MaxReadBytes));
            auto [bodyError, bodyRead]
                = co_await asio::async_read(m_socket, asio::buffer(buf) + received, NoThrowAwaitable);
            if (bodyError) {
                co_return std::nullopt;
            }
        }
        co_return decode(buf);
    } catch (const DecodeError &e) {
        decodeError = e.what();
    }
    logEvent(LogLevel::Warning, "peer.bad-frame", {{"error", decodeError}});
    co_return std::nullopt;
}

void FrameStream::close()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->m_socket.close(ignored);
    });
}

} // namespace laburnumspar::detail
