#pragma once

#include "net/io.h"

namespace laburnumspar::detail {

/// Limit of the read buffer of a connection. Heads, chunk headers and trailers have to fit, which otherwise could grow
/// without end.
inline constexpr std::size_t MaxUnparsedBytes = 128 << 10;

/// Whether an incomplete message consists of framing rather than content: tiny chunks, chunk extensions or trailers.
/// `received`: parsed bytes of the message, including its head.
bool hasExcessiveFraming(std::size_t received, std::size_t bodyBytes);

/// Memory that the incomplete messages of several connections share. Thread-safe.
class MessageMemory
{
public:
    explicit MessageMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Returns false, and reserves nothing, if that would exceed the limit.
    bool reserve(std::size_t n);
    void release(std::size_t n);
    std::size_t used() const
    {
        return m_used;
    }

private:
    std::size_t m_maxBytes;
    std::atomic<std::size_t> m_used = 0;
};

/// Reads one message to its end. Fails with http::error::body_limit for a message of excessive framing, and with
/// asio::error::no_buffer_space if `memory`, which may be null, is exhausted. The caller sets the limits of `buf` and
/// of the parser, and the expiry time of the stream.
template <bool IsRequest>
awaitable<error_code> readMessage(beast::tcp_stream &stream,
                                  beast::flat_buffer &buf,
                                  http::parser<IsRequest, http::string_body> &parser,
                                  MessageMemory *memory);

extern template awaitable<error_code>
readMessage(beast::tcp_stream &, beast::flat_buffer &, http::parser<true, http::string_body> &, MessageMemory *);
extern template awaitable<error_code>
readMessage(beast::tcp_stream &, beast::flat_buffer &, http::parser<false, http::string_body> &, MessageMemory *);

} // namespace laburnumspar::detail
