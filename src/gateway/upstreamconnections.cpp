#include "gateway/upstreamconnections.h"

#include "net/httpstatus.h"
#include "net/messagereader.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace laburnumspar::detail {

namespace {

/// A connection attempt that takes longer has lost a packet; sending the request to another upstream is faster.
constexpr Milliseconds ConnectTimeout{300};
/// Longest idle time after which a connection is reused for a non-idempotent request. If the upstream resets an idle
/// connection, it is unknown whether the request has run.
constexpr Milliseconds NonIdempotentMaxIdleTime{2500};
/// Longest idle time after which a connection is reused for an idempotent request.
constexpr Milliseconds MaxIdleTime{6000};
/// A connection is no longer reused from this long before the keep-alive timeout of the upstream.
constexpr Milliseconds IdleMargin{1500};
/// TCP_USER_TIMEOUT: a connection on which sent data stays unacknowledged for this time is closed.
constexpr int UnacknowledgedTimeoutMs = 3000;
constexpr std::size_t MaxIdlePerUpstream = 16;
/// Refusals after which a connection is no longer reused, since each of them is remembered.
constexpr std::size_t MaxRefusals = 16;
constexpr std::uint64_t MaxAnswerBytes = 64 << 20;
constexpr std::uint32_t MaxAnswerHeaderBytes = 64 << 10;
/// Interim answers and answers to earlier requests that are skipped before the answer to a request.
constexpr unsigned MaxSkippedAnswers = 16;

/// Parses the `timeout=SECONDS` parameter of a Keep-Alive header. Without it, the result allows MaxIdleTime.
Milliseconds parseKeepAliveTimeout(beast::string_view value)
{
    const auto at = value.find("timeout=");
    if (at == beast::string_view::npos) {
        return MaxIdleTime + IdleMargin;
    }
    const auto digits = value.substr(at + 8);
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

/// Whether the other side has closed or reset the connection.
bool isClose(error_code ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::eof || ec == asio::error::connection_reset
        || ec == asio::error::broken_pipe;
}

} // namespace

/// A connection to an upstream.
class UpstreamConnections::Connection
{
public:
    explicit Connection(asio::io_context &context)
        : socket(context)
        , buf(MaxUnparsedBytes)
    {
    }

    /// Whether the connection is open and no unread data has arrived, which would be taken for the answer to the next
    /// request.
    bool isReusable()
    {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return buf.size() == 0 && n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Whether the upstream has refused a request with this identifier on the connection. It may write the refusal once
    /// more, which would be taken for the answer if the request was sent here again.
    bool hasRefused(const std::string &requestId) const
    {
        return std::find(refusedIds.begin(), refusedIds.end(), requestId) != refusedIds.end();
    }

    tcp::socket socket;
    beast::flat_buffer buf;
    std::vector<std::string> refusedIds;
    TimePoint idleSince;
    Milliseconds idleLimit = MaxIdleTime;
};

struct UpstreamConnections::State {
    asio::io_context &context;
    const ForwardingHeaders &names;
    MemoryBudget &memory;
    std::map<std::string, std::deque<std::unique_ptr<Connection>>> idle{}; ///< by identity, most recently used last
    std::uint64_t opened = 0;
};

/// Sends one request over an idle or a new connection.
class UpstreamConnections::ActiveExchange : public Exchange,
                                            public std::enable_shared_from_this<UpstreamConnections::ActiveExchange>
{
public:
    ActiveExchange(std::shared_ptr<State> state, Request request, Handler handler)
        : m_state(std::move(state))
        , m_request(std::move(request))
        , m_handler(std::move(handler))
        , m_timer(m_state->context)
    {
    }

    void start()
    {
        if (!m_handler) {
            return;
        }
        m_connection = takeIdleConnection();
        if (m_connection) {
            m_reused = true;
            write();
        } else {
            connect();
        }
    }

    ActiveExchange(const ActiveExchange &) = delete;
    ActiveExchange &operator=(const ActiveExchange &) = delete;

    void cancel() override
    {
        m_handler = nullptr;
        m_timer.cancel();
        if (m_connection) {
            error_code ignored;
            m_connection->socket.close(ignored);
        }
    }

private:
    std::unique_ptr<Connection> takeIdleConnection()
    {
        auto &connections = m_state->idle[m_request.identity];
        const auto now = Clock::now();
        for (auto n = connections.size(); n-- > 0;) {
            if (connections[n]->hasRefused(m_request.requestId)) {
                continue;
            }
            auto connection = std::move(connections[n]);
            connections.erase(connections.begin() + std::ptrdiff_t(n));
            const auto limit = m_request.idempotent ? connection->idleLimit
                                                    : std::min(connection->idleLimit, NonIdempotentMaxIdleTime);
            if (now - connection->idleSince < limit && connection->isReusable()) {
                return connection;
            }
        }
        return nullptr;
    }

    void connect()
    {
        ++m_state->opened;
        m_connection = std::make_unique<Connection>(m_state->context);
        m_timer.expires_after(ConnectTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && self->m_connecting) {
                self->fail(ExchangeOutcome::NotSent, "connection not established in time");
            }
        });
        m_connecting = true;
        m_connection->socket.async_connect(toAsio<tcp>(m_request.address), [self = shared_from_this()](error_code ec) {
            if (!self->m_handler) {
                return;
            }
            self->m_connecting = false;
            self->m_timer.cancel();
            if (ec) {
                self->fail(ExchangeOutcome::NotSent, ec.message());
                return;
            }
            self->setOptions();
            self->write();
        });
    }

    void setOptions()
    {
        error_code ignored;
        m_connection->socket.set_option(tcp::no_delay(true), ignored);
        const int limit = UnacknowledgedTimeoutMs;
        ::setsockopt(m_connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    }

    void write()
    {
        std::vector<asio::const_buffer> bufs{asio::buffer(m_request.head)};
        if (m_request.body) {
            m_request.body->appendTo(bufs);
        }
        asio::async_write(m_connection->socket, bufs, [self = shared_from_this()](error_code ec, std::size_t n) {
            if (!self->m_handler) {
                return;
            }
            if (!ec) {
                self->read();
            } else if (n > 0) {
                self->m_closedByUpstream = isClose(ec);
                self->fail(ExchangeOutcome::Lost, ec.message());
            } else if (self->m_reused) {
                // The idle connection was closed before any byte was sent.
                self->m_reused = false;
                self->connect();
            } else {
                self->fail(ExchangeOutcome::NotSent, ec.message());
            }
        });
    }

    void read()
    {
        m_received = 0;
        m_parser.emplace();
        m_parser->header_limit(MaxAnswerHeaderBytes);
        m_parser->body_limit(MaxAnswerBytes);
        m_parser->skip(m_request.headOnly);
        m_parser->get().body() = MessageBody(m_state->memory, MemoryUse::Answer);
        readSome();
    }

    void readSome()
    {
        http::async_read_some(m_connection->socket,
                              m_connection->buf,
                              *m_parser,
                              [self = shared_from_this()](error_code ec, std::size_t n) {
                                  if (self->m_handler) {
                                      self->onRead(ec, n);
                                  }
                              });
    }

    void onRead(error_code ec, std::size_t n)
    {
        m_received += n;
        if (ec == asio::error::no_memory) {
            fail(ExchangeOutcome::Lost, "answers exceed the memory limit");
        } else if (ec) {
            m_closedByUpstream = isClose(ec) && !m_parser->got_some();
            fail(ExchangeOutcome::Lost, ec.message());
        } else if (m_parser->is_done()) {
            onMessage();
        } else if (hasExcessiveFraming(m_received, m_parser->get().body().size())) {
            fail(ExchangeOutcome::Lost, "answer of framing without content");
        } else {
            readSome();
        }
    }

    void onMessage()
    {
        const auto &message = m_parser->get();
        const auto id = message[m_state->names.requestId];
        const bool informational = isInterimStatus(message.result_int());
        if (!informational && !isFinalStatus(message.result_int())) {
            fail(ExchangeOutcome::Lost, "answer with an invalid status");
            return;
        }
        if (informational || (!id.empty() && id != m_request.requestId)) {
            // An interim answer, or a second answer to an earlier request; the answer to this request follows.
            if (!informational && !m_parser->keep_alive()) {
                fail(ExchangeOutcome::Lost, "answer to another request");
            } else if (++m_skippedAnswers > MaxSkippedAnswers) {
                fail(ExchangeOutcome::Lost, "too many answers to other requests");
            } else {
                read();
            }
            return;
        }
        ExchangeResult result;
        result.outcome = ExchangeOutcome::Answered;
        result.identified = !id.empty();
        result.firstOnConnection = !m_reused && m_skippedAnswers == 0;
        const auto &names = m_state->names;
        if (message.find(names.notRun) != message.end() || message.result() == http::status::misdirected_request) {
            m_connection->refusedIds.push_back(m_request.requestId);
        }
        const bool keep = m_parser->keep_alive() && m_connection->buf.size() == 0 && result.identified
            && m_connection->refusedIds.size() <= MaxRefusals;
        m_connection->idleLimit
            = std::min(MaxIdleTime, parseKeepAliveTimeout(message[http::field::keep_alive]) - IdleMargin);
        result.message = m_parser->release();
        if (keep) {
            keepIdle();
        }
        complete(std::move(result));
    }

    void keepIdle()
    {
        auto &connections = m_state->idle[m_request.identity];
        m_connection->idleSince = Clock::now();
        connections.push_back(std::move(m_connection));
        if (connections.size() > MaxIdlePerUpstream) {
            connections.pop_front();
        }
    }

    void fail(ExchangeOutcome outcome, std::string failure)
    {
        ExchangeResult result;
        result.outcome = outcome;
        result.failure = std::move(failure);
        result.closedByUpstream = m_closedByUpstream;
        if (m_connection) {
            error_code ignored;
            m_connection->socket.close(ignored);
        }
        complete(std::move(result));
    }

    void complete(ExchangeResult result)
    {
        auto handler = std::exchange(m_handler, nullptr);
        m_timer.cancel();
        // The memory of the bodies is needed before the owner of this exchange drops it.
        m_parser.reset();
        m_request.body.reset();
        handler(std::move(result));
    }

    std::shared_ptr<State> m_state;
    Request m_request;
    Handler m_handler;
    asio::steady_timer m_timer;
    std::unique_ptr<Connection> m_connection;
    std::optional<http::response_parser<BudgetedBody>> m_parser;
    std::size_t m_received = 0; ///< bytes of the answer
    unsigned m_skippedAnswers = 0;
    bool m_reused = false;
    bool m_connecting = false;
    bool m_closedByUpstream = false;
};

UpstreamConnections::UpstreamConnections(asio::io_context &context,
                                         const ForwardingHeaders &names,
                                         MemoryBudget &memory)
    : m_state(std::make_shared<State>(State{context, names, memory}))
{
}

UpstreamConnections::~UpstreamConnections() = default;

std::shared_ptr<Exchange> UpstreamConnections::send(Request request, Handler handler)
{
    auto exchange = std::make_shared<ActiveExchange>(m_state, std::move(request), std::move(handler));
    // The handler must not be called before the caller holds the exchange.
    asio::post(m_state->context, [exchange] { exchange->start(); });
    return exchange;
}

void UpstreamConnections::closeExpired(TimePoint now)
{
    for (auto it = m_state->idle.begin(); it != m_state->idle.end();) {
        std::erase_if(it->second,
                      [now](const auto &connection) { return now - connection->idleSince >= connection->idleLimit; });
        it = it->second.empty() ? m_state->idle.erase(it) : std::next(it);
    }
}

void UpstreamConnections::closeIdle(const std::string &identity)
{
    m_state->idle.erase(identity);
}

std::uint64_t UpstreamConnections::opened() const
{
    return m_state->opened;
}

} // namespace laburnumspar::detail
