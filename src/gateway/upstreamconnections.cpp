#include "gateway/upstreamconnections.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace laburnumspar::detail {

namespace {

/// A connection that takes longer has lost a packet; another upstream is quicker.
constexpr Milliseconds ConnectTimeout{300};
/// Idle time up to which a connection is used for work that must not be repeated: a reset would leave it unknown
/// whether the work ran.
constexpr Milliseconds UnsafeIdleTime{2500};
/// The same for other work, where the upstream does not name its own limit.
constexpr Milliseconds IdleTime{6000};
/// Time before the limit that the upstream names.
constexpr Milliseconds IdleMargin{1500};
/// A peer that acknowledges nothing for this time is gone.
constexpr int UnacknowledgedLimitMs = 3000;
constexpr std::size_t MaxIdlePerUpstream = 16;
constexpr std::uint64_t MaxAnswerBytes = 64 << 20;

/// A `timeout=SECONDS` parameter of a Keep-Alive header.
Milliseconds keepAliveOf(beast::string_view value)
{
    const auto at = value.find("timeout=");
    if (at == beast::string_view::npos) {
        return IdleTime + IdleMargin;
    }
    const auto digits = value.substr(at + 8);
    unsigned seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

/// An open connection.
class UpstreamConnections::Connection
{
public:
    explicit Connection(asio::io_context &context)
        : socket(context)
    {
    }

    /// Nothing may arrive between two requests: it would be taken for the answer to the next one.
    bool hasNoPendingInput()
    {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return buf.size() == 0 && n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    tcp::socket socket;
    beast::flat_buffer buf;
    TimePoint idleSince;
    Milliseconds idleLimit = IdleTime;
};

struct UpstreamConnections::State {
    asio::io_context &context;
    const ForwardingHeaders &names;
    std::map<std::string, std::deque<std::unique_ptr<Connection>>> idle; ///< by identity, the last used at the end
    std::uint64_t opened = 0;
};

/// Runs one order over a kept or a new connection.
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
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            const auto limit
                = m_request.idempotent ? connection->idleLimit : std::min(connection->idleLimit, UnsafeIdleTime);
            if (now - connection->idleSince < limit && connection->hasNoPendingInput()) {
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
                self->finish(ExchangeEnd::NotSent, "connection not established in time");
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
                self->finish(ExchangeEnd::NotSent, ec.message());
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
        const int limit = UnacknowledgedLimitMs;
        ::setsockopt(m_connection->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    }

    void write()
    {
        const std::array<asio::const_buffer, 2> bufs{asio::buffer(m_request.head), asio::buffer(m_request.body)};
        asio::async_write(m_connection->socket, bufs, [self = shared_from_this()](error_code ec, std::size_t n) {
            if (!self->m_handler) {
                return;
            }
            if (!ec) {
                self->read();
            } else if (n > 0) {
                self->finish(ExchangeEnd::Lost, ec.message());
            } else if (self->m_reused) {
                // The kept connection was closed before it took a byte.
                self->m_reused = false;
                self->connect();
            } else {
                self->finish(ExchangeEnd::NotSent, ec.message());
            }
        });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(MaxAnswerBytes);
        m_parser->skip(m_request.headOnly);
        http::async_read(m_connection->socket,
                         m_connection->buf,
                         *m_parser,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (self->m_handler) {
                                 self->onRead(ec);
                             }
                         });
    }

    void onRead(error_code ec)
    {
        if (ec) {
            finish(ExchangeEnd::Lost, ec.message());
            return;
        }
        const auto &message = m_parser->get();
        const auto id = message[m_state->names.requestId];
        const bool informational = message.result_int() < 200;
        if (informational || (!id.empty() && id != m_request.requestId)) {
            // A second answer to an earlier request; the own one follows.
            if (!informational && !m_parser->keep_alive()) {
                finish(ExchangeEnd::Lost, "answer to another request");
                return;
            }
            read();
            return;
        }
        ExchangeResult result;
        result.end = ExchangeEnd::Answered;
        result.identified = !id.empty();
        const bool keep = m_parser->keep_alive() && m_connection->buf.size() == 0 && result.identified;
        m_connection->idleLimit = std::min(IdleTime, keepAliveOf(message[http::field::keep_alive]) - IdleMargin);
        result.message = m_parser->release();
        if (keep) {
            store();
        }
        complete(std::move(result));
    }

    void store()
    {
        auto &connections = m_state->idle[m_request.identity];
        m_connection->idleSince = Clock::now();
        connections.push_back(std::move(m_connection));
        if (connections.size() > MaxIdlePerUpstream) {
            connections.pop_front();
        }
    }

    void finish(ExchangeEnd end, std::string failure)
    {
        ExchangeResult result;
        result.end = end;
        result.failure = std::move(failure);
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
        handler(std::move(result));
    }

    std::shared_ptr<State> m_state;
    Request m_request;
    Handler m_handler;
    asio::steady_timer m_timer;
    std::unique_ptr<Connection> m_connection;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_reused = false;
    bool m_connecting = false;
};

UpstreamConnections::UpstreamConnections(asio::io_context &context, const ForwardingHeaders &names)
    : m_state(std::make_shared<State>(State{context, names, {}, 0}))
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
