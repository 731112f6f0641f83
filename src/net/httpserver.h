#pragma once

#include "laburnumspar/messages.h"
#include "net/listener.h"
#include "net/messagereader.h"

#include <set>

namespace laburnumspar::detail {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// An HTTP/1.1 server that passes each request to a handler.
class HttpServer
{
public:
    /// The cancellation is triggered when the client closes its connection or the server aborts its requests.
    using Handler = std::function<awaitable<HttpResponse>(HttpRequest, CancellationPtr)>;

    struct Limits {
        std::uint64_t maxBodyBytes = MaxBodyBytes; ///< any request may be forwarded to a peer
        std::uint32_t maxHeaderBytes = 16 << 10;
        std::size_t maxPendingBytes = 128 << 20; ///< of all requests that have not arrived completely
        std::size_t maxConnections = 10000;
        Milliseconds idleTimeout{120000};
    };

    /// Binds the address. Throws TransportError if that fails.
    HttpServer(asio::io_context &context, const Endpoint &endpoint, Limits limits, Handler handler);

    void start();
    /// Makes all further responses ask the client to close its connection.
    void startClosing();
    /// Stops accepting connections and closes those without a request in flight.
    void close();
    /// Number of requests that have been read but not answered yet.
    std::size_t requestsInFlight() const;
    /// Number of open connections.
    std::size_t connections() const;
    /// Cancels all requests in flight and returns their number.
    std::size_t abort();

private:
    class Connection;
    struct State;

    void serve(tcp::socket socket);
    std::vector<std::shared_ptr<Connection>> openConnections() const;

    // Shared with the connections, which may outlive the server.
    std::shared_ptr<State> m_state;
    Listener m_listener;
};

/// Creates a response with the given status, content type and body.
HttpResponse makeResponse(http::status status, std::string_view contentType, std::string body);

} // namespace laburnumspar::detail
