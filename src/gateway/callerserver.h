#pragma once

#include "gateway/forwarding.h"
#include "net/listener.h"

#include <memory>

namespace laburnumspar::detail {

struct CallerSessions;

/// Accepts connections of callers and passes their requests to the forwarder. Not thread-safe.
class CallerServer
{
public:
    /// Binds the listening socket. `memory`: for the bodies of requests; those that do not fit are refused. Throws
    /// TransportError if the address is in use.
    CallerServer(asio::io_context &context,
                 const Endpoint &endpoint,
                 Forwarder &forwarder,
                 const ServiceRegistry &serviceRegistry,
                 const ForwardingHeaders &headers,
                 MemoryBudget &memory);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts accepting connections.
    void start();
    /// From now on, connections are closed after the next answer.
    void startClosing();
    /// Requests that are read from this time on are refused as not run. Those that have been read before are still
    /// answered.
    void refuseFrom(TimePoint time);
    /// Refuses the requests that have not been passed to the forwarder as not run.
    void refuseUnforwarded();
    /// Accepts the connections that are waiting, then no others. Requests that have arrived on idle connections are
    /// read and refused.
    void finishAccepting();
    /// Stops accepting connections and closes the idle ones.
    void close();
    /// Number of open connections.
    std::size_t connections() const;
    /// Number of requests that are being read, forwarded or answered.
    std::size_t activeRequests() const;

private:
    std::shared_ptr<CallerSessions> m_sessions;
    Listener m_listener;
};

} // namespace laburnumspar::detail
