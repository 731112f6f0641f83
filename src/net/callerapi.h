#pragma once

#include "net/httpserver.h"
#include "net/router.h"

namespace laburnumspar::detail {

/// The HTTP interface for callers: addresses and requests.
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
    /// Reads the headers and the settings of the route; a reason other than None refuses the request.
    Reason prepare(const HttpRequest &request, CallRequest &call, std::string &detail);
    HttpResponse respond(const CallRequest &call, const CallResult &result);
    std::vector<Endpoint> rankedAddresses(const std::string &service, const std::string &zone, std::size_t count);
    std::string nextRequestId();

    Context m_context;
    std::atomic<std::uint64_t> m_nextId = 1;
    std::map<Outcome, Counter *> m_outcomes;
    Distribution &m_time;
};

} // namespace laburnumspar::detail
