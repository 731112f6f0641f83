#pragma once

#include "detail/guarded.h"
#include "laburnumspar/claims.h"
#include "net/dump.h"
#include "net/faultinjector.h"
#include "net/httpserver.h"
#include "net/servicetable.h"

namespace laburnumspar::detail {

/// HTTP interface for operators: state dumps, metrics, settings checks and, if enabled, fault injection.
class AdminApi
{
public:
    struct Context {
        const ProcessSettings &settings;
        std::uint64_t incarnation;
        Guarded<SettingsStore> &store;
        Guarded<Membership> &membership;
        Guarded<ClaimTable> &claims;
        ServiceTable &services;
        FaultInjector &faults;
        MetricsRegistry &metrics;
        std::function<std::string()> state; ///< name of the run state of the process
        std::function<bool()> isSettingsReader; ///< whether this instance reads settings from the platform
        std::function<std::vector<DispatcherLoadRecord>(TimePoint)> loads;
    };

    explicit AdminApi(Context context);

    awaitable<HttpResponse> handle(HttpRequest request, CancellationPtr cancellation);

private:
    HttpResponse dump();
    HttpResponse check(const HttpRequest &request);
    HttpResponse faults(const HttpRequest &request);
    boost::json::object processDump();

    Context m_context;
};

} // namespace laburnumspar::detail
