#pragma once

#include "laburnumspar/claims.h"
#include "laburnumspar/routing.h"
#include "net/callerids.h"
#include "net/peerconnections.h"
#include "net/servicetable.h"

namespace laburnumspar::detail {

/// Takes each request to the instance which may run it: the owner of its identifier, then a dispatcher.
class Router
{
public:
    struct Context {
        InstanceId self;
        std::string zone;
        std::uint64_t incarnation;
        std::uint64_t seed;
        Guarded<ClaimTable> &claims;
        ServiceTable &services;
        PeerConnections &peers;
        MetricsRegistry &metrics;
    };

    explicit Router(Context context);

    /// A request that came from a caller. Fills in what the settings of its route say.
    awaitable<CallResult> fromCaller(CallRequest call, CancellationPtr cancellation);
    /// A request that another instance forwarded.
    awaitable<ForwardReply> fromPeer(ForwardRequest request, CancellationPtr cancellation);

    /// Takes over the loads that a dispatcher published.
    void noteLoad(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at);
    std::vector<DispatcherLoadRecord> loads(TimePoint now);
    /// New identifiers owned by this instance, in text form.
    std::vector<std::string> issueIds(std::size_t count);

private:
    struct Loads {
        DispatcherLoads table;
        std::mt19937_64 random;
    };

    /// Identifier that stands for one made by a caller; empty if no more can be remembered.
    std::optional<RequestId> idForCaller(const CallRequest &call, TimePoint now);
    CallResult refusedClaim(const ClaimResult &claim);
    awaitable<CallResult> runOnce(CallRequest call, CancellationPtr cancellation);
    awaitable<CallResult> runClaimed(const RequestId &id, CallRequest call, CancellationPtr cancellation);
    awaitable<CallResult> forwardToOwner(const RequestId &id, CallRequest call, CancellationPtr cancellation);
    awaitable<CallResult> dispatch(const CallRequest &call, CancellationPtr cancellation);
    awaitable<CallResult> dispatchAt(InstanceId dispatcher, const CallRequest &call, CancellationPtr cancellation);
    std::optional<InstanceId>
    choose(const CallRequest &call, const std::vector<InstanceId> &exclude, bool onlyWithRoom);

    Context m_context;
    Guarded<Loads> m_loads;
    CallerIds m_callerIds; // under the lock of the claims
    Counter &m_forwarded;
    Counter &m_ownerGone;
    Counter &m_duplicates;
    Counter &m_failovers;
};

/// A request in the form that travels between instances.
ForwardRequest toForwardRequest(const CallRequest &call, HopKind hop, TimePoint now);
CallRequest toCallRequest(ForwardRequest request, TimePoint now);

/// Name under which execution times are learned: the configured route, else the first segment of the path.
std::string routeStatsKey(const ServiceSettings &settings, const std::string &path);

} // namespace laburnumspar::detail
