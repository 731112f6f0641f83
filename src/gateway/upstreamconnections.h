#pragma once

#include "gateway/httptext.h"

#include <deque>
#include <map>
#include <memory>

namespace laburnumspar::detail {

/// Outcome of an exchange with an upstream.
enum class ExchangeOutcome : std::uint8_t {
    Answered,
    NotSent, ///< no part of the request was sent, so it has not run
    Lost, ///< the request was sent at least in part, so it may have run
};

struct ExchangeResult {
    ExchangeOutcome outcome = ExchangeOutcome::Lost;
    std::string failure; ///< error message, unless the exchange was answered
    bool closedByUpstream = false; ///< the connection was closed or reset before any byte of the answer
    UpstreamMessage message;
    bool identified = false; ///< the answer carries the identifier of the request
    bool firstOnConnection = false; ///< no earlier request was sent on the connection
};

/// A request that is being sent to an upstream.
class Exchange
{
public:
    virtual ~Exchange() = default;
    /// Closes the connection, so that the upstream cancels the request. The handler is not called any more.
    virtual void cancel() = 0;
};

/// Sends requests to upstreams over persistent connections. Not thread-safe.
class UpstreamConnections
{
public:
    using Handler = std::function<void(ExchangeResult)>;

    struct Request {
        Endpoint address;
        std::string identity;
        std::string head; ///< request line and headers
        std::shared_ptr<const MessageBody> body; ///< null: none
        std::string requestId;
        bool headOnly = false; ///< the answer has no body
        bool idempotent = false;
    };

    /// `memory`: for the bodies of answers. Exchanges whose answers do not fit fail.
    UpstreamConnections(asio::io_context &context, const ForwardingHeaders &names, MemoryBudget &memory);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    /// The handler is called at most once, and never from within this call.
    std::shared_ptr<Exchange> send(Request request, Handler handler);
    /// Closes the connections that have been idle for too long.
    void closeExpired(TimePoint now);
    /// Closes the idle connections to an upstream.
    void closeIdle(const std::string &identity);

    /// Number of connections that have been opened so far.
    std::uint64_t opened() const;

private:
    class Connection;
    class ActiveExchange;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace laburnumspar::detail
