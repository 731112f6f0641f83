#pragma once

#include "net/httpserver.h"
#include "net/router.h"

namespace laburnumspar::detail {

/// HTTP interface for callers: requests to services, instance addresses with request identifiers, and health.
class CallerApi
{
public:
    struct Context {
        InstanceId self;
        Endpoint callerAddress;
        std::string zone;
        std::uint64_t incarnation;
        ServiceTable &services;
        Router &router;
        MetricsRegistry &metrics;
        std::function<bool()> ready;
        std::function<bool()> leaving;
    };

    explicit CallerApi(Context context);

    awaitable<HttpResponse> handle(HttpRequest request, CancellationPtr cancellation);

private:
    awaitable<HttpResponse> handleCall(HttpRequest request, CancellationPtr cancellation);
    HttpResponse handleAddresses(const HttpRequest &request);
    HttpResponse handleHealth() const;
    /// Fills in `call` from the request and the settings of its route. Returns Reason::None, or the reason for refusing
    /// the request, with a description in `detail`.
    Reason prepare(const HttpRequest &request, CallRequest &call, std::string &detail);
    HttpResponse respond(const CallRequest &call, const CallResult &result);
    /// At most `count` instance addresses for callers, best first.
    std::vector<Endpoint> rankedAddresses(const std::string &service, const std::string &zone, std::size_t count);
    /// Identifier for a request without one. It is unique, but not recorded in the claim table.
    std::string nextRequestId();

    Context m_context;
    std::atomic<std::uint64_t> m_nextId = 1;
    std::map<Outcome, Counter *> m_outcomes;
    Distribution &m_requestTime;
};

} // namespace laburnumspar::detail
