#include "gateway/forwarder.h"

#include "gateway/forwarding.h"
#include "gateway/requestreport.h"

namespace laburnumspar::detail {

namespace {

/// Retry-After for requests that arrive before the routes are known; an instance usually reads them within this time
/// after its start.
constexpr Milliseconds NoRoutesRetryAfter{500};
constexpr std::string_view QuotaUsedUp = "the quota of the organisation is used up";

} // namespace

Forwarder::Forwarder(asio::io_context &context,
                     ServiceRegistry &serviceRegistry,
                     QuotaLedger &quotas,
                     const ForwardingHeaders &headers,
                     MetricsRegistry &metrics,
                     MemoryBudget &memory)
    : m_context(context)
    , m_serviceRegistry(serviceRegistry)
    , m_quotas(quotas)
    , m_headers(headers)
    , m_metrics(metrics)
    , m_connections(context, headers, memory)
    , m_active(std::make_shared<std::set<Forwarding *>>())
{
}

Forwarder::~Forwarder()
{
    std::vector<std::shared_ptr<Forwarding>> active;
    for (auto *it : *m_active) {
        active.push_back(it->shared_from_this());
    }
    for (const auto &it : active) {
        it->release();
    }
}

std::shared_ptr<Forwarding> Forwarder::forward(ForwardedRequest request, Handler handler)
{
    const auto now = Clock::now();
    m_quotas.recordArrival(now);
    const auto &table = m_serviceRegistry.routes();
    const auto postLocalAnswer = [&](http::status status, std::string_view detail, Milliseconds retryAfter) {
        report(UnroutedRequest{request.id, request.target, table ? table->version() : 0, unsigned(status), detail},
               m_metrics);
        asio::post(m_context,
                   [handler = std::move(handler),
                    answer = makeLocalAnswer(status, detail, request.id, m_headers, retryAfter)]() mutable {
                       handler(std::move(answer));
                   });
    };
    if (!table) {
        postLocalAnswer(http::status::service_unavailable, "no routes known yet", NoRoutesRetryAfter);
        return nullptr;
    }
    const auto *route = table->match(request.host, request.target);
    if (route == nullptr) {
        postLocalAnswer(http::status::not_found, "no route for this host and path", Milliseconds(0));
        return nullptr;
    }
    const auto access = table->access(*route, request.key);
    if (!access.granted) {
        postLocalAnswer(http::status::unauthorized, UnknownKey, Milliseconds(0));
        return nullptr;
    }
    const bool spends = access.organisation != nullptr && !route->isPublic;
    if (const auto wait = spends ? m_quotas.trySpend(*access.organisation, now) : std::nullopt) {
        m_serviceRegistry.service(route->targets.front().service).pool.recordOutcome(false, now);
        postLocalAnswer(http::status::too_many_requests, QuotaUsedUp, *wait);
        return nullptr;
    }
    identify(request, *table, access);
    auto service = m_serviceRegistry.nextService(*route);
    auto forwarding = std::make_shared<Forwarding>(
        *this, std::move(request), table, *route, std::move(service), std::move(handler));
    asio::post(m_context, [forwarding] { forwarding->start(); });
    return forwarding;
}

void Forwarder::dispatchQueued(ServiceState &service)
{
    const auto now = Clock::now();
    while (const auto entry = service.queue.front(now)) {
        const auto it = m_queued.find(entry->ticket);
        const auto forwarding = it == m_queued.end() ? nullptr : it->second.lock();
        if (!forwarding) {
            service.queue.drop(*entry);
            continue;
        }
        if (!forwarding->tryStart(now)) {
            return;
        }
    }
}

void Forwarder::endAll(TimePoint now)
{
    std::vector<std::shared_ptr<Forwarding>> active;
    for (auto *it : *m_active) {
        active.push_back(it->shared_from_this());
    }
    for (const auto &it : active) {
        it->end(now);
    }
}

void Forwarder::tick(TimePoint now)
{
    std::vector<std::shared_ptr<Forwarding>> queued;
    for (const auto &[ticket, weak] : m_queued) {
        if (auto forwarding = weak.lock()) {
            queued.push_back(std::move(forwarding));
        }
    }
    for (const auto &forwarding : queued) {
        forwarding->refuseIfLate(now);
    }
    for (auto &[name, service] : m_serviceRegistry.services()) {
        dispatchQueued(*service);
    }
    m_connections.closeExpired(now);
}

} // namespace laburnumspar::detail
