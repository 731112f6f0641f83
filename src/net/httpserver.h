#pragma once

#include "laburnumspar/messages.h"
#include "net/listener.h"

#include <set>

namespace laburnumspar::detail {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// An HTTP/1.1 listener which hands each request to a hook.
class HttpServer
{
public:
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest, CancellationPtr)>;

    struct Limits {
        std::uint64_t maxBodyBytes = MaxBodyBytes; ///< any request may have to be forwarded
        std::uint32_t maxHeaderBytes = 16 << 10;
        std::size_t maxConnections = 10000;
        Milliseconds idleTimeout{120000};
    };

    /// Binds at once; throws TransportError if the address is taken.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, Limits limits, Handler handler);

    void start();
    /// From now on each answer asks the caller to close its connection.
    void startClosing();
    /// Stops accepting and closes connections which carry no request.
    void close();
    /// Requests that have been read and not yet been answered.
    std::size_t requestsInFlight() const;
    std::size_t connections() const;
    /// Cancels all requests in flight; returns their number.
    std::size_t abort();

private:
    class Connection;
    struct State;

    void serve(tcp::socket socket);
    std::vector<std::shared_ptr<Connection>> openConnections() const;

    // Shared with the connections, which may end after the server.
    std::shared_ptr<State> m_state;
    Listener m_listener;
};

/// A JSON or text answer.
HttpResponse makeResponse(http::status status, std::string_view contentType, std::string body);

} // namespace laburnumspar::detail
