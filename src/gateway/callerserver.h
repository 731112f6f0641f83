#pragma once

#include "gateway/forwarding.h"
#include "net/listener.h"

#include <memory>
#include <set>

namespace laburnumspar::detail {

/// Accepts connections of callers and hands their requests to the forwarder. One thread only.
class CallerServer
{
public:
    /// Binds at once; throws TransportError if the address is taken.
    CallerServer(asio::io_context &context,
                 const Endpoint &endpoint,
                 Forwarder &forwarder,
                 const ServiceTable &serviceTable,
                 const ForwardingHeaders &headers);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    void start();
    /// From now on each answer asks the caller to close its connection.
    void startClosing();
    /// From now on requests are refused as not run; those that have been read are answered.
    void refuseRequests();
    /// Stops accepting and closes connections that carry no request.
    void close();
    std::size_t connections() const;
    /// Requests that have been read, or are being read, and not yet been answered.
    std::size_t busy() const;

private:
    class Session;
    struct State;
    std::shared_ptr<State> m_state;
    Listener m_listener;
};

} // namespace laburnumspar::detail
