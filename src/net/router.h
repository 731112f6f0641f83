#pragma once

#include "laburnumspar/claims.h"
#include "laburnumspar/routing.h"
#include "net/callerrequestids.h"
#include "net/peerconnections.h"
#include "net/servicetable.h"

namespace laburnumspar::detail {

/// Routes each request to the owner of its identifier, unless it is idempotent, and then to a dispatcher of its
/// service.
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
        /// Whether a request with this deadline may outlast the instance, which is leaving.
        std::function<bool(TimePoint deadline)> mayOutlastInstance;
    };

    explicit Router(Context context);

    /// Handles a request received from a caller.
    awaitable<CallResult> handleCall(CallRequest call, CancellationPtr cancellation);
    /// Handles a request forwarded by another instance.
    awaitable<ForwardReply> handleForward(ForwardRequest request, CancellationPtr cancellation);

    /// Stores the load that a dispatcher published at the given time.
    void updateLoad(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at);
    /// Known loads of all dispatchers, for operators.
    std::vector<DispatcherLoadRecord> loads(TimePoint now);
    /// Issues up to `count` request identifiers owned by this instance and returns them as text. Returns fewer beyond
    /// MaxRequestIdsPerSecond.
    std::vector<std::string> issueIds(std::size_t count);
    /// Issues one request identifier. Empty beyond MaxRequestIdsPerSecond.
    std::optional<std::string> issueId();

private:
    struct Loads {
        DispatcherLoads table;
        std::mt19937_64 random;
    };

    /// Issued identifier that replaces one chosen by a caller; empty if none can be issued or stored.
    std::optional<RequestId> internalRequestId(const CallRequest &call, TimePoint now);
    /// Result for a request whose claim was not granted.
    CallResult claimRefusal(const ClaimResult &claim);
    /// Runs a non-idempotent request at most once, at the owner of its identifier.
    awaitable<CallResult> runOnce(CallRequest call, CancellationPtr cancellation);
    /// Claims the identifier, which this instance owns, and dispatches the request if the claim is granted.
    awaitable<CallResult> runClaimed(const RequestId &id, CallRequest call, CancellationPtr cancellation);
    awaitable<CallResult> forwardToOwner(const RequestId &id, CallRequest call, CancellationPtr cancellation);
    /// Sends the request to one dispatcher, and to others while that is safe.
    awaitable<CallResult> dispatch(const CallRequest &call, CancellationPtr cancellation);
    awaitable<CallResult> dispatchAt(InstanceId dispatcher, const CallRequest &call, CancellationPtr cancellation);
    std::optional<InstanceId>
    chooseDispatcher(const CallRequest &call, const std::vector<InstanceId> &exclude, bool requireFreeSlot);

    Context m_context;
    Guarded<Loads> m_loads;
    CallerRequestIds m_callerRequestIds; // guarded by the lock of the claim table
    Counter &m_forwarded;
    Counter &m_ownerGone;
    Counter &m_duplicates;
    Counter &m_failovers;
};

/// Convert a request to and from the message sent between instances.
ForwardRequest toForwardRequest(const CallRequest &call, HopKind hop, TimePoint now);
CallRequest toCallRequest(ForwardRequest request, TimePoint now);

/// Key under which execution times are recorded: the prefix of the configured route, otherwise the first path segment.
std::string routeStatsKey(const ServiceSettings &settings, const std::string &path);

} // namespace laburnumspar::detail
