#pragma once

#include "gateway/httptext.h"

#include <deque>
#include <map>
#include <memory>

namespace laburnumspar::detail {

/// What became of a request that was handed to a connection.
enum class ExchangeEnd : std::uint8_t {
    Answered,
    NotSent, ///< no byte reached the upstream
    Lost, ///< it may have run
};

struct ExchangeResult {
    ExchangeEnd end = ExchangeEnd::Lost;
    std::string failure; ///< of an exchange that was not answered
    UpstreamMessage message;
    bool identified = false; ///< the answer names the request that it belongs to
};

/// One request on one connection to an upstream.
class Exchange
{
public:
    virtual ~Exchange() = default;
    /// Closes the connection, so that the upstream drops the request; the handler is not called any more.
    virtual void cancel() = 0;
};

/// Connections to upstreams, kept open between requests. One thread only.
class UpstreamConnections
{
public:
    using Handler = std::function<void(ExchangeResult)>;

    struct Request {
        Endpoint address;
        std::string identity;
        std::string head;
        std::string body;
        std::string requestId;
        bool headOnly = false;
        bool idempotent = false;
    };

    UpstreamConnections(asio::io_context &context, const ForwardingHeaders &names);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    std::shared_ptr<Exchange> send(Request request, Handler handler);
    /// Closes connections that have been idle for too long, and those of an upstream that has gone.
    void closeExpired(TimePoint now);
    void closeIdle(const std::string &identity);

    std::uint64_t opened() const;

private:
    class Connection;
    class ActiveExchange;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace laburnumspar::detail
