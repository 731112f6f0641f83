#pragma once

#include "gateway/crashsuspects.h"
#include "gateway/httptext.h"
#include "gateway/serviceregistry.h"
#include "gateway/upstreamconnections.h"
#include "laburnumspar/metrics.h"
#include "laburnumspar/quotaledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace laburnumspar::detail {

class Forwarding;

/// Forwards requests to upstreams by route. Holds what all forwarded requests of an instance share.
class Forwarder
{
public:
    using Handler = std::function<void(CallerAnswer)>;

    /// `memory`: for the bodies of answers.
    Forwarder(asio::io_context &context,
              ServiceRegistry &serviceRegistry,
              QuotaLedger &quotas,
              const ForwardingHeaders &headers,
              MetricsRegistry &metrics,
              MemoryBudget &memory);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    bool hasRoutes() const
    {
        return m_serviceRegistry.routes() != nullptr;
    }
    /// Starts forwarding a request. Returns null if no route matches; the handler then receives a local answer. The
    /// handler is called at most once, and never from within this call.
    std::shared_ptr<Forwarding> forward(ForwardedRequest request, Handler handler);
    /// Starts queued requests of a service while its upstreams have free slots.
    void dispatchQueued(ServiceState &service);
    /// Refuses queued requests that can no longer meet their deadline, starts others where slots are free, and closes
    /// expired upstream connections. To be called periodically.
    void tick(TimePoint now);
    UpstreamConnections &connections()
    {
        return m_connections;
    }
    /// Requests under which upstreams have crashed.
    CrashSuspects &crashSuspects()
    {
        return m_crashSuspects;
    }
    /// Requests that have not been finished, including queued ones.
    std::size_t inFlight() const
    {
        return m_active->size();
    }
    /// From now on, requests that will probably not be answered by this time are refused as not run.
    void endBy(TimePoint time)
    {
        m_endsAt = time;
    }
    /// Gives all requests their final answer. Those that have not been sent to an upstream are refused as not run.
    void endAll(TimePoint now);

private:
    friend class Forwarding;

    static constexpr std::string_view UnknownKey = "no key of an organisation";

    asio::io_context &m_context;
    ServiceRegistry &m_serviceRegistry;
    QuotaLedger &m_quotas;
    const ForwardingHeaders &m_headers;
    MetricsRegistry &m_metrics;
    UpstreamConnections m_connections;
    CrashSuspects m_crashSuspects;
    std::map<RequestQueue::Ticket, std::weak_ptr<Forwarding>> m_queued; ///< by ticket of the queue entry
    RequestQueue::Ticket m_nextTicket = 1;
    std::shared_ptr<std::set<Forwarding *>> m_active; ///< shared with the requests, which may outlive the forwarder
    std::optional<TimePoint> m_endsAt; ///< when the instance stops to forward
};

} // namespace laburnumspar::detail
