#include "net/messagereader.h"

namespace laburnumspar::detail {

namespace {

/// Bytes of head, chunk headers and trailers that any message may have.
constexpr std::size_t MaxFramingBytes = 128 << 10;
/// Content for which a message may have one more byte of framing. Senders that stream chunks of a dozen bytes stay
/// below.
constexpr std::size_t ContentPerFramingByte = 2;

/// Memory reserved for one message, released at the end of its scope.
class Reservation
{
public:
    explicit Reservation(MessageMemory *memory)
        : m_memory(memory)
    {
    }
    ~Reservation()
    {
        if (m_memory) {
            m_memory->release(m_bytes);
        }
    }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    bool add(std::size_t n)
    {
        const bool reserved = !m_memory || m_memory->reserve(n);
        m_bytes += reserved ? n : 0;
        return reserved;
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    MessageMemory *m_memory;
    std::size_t m_bytes = 0;
};

} // namespace

bool hasExcessiveFraming(std::size_t received, std::size_t bodyBytes)
{
    return received > MaxFramingBytes + bodyBytes + bodyBytes / ContentPerFramingByte;
}

bool MessageMemory::reserve(std::size_t n)
{
    if (m_used.fetch_add(n) + n <= m_maxBytes) {
        return true;
    }
    m_used -= n;
    return false;
}

void MessageMemory::release(std::size_t n)
{
    m_used -= n;
}

template <bool IsRequest>
awaitable<error_code> readMessage(beast::tcp_stream &stream,
                                  beast::flat_buffer &buf,
                                  http::parser<IsRequest, http::string_body> &parser,
                                  MessageMemory *memory)
{
    Reservation reservation(memory);
    while (!parser.is_done()) {
        auto [ec, n] = co_await http::async_read_some(stream, buf, parser, NoThrowAwaitable);
        if (ec) {
            co_return ec;
        }
        if (!reservation.add(n)) {
            co_return asio::error::no_buffer_space;
        }
        if (!parser.is_done() && hasExcessiveFraming(reservation.bytes(), parser.get().body().size())) {
            co_return http::error::body_limit;
        }
    }
    co_return error_code();
}

template awaitable<error_code>
readMessage(beast::tcp_stream &, beast::flat_buffer &, http::parser<true, http::string_body> &, MessageMemory *);
template awaitable<error_code>
readMessage(beast::tcp_stream &, beast::flat_buffer &, http::parser<false, http::string_body> &, MessageMemory *);

} // namespace laburnumspar::detail
