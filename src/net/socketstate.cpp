#include "net/socketstate.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace laburnumspar::detail {

namespace {

/// `n`: result of recv() with a buffer that is not empty.
Input toInput(ssize_t n)
{
    if (n > 0) {
        return Input::Bytes;
    }
    if (n == 0) {
        return Input::End;
    }
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? Input::None : Input::Failed;
}

} // namespace

bool closedByPeer(tcp::socket &socket)
{
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool hasUnreadData(const tcp::socket &socket)
{
    error_code ec;
    return socket.available(ec) > 0 && !ec;
}

Input readArrived(tcp::socket &socket, beast::flat_buffer &buf, std::size_t maxUnparsed)
{
    const auto space = buf.prepare(maxUnparsed - buf.size());
    const auto n = ::recv(socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    const auto input = toInput(n);
    buf.commit(input == Input::Bytes ? std::size_t(n) : 0);
    return input;
}

Input discardArrived(tcp::socket &socket)
{
    std::array<char, DrainedBytes> discarded{};
    return toInput(::recv(socket.native_handle(), discarded.data(), discarded.size(), MSG_DONTWAIT));
}

void discardEmptyLines(beast::flat_buffer &buf)
{
    const auto data = buf.cdata();
    const std::string_view bytes(static_cast<const char *>(data.data()), data.size());
    buf.consume(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
}

} // namespace laburnumspar::detail
