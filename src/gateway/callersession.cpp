#include "gateway/callersession.h"

#include "laburnumspar/log.h"
#include "net/messagereader.h"
#include "net/requestframing.h"
#include "net/socketstate.h"

namespace laburnumspar::detail {

namespace {

/// Callers may send a request just before the idle timeout, so connections are kept for this much longer.
constexpr Milliseconds IdleMargin{500};
constexpr Milliseconds WriteTimeout{20'000};
/// Longest time that a request waits for the first routes. An instance has usually read them within this time after it
/// has started to listen.
constexpr Milliseconds RoutesTimeout{800};
constexpr Milliseconds RoutesPollInterval{50};
/// Retry-After for a request that an instance refuses because it stops; another instance takes it at once.
constexpr Milliseconds LeavingRetryAfter{100};

} // namespace

CallerSession::CallerSession(std::shared_ptr<CallerSessions> sessions, tcp::socket socket)
    : m_sessions(std::move(sessions))
    , m_socket(std::move(socket))
    , m_timer(m_sessions->context)
    , m_closeTimer(m_sessions->context)
    , m_buf(MaxUnparsedBytes)
    , m_earlyBytes(m_sessions->memory, MemoryUse::EarlyBytes)
{
    m_sessions->open.insert(this);
}

CallerSession::~CallerSession()
{
    logIfUnanswered();
    m_sessions->open.erase(this);
}

void CallerSession::waitForRequest()
{
    m_phase = Phase::Idle;
    m_idleSince = Clock::now();
    m_earlyBytes.hold(0);
    discardEmptyLines(m_buf);
    if (m_buf.size() > 0) {
        readHeader();
        return;
    }
    m_buf.shrink_to_fit();
    armIdleTimer();
    watch();
}

void CallerSession::closeIfIdle()
{
    if (m_phase == Phase::Idle) {
        close();
    }
}

void CallerSession::refuseUnforwarded()
{
    if (m_phase == Phase::Reading && m_parser) {
        refuse(http::status::service_unavailable, "leaving", LeavingRetryAfter);
    } else if (m_phase == Phase::Waiting && !m_forwarding) {
        refuseRead("leaving");
    }
}

void CallerSession::abort()
{
    if (m_phase == Phase::Waiting && m_forwarding) {
        m_forwarding->abandon();
    }
    close();
}

void CallerSession::logIfUnanswered() const
{
    if (m_callerClosed || (m_phase != Phase::Waiting && m_phase != Phase::Writing)) {
        return;
    }
    const auto took = std::chrono::duration<double, std::milli>(Clock::now() - m_arrived);
    logEvent(
        LogLevel::Warning,
        "request.unanswered",
        {{"request", m_requestId}, {"phase", m_phase == Phase::Waiting ? "waiting" : "writing"}, {"ms", took.count()}});
}

bool CallerSession::hasRequest() const
{
    return m_phase == Phase::Reading || m_phase == Phase::Waiting || m_phase == Phase::Writing
        || m_phase == Phase::Draining || (m_phase == Phase::Idle && hasUnreadData(m_socket));
}

void CallerSession::armIdleTimer()
{
    m_timer.expires_at(m_idleSince + m_sessions->limits().idleTimeout + IdleMargin);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (ec || self->m_phase != Phase::Idle) {
            return;
        }
        // The idle timeout may have been raised since the timer was set.
        if (Clock::now() - self->m_idleSince >= self->m_sessions->limits().idleTimeout + IdleMargin) {
            self->close();
        } else {
            self->armIdleTimer();
        }
    });
}

/// Waits until bytes arrive or the caller closes the connection. The wait outlasts the phase in which it begins.
void CallerSession::watch()
{
    if (m_watching) {
        return;
    }
    m_watching = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->m_watching = false;
        if (!ec) {
            self->onReadable();
        }
    });
}

void CallerSession::onReadable()
{
    switch (m_phase) {
    case Phase::Idle:
        readFirstBytes();
        return;
    case Phase::Waiting:
    case Phase::Writing:
        readEarlyBytes();
        return;
    case Phase::Draining:
        drain();
        return;
    case Phase::Reading:
    case Phase::Closed:
        return;
    }
}

/// Reads the first bytes of a request, which show whether one has begun.
void CallerSession::readFirstBytes()
{
    const auto input = readArrived(m_socket, m_buf, MaxEarlyBytes);
    if (input == Input::None) {
        watch();
        return;
    }
    if (input != Input::Bytes) {
        close();
        return;
    }
    discardEmptyLines(m_buf);
    if (m_buf.size() == 0) {
        watch();
        return;
    }
    m_timer.cancel();
    readHeader();
}

/// Reads what the caller sends before it has received the answer to its request: the start of its next requests, or
/// the end of its connection.
void CallerSession::readEarlyBytes()
{
    if (m_buf.size() >= MaxEarlyBytes || !m_earlyBytes.resize(MaxEarlyBytes)) {
        pollForClose();
        return;
    }
    const auto input = readArrived(m_socket, m_buf, MaxEarlyBytes);
    if (input == Input::Bytes || input == Input::None) {
        watch();
    } else if (input == Input::End) {
        onCallerClosed();
    } else if (m_phase == Phase::Waiting) {
        abort();
    }
}

void CallerSession::pollForClose()
{
    m_closeTimer.expires_after(ClosePollInterval);
    m_closeTimer.async_wait([self = shared_from_this()](error_code ec) {
        if (ec || self->m_phase != Phase::Waiting) {
            return;
        }
        closedByPeer(self->m_socket) ? self->onCallerClosed() : self->pollForClose();
    });
}

/// The caller has closed its connection, or only its sending side; which of the two is known when the answer is
/// written.
void CallerSession::onCallerClosed()
{
    m_callerClosed = true;
    if (m_phase == Phase::Waiting && m_forwarding) {
        m_forwarding->onCallerClosed();
    }
}

void CallerSession::readHeader()
{
    m_phase = Phase::Reading;
    const auto limits = m_sessions->limits();
    m_parser.emplace();
    m_parser->header_limit(std::uint32_t(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    m_parser->get().body() = MessageBody(m_sessions->memory, MemoryUse::Request);
    m_timer.expires_after(limits.headerTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->m_phase == Phase::Reading) {
            self->refuse(http::status::request_timeout, "header not received in time");
        }
    });
    http::async_read_header(
        m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t) { self->onHeader(ec); });
}

void CallerSession::onHeader(error_code ec)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    m_timer.cancel();
    if (ec) {
        refuseBadInput(ec);
        return;
    }
    if (const auto status = framingError(m_parser->get())) {
        refuse(*status, "unsupported transfer encoding");
        return;
    }
    const auto length = m_parser->content_length().value_or(0);
    if (!m_parser->get().body().reserve(length)) {
        refuseForMemory(length);
        return;
    }
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(
            m_socket, asio::buffer(Continue), [self = shared_from_this()](error_code writeError, std::size_t) {
                if (self->m_phase == Phase::Reading) {
                    writeError ? self->close() : self->readBody();
                }
            });
        return;
    }
    readBody();
}

void CallerSession::readBody()
{
    if (m_parser->is_done()) {
        onMessage();
        return;
    }
    // Without a timeout, a caller that stops sending in the middle of a body would hold memory forever.
    m_timer.expires_after(std::max(m_sessions->limits().idleTimeout, Milliseconds(5000)));
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->m_phase == Phase::Reading) {
            self->refuse(http::status::request_timeout, "body not received in time");
        }
    });
    readBodyPart();
}

void CallerSession::readBodyPart()
{
    http::async_read_some(m_socket, m_buf, *m_parser, [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->m_phase == Phase::Reading) {
            self->onBodyPart(ec);
        }
    });
}

void CallerSession::onBodyPart(error_code ec)
{
    if (!ec && !m_parser->is_done()) {
        readBodyPart();
        return;
    }
    m_timer.cancel();
    if (ec == asio::error::no_memory) {
        refuseForMemory(m_parser->get().body().size() + m_buf.size());
    } else if (ec) {
        refuseBadInput(ec);
    } else {
        onMessage();
    }
}

void CallerSession::refuseForMemory(std::size_t bytes)
{
    const auto retryAfter = m_sessions->memory.expectedWait(bytes).value_or(Milliseconds(0));
    refuse(http::status::service_unavailable, "no memory for the body", retryAfter);
}

void CallerSession::onMessage()
{
    m_earlyBytes.hold(m_buf.size());
    m_phase = Phase::Waiting;
    m_arrived = Clock::now();
    auto message = m_parser->release();
    m_parser.reset();
    m_keepAlive = message.keep_alive();
    m_headOnly = message.method() == http::verb::head;
    const auto id = message[m_sessions->headers.requestId];
    m_requestId.assign(id.data(), id.size());
    if (m_callerClosed) {
        // Nobody may be left to read the answer, so nothing is sent to an upstream any more.
        refuseRead("caller has closed its connection");
        return;
    }
    if (m_sessions->isRefusing(m_arrived)) {
        refuseRead("leaving");
        return;
    }
    m_request = makeForwardedRequest(std::move(message), m_sessions->headers, m_arrived);
    watch();
    forward();
}

/// Passes the request to the forwarder. If no routes are known yet, which happens just after the start, waits for
/// them first.
void CallerSession::forward()
{
    if (m_callerClosed) {
        refuseRead("caller has closed its connection");
        return;
    }
    const auto now = Clock::now();
    if (!m_sessions->forwarder.hasRoutes() && now - m_request.arrived < RoutesTimeout
        && now + RoutesPollInterval < m_request.deadline) {
        m_timer.expires_after(RoutesPollInterval);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_phase == Phase::Waiting) {
                self->forward();
            }
        });
        return;
    }
    // The handler owns the session, so that the request is answered whatever happens to its socket meanwhile.
    m_forwarding
        = m_sessions->forwarder.forward(std::move(m_request), [self = shared_from_this()](CallerAnswer answer) {
              if (self->m_phase == Phase::Waiting) {
                  self->write(std::move(answer), !self->m_keepAlive);
              }
          });
}

void CallerSession::write(CallerAnswer answer, bool closeAfter)
{
    m_phase = Phase::Writing;
    m_forwarding.reset();
    m_closeAfter = closeAfter || m_sessions->closing;
    m_head = callerHead(answer, m_closeAfter);
    m_body = m_headOnly ? MessageBody() : std::move(answer.body);
    m_timer.expires_after(WriteTimeout);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->m_phase == Phase::Writing) {
            self->close();
        }
    });
    std::vector<asio::const_buffer> bufs{asio::buffer(m_head)};
    m_body.appendTo(bufs);
    asio::async_write(m_socket, bufs, [self = shared_from_this()](error_code ec, std::size_t) { self->onWritten(ec); });
}

void CallerSession::onWritten(error_code ec)
{
    m_timer.cancel();
    m_body.clear();
    if (m_phase != Phase::Writing) {
        return;
    }
    if (ec) {
        close();
    } else if (!m_closeAfter) {
        waitForRequest();
    } else if (m_unread || hasUnreadData(m_socket)) {
        logEvent(LogLevel::Info, "connection.closed-unread", {{"request", m_requestId}});
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_phase = Phase::Draining;
        m_timer.expires_after(DrainTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code timerError) {
            if (!timerError && self->m_phase == Phase::Draining) {
                self->close();
            }
        });
        drain();
    } else {
        close();
    }
}

/// Discards what the caller has sent after its last request that is answered. A close with unread bytes resets the
/// connection, and the caller may lose the end of the answer.
void CallerSession::drain()
{
    const auto input = discardArrived(m_socket);
    if (input == Input::Bytes || input == Input::None) {
        watch();
    } else {
        close();
    }
}

/// Refuses a request that has been read and not been forwarded.
void CallerSession::refuseRead(std::string_view reason)
{
    logEvent(LogLevel::Info, "request.refused", {{"request", m_requestId}, {"status", 503}, {"reason", reason}});
    write(
        makeLocalAnswer(http::status::service_unavailable, reason, m_requestId, m_sessions->headers, LeavingRetryAfter),
        true);
}

void CallerSession::refuse(http::status status, std::string_view detail, Milliseconds retryAfter)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    m_unread = true;
    const auto &partial = m_parser->get();
    const auto id = partial[m_sessions->headers.requestId];
    logEvent(LogLevel::Info,
             "request.refused",
             {{"request", std::string_view(id.data(), id.size())}, {"status", unsigned(status)}, {"reason", detail}});
    m_headOnly = false;
    auto answer = makeLocalAnswer(status, detail, {id.data(), id.size()}, m_sessions->headers, retryAfter);
    m_parser->get().body().clear();
    write(std::move(answer), true);
}

void CallerSession::refuseBadInput(error_code ec)
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

void CallerSession::close()
{
    m_phase = Phase::Closed;
    m_timer.cancel();
    m_closeTimer.cancel();
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

} // namespace laburnumspar::detail
