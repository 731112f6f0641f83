#pragma once

#include "laburnumspar/messages.h"
#include "net/faultinjector.h"
#include "net/framestream.h"
#include "net/listener.h"

#include <map>

namespace laburnumspar::detail {

/// Connections to other instances, opened on demand and shared by all requests.
class PeerConnections
{
public:
    using SettingsHook = std::function<void(const InstanceId &from, const SettingsPullReply &)>;
    /// Versions that this instance has; sent along to check that a silent peer is alive.
    using VersionsHook = std::function<SettingsPull()>;

    struct Limits {
        Milliseconds connectTimeout{250};
        /// A connection with requests outstanding that stays silent this long is checked, then closed.
        Milliseconds livenessCheckDelay{200};
        Milliseconds responseTimeout{700};
        std::size_t maxQueuedBytes = 32 << 20;
    };

    PeerConnections(asio::io_context &context,
                    const FaultInjector &faults,
                    Envelope self,
                    Limits limits,
                    SettingsHook onSettings,
                    VersionsHook ownVersions);

    /// Sends the request and waits for its reply until the deadline. A connection that fails gives NotRun if the
    /// request was never written, else MayHaveRun, with Reason::ConnectionLost.
    awaitable<ForwardReply>
    forward(InstanceId peer, ForwardRequest request, TimePoint deadline, CancellationPtr cancellation);
    /// Asks a peer for newer settings; they arrive through the settings hook.
    void pullSettings(const InstanceId &peer);
    void closeAll();
    std::size_t count() const;

private:
    class Connection;

    std::shared_ptr<Connection> connectionTo(const InstanceId &peer);
    void remove(const InstanceId &peer, const Connection *connection);

    asio::io_context &m_context;
    const FaultInjector &m_faults;
    Envelope m_self;
    Limits m_limits;
    SettingsHook m_onSettings;
    VersionsHook m_ownVersions;
    std::atomic<std::uint64_t> m_nextId = 1;
    mutable std::mutex m_mutex; // lock rank: Links
    std::map<InstanceId, std::shared_ptr<Connection>> m_connections;
};

/// Serves the requests of other instances.
class PeerServer
{
public:
    using ForwardHook = std::function<awaitable<ForwardReply>(ForwardRequest, CancellationPtr)>;
    using PullHook = std::function<std::vector<SettingsPullReply>(const SettingsPull &)>;

    /// Binds at once; throws TransportError if the address is taken.
    PeerServer(
        asio::io_context &context, const FaultInjector &faults, Envelope self, ForwardHook onForward, PullHook onPull);

    void start();
    void close();
    std::size_t requestsInFlight() const;

private:
    class Session;
    struct State;

    void serve(tcp::socket socket);

    std::shared_ptr<State> m_state;
    Listener m_listener;
};

} // namespace laburnumspar::detail
