#pragma once

#include "net/io.h"

namespace laburnumspar::detail {

/// Bytes of later requests that are read while a request waits for its answer.
inline constexpr std::size_t MaxEarlyBytes = 16 << 10;
/// Interval at which a connection with more early bytes than that is checked for a close.
inline constexpr Milliseconds ClosePollInterval{200};
/// Longest time for which a connection is drained after its last answer. Large bodies that are refused take long to
/// arrive, and many callers read the answer only after they have sent all of it.
inline constexpr Milliseconds DrainTimeout{5000};
/// Bytes that are discarded at once.
inline constexpr std::size_t DrainedBytes = 16 << 10;

/// What a connection had to offer when it was read without waiting.
enum class Input : std::uint8_t {
    Bytes,
    None,
    End, ///< the other side has closed the connection or its sending side
    Failed,
};

/// Whether the other side has closed the connection, even if it has sent bytes that are not read yet.
bool closedByPeer(tcp::socket &socket);
/// Whether bytes have arrived that are not read yet. A close would then reset the connection, and the other side may
/// lose what was written last.
bool hasUnreadData(const tcp::socket &socket);
/// Reads what has arrived, until `buf` holds `maxUnparsed` bytes.
Input readArrived(tcp::socket &socket, beast::flat_buffer &buf, std::size_t maxUnparsed);
/// Discards some of what has arrived.
Input discardArrived(tcp::socket &socket);
/// Removes the empty lines at the beginning of `buf`. Callers may send them between requests (RFC 9112, section 2.2).
void discardEmptyLines(beast::flat_buffer &buf);

} // namespace laburnumspar::detail
