#include "gateway/socketstate.h"

#include <poll.h>

#include <cerrno>

namespace laburnumspar::detail {

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

bool closedByPeer(tcp::socket &socket)
{
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace laburnumspar::detail
