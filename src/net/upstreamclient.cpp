#include "net/upstreamclient.h"

#include "laburnumspar/errors.h"
#include "net/httpstatus.h"

#include <sys/socket.h>

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Refusals after which a connection is no longer reused, since each of them is remembered.
constexpr std::size_t MaxRefusals = 16;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

Request toBeast(const HttpMessage &message)
{
    Request request{http::string_to_verb(message.method), message.target, 11};
    for (const auto &[name, value] : message.headers) {
        request.set(name, value);
    }
    request.set(http::field::host, "upstream");
    request.body() = message.body;
    request.prepare_payload();
    return request;
}

HttpMessage fromBeast(Response &response)
{
    HttpMessage message;
    message.status = response.result_int();
    for (const auto &field : response) {
        message.headers.emplace_back(field.name_string(), field.value());
    }
    message.body = std::move(response.body());
    return message;
}

// False if the upstream has closed the idle connection or sent unexpected bytes on it.
bool isReusable(tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Lets a callback posted to the strand of a coroutine detect that the stream has been destroyed in the meantime.
class StreamHandle
{
public:
    explicit StreamHandle(beast::tcp_stream &stream)
        : m_target(std::make_shared<beast::tcp_stream *>(&stream))
    {
    }
    ~StreamHandle()
    {
        *m_target = nullptr;
    }
    StreamHandle(const StreamHandle &) = delete;
    StreamHandle &operator=(const StreamHandle &) = delete;

    std::shared_ptr<beast::tcp_stream *> target() const
    {
        return m_target;
    }

private:
    std::shared_ptr<beast::tcp_stream *> m_target;
};

Reason readFailureReason(const error_code &ec)
{
    if (ec == beast::error::timeout) {
        return Reason::Timeout;
    }
    const bool truncated = ec == http::error::partial_message || ec == http::error::body_limit
        || ec == http::error::buffer_overflow || ec == asio::error::no_buffer_space;
    return truncated ? Reason::TruncatedAnswer : Reason::ConnectionLost;
}

} // namespace

/// A reserved connection to an upstream. The destructor returns the connection to the pool if it is reusable, otherwise
/// closes it.
class UpstreamClient::Lease
{
public:
    Lease(UpstreamClient &client, UpstreamId upstream)
        : m_client(client)
        , m_upstream(std::move(upstream))
    {
    }
    ~Lease()
    {
        std::optional<IdleConnection> idle;
        if (m_reusable && refusedIds.size() <= MaxRefusals) {
            idle.emplace(IdleConnection{stream->release_socket(), std::move(refusedIds)});
        }
        m_client.releaseConnection(m_upstream, std::move(idle));
    }
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;

    void setReusable()
    {
        m_reusable = true;
    }

    std::unique_ptr<Stream> stream;
    std::vector<std::string> refusedIds;

private:
    UpstreamClient &m_client;
    UpstreamId m_upstream;
    bool m_reusable = false;
};

UpstreamClient::UpstreamClient(const UpstreamDialect &dialect, const FaultInjector &faults, Limits limits)
    : m_dialect(dialect)
    , m_faults(faults)
    , m_limits(limits)
    , m_pendingAnswers(limits.maxPendingBytes)
{
}

awaitable<AttemptResult> UpstreamClient::call(UpstreamId upstream,
                                              UpstreamRequest request,
                                              unsigned maxConnections,
                                              TimePoint deadline,
                                              CancellationPtr cancellation)
{
    auto message = m_dialect.encode(request);
    co_return co_await exchange(std::move(upstream),
                                std::move(message),
                                std::move(request.requestId),
                                maxConnections,
                                deadline,
                                std::move(cancellation));
}

awaitable<AttemptResult> UpstreamClient::probe(UpstreamId upstream, unsigned maxConnections, TimePoint deadline)
{
    co_return co_await exchange(std::move(upstream), m_dialect.probe(), {}, maxConnections, deadline, nullptr);
}

awaitable<Reason>
UpstreamClient::connect(Lease &lease, const UpstreamId &upstream, const std::string &requestId, TimePoint deadline)
{
    auto executor = co_await asio::this_coro::executor;
    if (auto idle = takeIdle(upstream, requestId)) {
        // A stream is bound to the strand of its coroutine, so the idle socket is moved to a new stream.
        const auto protocol = idle->socket.local_endpoint().protocol();
        lease.stream = std::make_unique<Stream>(tcp::socket(executor, protocol, idle->socket.release()));
        lease.refusedIds = std::move(idle->refusedIds);
        ++m_reused;
        co_return Reason::None;
    }
    lease.stream = std::make_unique<Stream>(executor);
    lease.stream->expires_at(std::min(deadline, Clock::now() + m_limits.connectTimeout));
    auto [ec] = co_await lease.stream->async_connect(toAsio<tcp>(upstream), NoThrowAwaitable);
    if (ec) {
        co_return Reason::ConnectFailed;
    }
    error_code ignored;
    lease.stream->socket().set_option(tcp::no_delay(true), ignored);
    co_return Reason::None;
}

awaitable<AttemptResult> UpstreamClient::exchange(UpstreamId upstream,
                                                  HttpMessage message,
                                                  std::string requestId,
                                                  unsigned maxConnections,
                                                  TimePoint deadline,
                                                  CancellationPtr cancellation)
{
    if (!m_faults.allowsOutgoing(upstream)) {
        // Simulates a network that drops the first packet of a connection.
        co_await sleepFor(std::min(Clock::duration(m_limits.connectTimeout), deadline - Clock::now()));
        co_return AttemptResult{Outcome::NotRun, Reason::ConnectFailed, {}};
    }
    if (!reserveConnection(upstream, maxConnections)) {
        co_return AttemptResult{Outcome::NotRun, Reason::NoUpstream, {}};
    }
    Lease lease(*this, upstream);
    if (const auto reason = co_await connect(lease, upstream, requestId, deadline); reason != Reason::None) {
        co_return AttemptResult{Outcome::NotRun, reason, {}};
    }
    // The process may have been paused while connecting; nothing has been sent yet.
    if (Clock::now() >= deadline) {
        lease.setReusable();
        co_return AttemptResult{Outcome::NotRun, Reason::DeadlinePassed, {}};
    }
    auto &stream = *lease.stream;
    auto executor = co_await asio::this_coro::executor;
    const StreamHandle handle(stream);
    CancellationScope scope(cancellation, [executor, target = handle.target()] {
        asio::post(executor, [target] {
            if (*target) {
                (*target)->cancel();
            }
        });
    });
    if (cancellation && cancellation->isCancelled()) {
        lease.setReusable();
        co_return AttemptResult{Outcome::NotRun, Reason::Cancelled, {}};
    }
    stream.expires_at(deadline);
    auto request = toBeast(message);
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    if (writeError) {
        const bool timedOut = writeError == beast::error::timeout;
        co_return AttemptResult{written == 0 ? Outcome::NotRun : Outcome::MayHaveRun,
                                timedOut ? Reason::Timeout : Reason::ConnectionLost,
                                {}};
    }
    beast::flat_buffer buf(MaxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_limits.maxAnswerBytes);
    const auto readError = co_await readMessage(stream, buf, parser, &m_pendingAnswers);
    if (cancellation && cancellation->isCancelled()) {
        co_return AttemptResult{Outcome::MayHaveRun, Reason::Cancelled, {}};
    }
    if (readError) {
        co_return AttemptResult{Outcome::MayHaveRun, readFailureReason(readError), {}};
    }
    const bool hasLength = parser.get().has_content_length() || parser.get().chunked();
    const bool keepAlive = parser.get().keep_alive() && buf.size() == 0;
    auto response = parser.release();
    if (!isFinalStatus(response.result_int())) {
        co_return AttemptResult{Outcome::MayHaveRun, Reason::WrongAnswer, {}};
    }
    AttemptResult result{Outcome::Answered, Reason::None, m_dialect.decode(fromBeast(response), requestId)};
    result.reason = result.answer.fault;
    if (!hasLength) {
        // Without a length a truncated answer cannot be distinguished from a complete one.
        result.reason = Reason::TruncatedAnswer;
    }
    if (result.answer.notRun) {
        result.outcome = Outcome::NotRun;
        lease.refusedIds.push_back(requestId);
    } else if (result.reason == Reason::WrongAnswer || result.reason == Reason::TruncatedAnswer) {
        result.outcome = Outcome::MayHaveRun;
    }
    if (keepAlive && result.outcome != Outcome::MayHaveRun) {
        lease.setReusable();
    }
    co_return result;
}

std::optional<UpstreamClient::IdleConnection> UpstreamClient::takeIdle(const UpstreamId &upstream,
                                                                       const std::string &requestId)
{
    std::lock_guard lock(m_mutex);
    auto &idle = m_pools[upstream].idle;
    for (auto n = idle.size(); n-- > 0;) {
        const auto &refused = idle[n].refusedIds;
        if (std::find(refused.begin(), refused.end(), requestId) != refused.end()) {
            continue;
        }
        auto connection = std::move(idle[n]);
        idle.erase(idle.begin() + std::ptrdiff_t(n));
        if (isReusable(connection.socket)) {
            return connection;
        }
    }
    return std::nullopt;
}

bool UpstreamClient::reserveConnection(const UpstreamId &upstream, unsigned maxConnections)
{
    std::lock_guard lock(m_mutex);
    auto &pool = m_pools[upstream];
    if (pool.open >= maxConnections) {
        return false;
    }
    ++pool.open;
    return true;
}

void UpstreamClient::releaseConnection(const UpstreamId &upstream, std::optional<IdleConnection> reusable)
{
    std::lock_guard lock(m_mutex);
    auto &pool = m_pools[upstream];
    --pool.open;
    if (reusable) {
        pool.idle.push_back(std::move(*reusable));
    }
}

unsigned UpstreamClient::openConnections(const UpstreamId &upstream) const
{
    std::lock_guard lock(m_mutex);
    const auto it = m_pools.find(upstream);
    return it == m_pools.end() ? 0 : it->second.open + static_cast<unsigned>(it->second.idle.size());
}

} // namespace laburnumspar::detail
