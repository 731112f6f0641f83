#pragma once

#include "gateway/httptext.h"
#include "gateway/serviceboard.h"
#include "gateway/upstreamlinks.h"
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
              ServiceBoard &board,
              const ForwardingHeaders &headers,
              MetricsRegistry &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    bool knowsRoutes() const
    {
        return m_board.routes() != nullptr;
    }
    /// Answers at once where no route fits. The handler is called once, never from within this call.
    std::shared_ptr<Forwarding> forward(ForwardedRequest request, Handler handler);
    /// Gives free slots to waiting requests.
    void dispatchWaiting(ServiceLine &line);
    /// The same for all services; refuses those that wait in vain.
    void tick(TimePoint now);
    UpstreamLinks &links()
    {
        return m_links;
    }
    std::size_t inFlight() const
    {
        return m_inFlight;
    }

private:
    friend class Forwarding;

    asio::io_context &m_context;
    ServiceBoard &m_board;
    const ForwardingHeaders &m_headers;
    MetricsRegistry &m_metrics;
    UpstreamLinks m_links;
    std::map<RequestQueue::Ticket, std::weak_ptr<Forwarding>> m_waiting;
    RequestQueue::Ticket m_nextTicket = 1;
    std::size_t m_inFlight = 0;
};

} // namespace laburnumspar::detail
