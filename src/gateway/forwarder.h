#pragma once

#include "gateway/httptext.h"
#include "gateway/servicetable.h"
#include "gateway/upstreamconnections.h"
#include "laburnumspar/metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnumspar::detail {

class Forwarding;

/// What all requests of an instance share.
class Forwarder
{
public:
    using Handler = std::function<void(CallerAnswer)>;

    Forwarder(asio::io_context &context,
              ServiceTable &serviceTable,
              const ForwardingHeaders &headers,
              MetricsRegistry &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    bool hasRoutes() const
    {
        return m_serviceTable.routes() != nullptr;
    }
    /// Answers at once where no route fits. The handler is called once, never from within this call.
    std::shared_ptr<Forwarding> forward(ForwardedRequest request, Handler handler);
    /// Gives free slots to waiting requests.
    void dispatchWaiting(ServiceState &service);
    /// The same for all services; refuses those that wait in vain.
    void tick(TimePoint now);
    UpstreamConnections &connections()
    {
        return m_connections;
    }
    std::size_t inFlight() const
    {
        return m_inFlight;
    }

private:
    friend class Forwarding;

    asio::io_context &m_context;
    ServiceTable &m_serviceTable;
    const ForwardingHeaders &m_headers;
    MetricsRegistry &m_metrics;
    UpstreamConnections m_connections;
    std::map<WaitingLine::Ticket, std::weak_ptr<Forwarding>> m_waiting;
    WaitingLine::Ticket m_nextTicket = 1;
    std::size_t m_inFlight = 0;
};

} // namespace laburnumspar::detail
