#pragma once

#include "net/io.h"

namespace laburnumspar::detail {

/// Whether a system call on a socket failed only because it would have had to wait. `error`: its errno.
bool wouldBlock(int error);
/// Whether the other side has closed the connection, even if it has sent bytes that are not read yet.
bool closedByPeer(tcp::socket &socket);

} // namespace laburnumspar::detail
