#include "net/httpserver.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"
#include "net/requestframing.h"
#include "net/socketstate.h"

namespace laburnumspar::detail {

namespace {

/// Time to send a response to a client that does not read.
constexpr Milliseconds WriteTimeout{20'000};
/// Buffer of a connection that waits for a request.
constexpr std::size_t FirstReadBytes = 1 << 10;
/// Bytes that are discarded after the last answer, at most. Clients that send more are reset.
constexpr std::size_t MaxDrainedBytes = 4 << 20;

} // namespace

struct HttpServer::State {
    State(Limits serverLimits, Handler requestHandler)
        : limits(serverLimits)
        , handler(std::move(requestHandler))
        , pendingRequests(limits.maxPendingBytes)
    {
    }

    Limits limits;
    Handler handler;
    MessageMemory pendingRequests;
    std::atomic<bool> closing = false;
    std::atomic<std::size_t> inFlight = 0;
    std::atomic<std::size_t> connections = 0;
    std::mutex mutex; // lock rank: Links
    std::set<Connection *> open;
};

/// One connection of a client. Kept alive by its coroutine.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::move(socket))
        , m_closeTimer(m_stream.get_executor())
        , m_buf(MaxUnparsedBytes)
    {
        ++m_state->connections;
        std::lock_guard lock(m_state->mutex);
        m_state->open.insert(this);
    }
    ~Connection()
    {
        std::lock_guard lock(m_state->mutex);
        m_state->open.erase(this);
        --m_state->connections;
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    awaitable<void> run()
    {
        auto self = shared_from_this();
        while (!m_closeRequested) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(m_state->limits.maxBodyBytes);
            parser.header_limit(m_state->limits.maxHeaderBytes);
            m_stream.expires_after(m_state->limits.idleTimeout);
            auto ec = co_await readFirstBytes();
            if (!ec) {
                ec = co_await readMessage(m_stream, m_buf, parser, &m_state->pendingRequests);
            }
            if (ec) {
                co_await refuseBadInput(ec);
                break;
            }
            if (const auto status = framingError(parser.get())) {
                co_await refuse(*status, Reason::BadRequest, "unsupported transfer encoding");
                break;
            }
            m_stream.expires_never();
            if (m_clientClosed) {
                // Nobody may be left to read the answer.
                co_await refuse(
                    http::status::service_unavailable, Reason::Cancelled, "the caller has closed its connection");
                break;
            }
            if (!co_await serve(parser.release())) {
                break;
            }
        }
        co_await drain();
        m_stream.close();
    }

    /// Closes the connection now, or after the response if a request is arriving or in flight.
    void closeIfIdle()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            self->m_closeRequested = true;
            if (self->m_idle && !hasUnreadData(self->m_stream.socket())) {
                self->m_stream.cancel();
            }
        });
    }

    /// Cancels the request in flight, if any.
    void abort()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            if (self->m_cancellation) {
                self->m_cancellation->cancel();
            }
        });
    }

private:
    /// Waits for the first bytes of a request. Empty lines do not begin one.
    awaitable<error_code> readFirstBytes()
    {
        discardEmptyLines(m_buf);
        if (m_buf.size() == 0 && m_buf.capacity() > FirstReadBytes) {
            m_buf.shrink_to_fit();
        }
        while (m_buf.size() == 0) {
            m_idle = true;
            auto [ec, n] = co_await m_stream.async_read_some(m_buf.prepare(FirstReadBytes), NoThrowAwaitable);
            m_idle = false;
            if (ec) {
                // As the parser reports an end between two requests.
                co_return ec == asio::error::eof ? error_code(http::error::end_of_stream) : ec;
            }
            m_buf.commit(n);
            discardEmptyLines(m_buf);
        }
        co_return error_code();
    }

    awaitable<bool> serve(HttpRequest request)
    {
        ++m_state->inFlight;
        m_cancellation = std::make_shared<Cancellation>();
        watch();
        const auto version = request.version();
        const bool keepAlive = request.keep_alive();
        auto response = co_await handle(std::move(request));
        response.version(version);
        response.keep_alive(keepAlive && !m_state->closing);
        response.prepare_payload();
        m_cancellation.reset();
        m_closeTimer.cancel();
        m_stream.socket().cancel();
        m_stream.expires_after(WriteTimeout);
        auto [ec, n] = co_await http::async_write(m_stream, response, NoThrowAwaitable);
        releaseEarlyBytes();
        --m_state->inFlight;
        co_return !ec && response.keep_alive();
    }

    awaitable<HttpResponse> handle(HttpRequest request)
    {
        std::string detail;
        try {
            co_return co_await m_state->handler(std::move(request), m_cancellation);
        } catch (const InvariantError &) {
            throw;
        } catch (const std::exception &e) {
            detail = e.what();
        }
        logEvent(LogLevel::Error, "http.handler-failed", {{"error", detail}});
        auto response = makeResponse(http::status::internal_server_error,
                                     "application/json",
                                     "{\"outcome\":\"may-have-run\",\"reason\":\"upstream-error\"}\n");
        response.set("Lspar-Outcome", name(Outcome::MayHaveRun));
        co_return response;
    }

    /// Waits until bytes arrive or the client closes the connection while a request is being handled.
    void watch()
    {
        m_stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = shared_from_this(), request = m_cancellation](error_code ec) {
                                         if (!ec && self->m_cancellation == request) {
                                             self->readEarlyBytes();
                                         }
                                     });
    }

    /// Reads what the client sends before it has received the answer to its request: the start of its next requests, or
    /// the end of its connection.
    void readEarlyBytes()
    {
        if (m_buf.size() >= MaxEarlyBytes || !reserveEarlyBytes()) {
            pollForClose();
            return;
        }
        const auto input = readArrived(m_stream.socket(), m_buf, MaxEarlyBytes);
        if (input == Input::Bytes || input == Input::None) {
            watch();
        } else {
            onClosed();
        }
    }

    /// Early bytes count as a request that has not arrived completely.
    bool reserveEarlyBytes()
    {
        m_earlyReserved = m_earlyReserved || m_state->pendingRequests.reserve(MaxEarlyBytes);
        return m_earlyReserved;
    }

    void releaseEarlyBytes()
    {
        if (std::exchange(m_earlyReserved, false)) {
            m_state->pendingRequests.release(MaxEarlyBytes);
        }
    }

    void pollForClose()
    {
        m_closeTimer.expires_after(ClosePollInterval);
        m_closeTimer.async_wait([self = shared_from_this(), request = m_cancellation](error_code ec) {
            if (!ec && self->m_cancellation == request) {
                closedByPeer(self->m_stream.socket()) ? self->onClosed() : self->pollForClose();
            }
        });
    }

    /// The client has closed its connection, or only its sending side; which of the two is known when the answer is
    /// written.
    void onClosed()
    {
        m_clientClosed = true;
        m_cancellation->cancelByCaller();
    }

    /// Discards what the client has sent after its last request that is answered. A close with unread bytes resets the
    /// connection, and the client may lose the end of the answer.
    awaitable<void> drain()
    {
        error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        if (ec || !(m_unread || hasUnreadData(m_stream.socket()))) {
            co_return;
        }
        logEvent(LogLevel::Debug, "connection.closed-unread", {});
        m_buf.clear();
        m_stream.expires_after(DrainTimeout);
        for (std::size_t drained = 0; !ec && drained < MaxDrainedBytes;) {
            auto [readError, n] = co_await m_stream.async_read_some(m_buf.prepare(DrainedBytes), NoThrowAwaitable);
            ec = readError;
            drained += n;
        }
    }

    awaitable<void> refuseBadInput(error_code ec)
    {
        if (ec == asio::error::no_buffer_space) {
            co_await refuse(http::status::service_unavailable, Reason::Shed, "no memory for the body");
        } else if (ec.category() == error_code(http::error::bad_method).category()
                   && ec != http::error::end_of_stream) {
            co_await refuse(http::status::bad_request, Reason::BadRequest, ec.message());
        }
    }

    /// Answers a request that has not been read completely. The connection has to be closed after it.
    awaitable<void> refuse(http::status status, Reason reason, std::string detail)
    {
        m_unread = true;
        auto response = makeResponse(status,
                                     "application/json",
                                     R"({"outcome":"not-run","reason":")" + std::string(name(reason))
                                         + R"(","request":"","detail":")" + detail + "\"}\n");
        response.keep_alive(false);
        response.set("Lspar-Outcome", name(Outcome::NotRun));
        co_await http::async_write(m_stream, response, NoThrowAwaitable);
    }

    std::shared_ptr<State> m_state;
    beast::tcp_stream m_stream;
    asio::steady_timer m_closeTimer; ///< of pollForClose()
    beast::flat_buffer m_buf;
    CancellationPtr m_cancellation; ///< of the request that is being handled
    bool m_earlyReserved = false;
    bool m_clientClosed = false; ///< the client sends nothing more
    bool m_unread = false; ///< the last request has been refused before it was read
    bool m_idle = false; ///< no byte of a request has been read
    bool m_closeRequested = false;
};

HttpServer::HttpServer(asio::io_context &context, const Endpoint &endpoint, Limits limits, Handler handler)
    : m_state(std::make_shared<State>(limits, std::move(handler)))
    , m_listener(context, endpoint, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

void HttpServer::startClosing()
{
    m_state->closing = true;
}

std::size_t HttpServer::requestsInFlight() const
{
    return m_state->inFlight;
}

std::size_t HttpServer::connections() const
{
    return m_state->connections;
}

void HttpServer::start()
{
    m_listener.start();
}

void HttpServer::serve(tcp::socket socket)
{
    if (m_state->connections >= m_state->limits.maxConnections) {
        logEvent(LogLevel::Warning, "http.connection-limit", {{"limit", m_state->limits.maxConnections}});
        return;
    }
    auto executor = socket.get_executor();
    auto connection = std::make_shared<Connection>(m_state, std::move(socket));
    asio::co_spawn(
        executor,
        [connection] { return connection->run(); },
        [](std::exception_ptr error) { handleTaskException(std::move(error), "http.connection"); });
}

void HttpServer::close()
{
    m_state->closing = true;
    m_listener.close();
    for (const auto &connection : openConnections()) {
        connection->closeIfIdle();
    }
}

std::size_t HttpServer::abort()
{
    for (const auto &connection : openConnections()) {
        connection->abort();
    }
    return m_state->inFlight;
}

std::vector<std::shared_ptr<HttpServer::Connection>> HttpServer::openConnections() const
{
    std::vector<std::shared_ptr<Connection>> connections;
    std::lock_guard lock(m_state->mutex);
    for (auto *connection : m_state->open) {
        // The lock fails while the connection is being destroyed.
        if (auto shared = connection->weak_from_this().lock()) {
            connections.push_back(std::move(shared));
        }
    }
    return connections;
}

HttpResponse makeResponse(http::status status, std::string_view contentType, std::string body)
{
    HttpResponse response{status, 11};
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace laburnumspar::detail
