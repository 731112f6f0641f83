#include "gateway/callerserver.h"

#include "laburnumspar/log.h"

#include <sys/socket.h>

namespace laburnumspar::detail {

namespace {

/// Connections beyond this are closed at once, because file descriptors are limited.
constexpr std::size_t MaxConnections = 3000;
/// Callers may send a request just before the idle timeout, so connections are kept for this much longer.
constexpr Milliseconds IdleMargin{500};
constexpr Milliseconds WriteTimeout{20'000};
/// Longest time that a request waits for the first routes. An instance has usually read them within this time after it
/// has started to listen.
constexpr Milliseconds RoutesTimeout{800};
constexpr Milliseconds RoutesPollInterval{50};
/// Retry-After for a request whose body does not fit into the memory.
constexpr Milliseconds MemoryRetryAfter{500};
/// Unparsed data of a request beyond the header. Chunk headers have to fit, which otherwise could grow without end.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;

bool closedByPeer(tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace

struct CallerServer::State {
    asio::io_context &context;
    Forwarder &forwarder;
    const ServiceRegistry &serviceRegistry;
    const ForwardingHeaders &headers;
    std::size_t maxBodyBytes;
    std::size_t pendingBodyBytes = 0;
    std::set<Session *> sessions{};
    bool closing = false;
    bool refusing = false;

    CallerLimits limits() const
    {
        return serviceRegistry.routes() ? serviceRegistry.routes()->limits() : CallerLimits();
    }
};

/// A connection of a caller. Handles one request at a time.
class CallerServer::Session : public std::enable_shared_from_this<CallerServer::Session>
{
public:
    Session(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
        , m_timer(m_state->context)
    {
        m_state->sessions.insert(this);
    }
    ~Session()
    {
        logIfUnanswered();
        releasePendingBytes();
        m_state->sessions.erase(this);
    }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void waitForRequest()
    {
        m_phase = Phase::Idle;
        if (m_buf.size() > 0) {
            readHeader();
            return;
        }
        m_idleSince = Clock::now();
        armIdleTimer();
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->m_timer.cancel();
            if (!ec && self->m_phase == Phase::Idle) {
                self->readHeader();
            }
        });
    }

    void closeIfIdle()
    {
        if (m_phase == Phase::Idle) {
            close();
        }
    }

    /// Logs the request if it has been read and its answer has not been written. Must be called before the process
    /// exits, which does not destroy sessions.
    void logIfUnanswered()
    {
        if (m_phase != Phase::Waiting && m_phase != Phase::Writing) {
            return;
        }
        const auto took = std::chrono::duration<double, std::milli>(Clock::now() - m_arrived);
        logEvent(LogLevel::Warning,
                 "request.unanswered",
                 {{"request", m_requestId},
                  {"phase", m_phase == Phase::Waiting ? "waiting" : "writing"},
                  {"ms", took.count()}});
    }

    bool hasRequest() const
    {
        return m_phase == Phase::Reading || m_phase == Phase::Waiting || m_phase == Phase::Writing
            || (m_phase == Phase::Idle && hasUnreadData());
    }

private:
    enum class Phase : std::uint8_t {
        Idle,
        Reading,
        Waiting, ///< for the first routes or the answer of an upstream
        Writing,
        Closed,
    };

    bool hasUnreadData() const
    {
        error_code ec;
        return m_socket.available(ec) > 0 && !ec;
    }

    void armIdleTimer()
    {
        m_timer.expires_at(m_idleSince + m_state->limits().idleTimeout + IdleMargin);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (ec || self->m_phase != Phase::Idle) {
                return;
            }
            // The idle timeout may have been raised since the timer was set.
            if (Clock::now() - self->m_idleSince >= self->m_state->limits().idleTimeout + IdleMargin) {
                self->close();
            } else {
                self->armIdleTimer();
            }
        });
    }

    void readHeader()
    {
        m_phase = Phase::Reading;
        const auto limits = m_state->limits();
        m_parser.emplace();
        m_parser->header_limit(std::uint32_t(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_timer.expires_after(limits.headerTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_phase == Phase::Reading) {
                self->refuse(http::status::request_timeout, "header not received in time");
            }
        });
        http::async_read_header(m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
            self->onHeader(ec);
        });
    }

    void onHeader(error_code ec)
    {
        if (m_phase != Phase::Reading) {
            return;
        }
        m_timer.cancel();
        if (ec) {
            refuseBadInput(ec);
            return;
        }
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
            static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
            asio::async_write(
                m_socket, asio::buffer(Continue), [self = shared_from_this()](error_code writeError, std::size_t) {
                    writeError ? self->close() : self->readBody();
                });
            return;
        }
        readBody();
    }

    void readBody()
    {
        if (m_parser->is_done()) {
            onMessage();
            return;
        }
        // Without a timeout, a caller that stops sending in the middle of a body would hold memory forever.
        m_timer.expires_after(std::max(m_state->limits().idleTimeout, Milliseconds(5000)));
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_phase == Phase::Reading) {
                self->refuse(http::status::request_timeout, "body not received in time");
            }
        });
        readBodyPart();
    }

    void readBodyPart()
    {
        http::async_read_some(m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t n) {
            if (self->m_phase == Phase::Reading) {
                self->onBodyPart(ec, n);
            }
        });
    }

    void onBodyPart(error_code ec, std::size_t n)
    {
        m_pendingBytes += n;
        m_state->pendingBodyBytes += n;
        if (ec) {
            m_timer.cancel();
            refuseBadInput(ec);
        } else if (m_parser->is_done()) {
            m_timer.cancel();
            onMessage();
        } else if (m_state->pendingBodyBytes > m_state->maxBodyBytes) {
            m_timer.cancel();
            refuse(http::status::service_unavailable, "no memory for the body", MemoryRetryAfter);
        } else {
            readBodyPart();
        }
    }

    void releasePendingBytes()
    {
        m_state->pendingBodyBytes -= std::exchange(m_pendingBytes, 0);
    }

    void onMessage()
    {
        releasePendingBytes();
        m_phase = Phase::Waiting;
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_headOnly = message.method() == http::verb::head;
        if (m_state->refusing) {
            refuseAsLeaving(message);
            return;
        }
        m_arrived = Clock::now();
        m_request = makeForwardedRequest(std::move(message), m_state->headers, m_arrived);
        m_requestId = m_request.id;
        watchForClose();
        forward();
    }

    /// Passes the request to the forwarder. If no routes are known yet, which happens just after the start, waits for
    /// them first.
    void forward()
    {
        const auto now = Clock::now();
        if (!m_state->forwarder.hasRoutes() && now - m_request.arrived < RoutesTimeout
            && now + RoutesPollInterval < m_request.deadline) {
            m_timer.expires_after(RoutesPollInterval);
            m_timer.async_wait([self = shared_from_this()](error_code ec) {
                if (!ec && self->m_phase == Phase::Waiting) {
                    self->forward();
                }
            });
            return;
        }
        m_forwarding = m_state->forwarder.forward(std::move(m_request), [weak = weak_from_this()](CallerAnswer answer) {
            if (const auto self = weak.lock(); self && self->m_phase == Phase::Waiting) {
                self->write(std::move(answer), !self->m_keepAlive);
            }
        });
    }

    // Abandons the request when the caller closes its connection. If the caller has already sent its next request,
    // a close is noticed only when the answer is written.
    void watchForClose()
    {
        if (m_buf.size() > 0) {
            return;
        }
        m_watching = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->m_watching = false;
            if (self->m_phase == Phase::Waiting && !ec && closedByPeer(self->m_socket)) {
                if (self->m_forwarding) {
                    self->m_forwarding->abandon();
                }
                self->close();
            }
        });
    }

    void write(CallerAnswer answer, bool closeAfter)
    {
        m_phase = Phase::Writing;
        if (m_watching) {
            // Otherwise watchForClose() would take the start of the next request for a close.
            error_code ignored;
            m_socket.cancel(ignored);
        }
        m_forwarding.reset();
        m_closeAfter = closeAfter || m_state->closing;
        m_head = callerHead(answer, m_closeAfter);
        m_body = m_headOnly ? std::string() : std::move(answer.body);
        m_timer.expires_after(WriteTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_phase == Phase::Writing) {
                self->close();
            }
        });
        const std::array<asio::const_buffer, 2> bufs{asio::buffer(m_head), asio::buffer(m_body)};
        asio::async_write(m_socket, bufs, [self = shared_from_this()](error_code ec, std::size_t) {
            self->m_timer.cancel();
            self->m_body = {};
            if (!ec && self->m_closeAfter && self->hasUnreadData()) {
                // Closing resets the connection, so that the caller may lose the end of the answer.
                logEvent(LogLevel::Info, "connection.closed-unread", {{"request", self->m_requestId}});
            }
            if (ec || self->m_closeAfter) {
                self->close();
            } else {
                self->waitForRequest();
            }
        });
    }

    void refuseAsLeaving(const CallerMessage &message)
    {
        constexpr Milliseconds RetryAfter{100};
        const auto id = message[m_state->headers.requestId];
        const std::string_view request(id.data(), id.size());
        logEvent(LogLevel::Info, "request.refused", {{"request", request}, {"status", 503}, {"reason", "leaving"}});
        write(makeLocalAnswer(http::status::service_unavailable, "leaving", request, m_state->headers, RetryAfter),
              true);
    }

    void refuse(http::status status, std::string_view detail, Milliseconds retryAfter = Milliseconds(0))
    {
        if (m_phase != Phase::Reading) {
            return;
        }
        releasePendingBytes();
        const auto &partial = m_parser->get();
        const auto id = partial[m_state->headers.requestId];
        logEvent(
            LogLevel::Info,
            "request.refused",
            {{"request", std::string_view(id.data(), id.size())}, {"status", unsigned(status)}, {"reason", detail}});
        m_headOnly = false;
        write(makeLocalAnswer(status, detail, {id.data(), id.size()}, m_state->headers, retryAfter), true);
    }

    void refuseBadInput(error_code ec)
    {
        if (ec == http::error::header_limit) {
            refuse(http::status::request_header_fields_too_large, "header is too large");
        } else if (ec == http::error::body_limit) {
            refuse(http::status::payload_too_large, "body is too large");
        } else if (ec.category() == error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
                   && ec != http::error::partial_message) {
            refuse(http::status::bad_request, ec.message());
        } else {
            close();
        }
    }

    void close()
    {
        m_phase = Phase::Closed;
        m_timer.cancel();
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_socket.close(ignored);
    }

    std::shared_ptr<State> m_state;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    beast::flat_buffer m_buf{MaxUnparsedBytes};
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::size_t m_pendingBytes = 0; ///< part of State::pendingBodyBytes
    ForwardedRequest m_request;
    std::string m_requestId; ///< of the last request that was read completely
    TimePoint m_arrived; ///< when it was read
    std::shared_ptr<Forwarding> m_forwarding;
    std::string m_head;
    std::string m_body;
    TimePoint m_idleSince;
    Phase m_phase = Phase::Idle;
    bool m_keepAlive = true;
    bool m_headOnly = false;
    bool m_closeAfter = false;
    bool m_watching = false;
};

CallerServer::CallerServer(asio::io_context &context,
                           const Endpoint &endpoint,
                           Forwarder &forwarder,
                           const ServiceRegistry &serviceRegistry,
                           const ForwardingHeaders &headers,
                           std::size_t maxBodyBytes)
    : m_state(std::make_shared<State>(State{context, forwarder, serviceRegistry, headers, maxBodyBytes}))
    , m_listener(context, endpoint, [state = m_state](tcp::socket socket) {
        if (state->sessions.size() < MaxConnections) {
            std::make_shared<Session>(state, std::move(socket))->waitForRequest();
        } else {
            logEvent(LogLevel::Warning, "caller.connection-limit", {{"limit", MaxConnections}});
        }
    })
{
}

CallerServer::~CallerServer() = default;

void CallerServer::start()
{
    m_listener.start();
}

void CallerServer::startClosing()
{
    m_state->closing = true;
}

void CallerServer::refuseRequests()
{
    m_state->refusing = true;
}

void CallerServer::finishAccepting()
{
    refuseRequests();
    startClosing();
    m_listener.finish();
}

void CallerServer::close()
{
    m_state->closing = true;
    m_listener.close();
    for (auto *session : std::vector<Session *>(m_state->sessions.begin(), m_state->sessions.end())) {
        session->logIfUnanswered();
        session->closeIfIdle();
    }
}

std::size_t CallerServer::connections() const
{
    return m_state->sessions.size();
}

std::size_t CallerServer::activeRequests() const
{
    return std::size_t(std::count_if(
        m_state->sessions.begin(), m_state->sessions.end(), [](const auto *session) { return session->hasRequest(); }));
}

} // namespace laburnumspar::detail
