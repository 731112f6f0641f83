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
    /// Returns the versions of the settings that this instance has. They are sent with each settings pull and as the
    /// liveness check of an unresponsive peer.
    using VersionsHook = std::function<SettingsPull()>;

    struct Limits {
        Milliseconds connectTimeout{250};
        /// A liveness check is sent if requests are outstanding and nothing has been received for this long.
        Milliseconds livenessCheckDelay{200};
        /// The connection is closed if nothing has been received for this long and a check has been sent.
        Milliseconds responseTimeout{700};
        std::size_t maxQueuedBytes = 32 << 20; ///< per connection; further requests fail as not run
    };

    PeerConnections(asio::io_context &context,
                    const FaultInjector &faults,
                    Envelope self,
                    Limits limits,
                    SettingsHook onSettings,
                    VersionsHook ownVersions);

    /// Sends the request and waits for its reply until the deadline. If the connection fails, the reply has
    /// Reason::ConnectionLost and the outcome NotRun if the request was never written, otherwise MayHaveRun.
    awaitable<ForwardReply>
    forward(InstanceId peer, ForwardRequest request, TimePoint deadline, CancellationPtr cancellation);
    /// Requests settings newer than those of this instance from a peer. They are passed to the settings hook.
    void pullSettings(const InstanceId &peer);
    void closeAll();
    /// Number of connections, including those being opened.
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

/// Accepts connections from other instances and handles forwarded requests and settings pulls.
class PeerServer
{
public:
    using ForwardHook = std::function<awaitable<ForwardReply>(ForwardRequest, CancellationPtr)>;
    using PullHook = std::function<std::vector<SettingsPullReply>(const SettingsPull &)>;

    /// Binds the address of `self`. Throws TransportError if that fails.
    PeerServer(
        asio::io_context &context, const FaultInjector &faults, Envelope self, ForwardHook onForward, PullHook onPull);

    void start();
    void close();
    /// Number of forwarded requests that have not been answered yet.
    std::size_t requestsInFlight() const;

private:
    class Session;
    struct State;

    void serve(tcp::socket socket);

    std::shared_ptr<State> m_state;
    Listener m_listener;
};

} // namespace laburnumspar::detail
