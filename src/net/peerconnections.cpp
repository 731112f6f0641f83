#include "net/peerconnections.h"

#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

ForwardReply failedReply(std::uint64_t id, Outcome outcome, Reason reason)
{
    ForwardReply reply;
    reply.id = id;
    reply.outcome = outcome;
    reply.reason = reason;
    return reply;
}

} // namespace

/// One connection to a peer. Its state may only be accessed on its strand.
class PeerConnections::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(PeerConnections &owner, InstanceId peer)
        : m_owner(owner)
        , m_peer(std::move(peer))
        , m_stream(std::make_shared<FrameStream>(tcp::socket(asio::make_strand(owner.m_context))))
    {
    }

    void start()
    {
        asio::co_spawn(
            executor(),
            [self = shared_from_this()] { return self->run(); },
            [](std::exception_ptr error) { handleTaskException(std::move(error), "peer.link"); });
        asio::co_spawn(
            executor(),
            [self = shared_from_this()] { return self->monitorLiveness(); },
            [](std::exception_ptr error) { handleTaskException(std::move(error), "peer.silence"); });
    }

    asio::any_io_executor executor()
    {
        return m_stream->socket().get_executor();
    }

    void submit(std::uint64_t id, std::vector<std::uint8_t> frame, OneShot<ForwardReply> reply)
    {
        asio::post(executor(), [self = shared_from_this(), id, frame = std::move(frame), reply]() mutable {
            if (self->m_closed || self->m_stream->queuedBytes() > self->m_owner.m_limits.maxQueuedBytes) {
                reply.set(failedReply(id, Outcome::NotRun, Reason::ConnectionLost));
                return;
            }
            self->m_pending.emplace(id, PendingRequest{reply, false});
            self->m_backlog.emplace_back(id, std::move(frame));
            self->flush();
        });
    }

    void cancel(std::uint64_t id, Reason reason)
    {
        asio::post(executor(), [self = shared_from_this(), id, reason] {
            const auto it = self->m_pending.find(id);
            if (it == self->m_pending.end()) {
                return;
            }
            const auto outcome = it->second.written ? Outcome::MayHaveRun : Outcome::NotRun;
            auto reply = it->second.reply;
            self->m_pending.erase(it);
            reply.set(failedReply(id, outcome, reason));
            if (outcome == Outcome::MayHaveRun) {
                self->transmit(ForwardCancel{id});
            }
        });
    }

    void pullSettings()
    {
        asio::post(executor(), [self = shared_from_this()] {
            self->m_pullRequested = true;
            self->flush();
        });
    }

    void close()
    {
        asio::post(executor(), [self = shared_from_this()] { self->fail(); });
    }

private:
    struct PendingRequest {
        OneShot<ForwardReply> reply;
        bool written = false;
    };

    awaitable<void> run()
    {
        auto self = shared_from_this();
        if (co_await connect()) {
            m_connected = true;
            m_lastReceivedAt = Clock::now();
            flush();
            while (auto message = co_await m_stream->receive()) {
                if (!m_owner.m_faults.allowsIncoming(m_peer)) {
                    continue;
                }
                m_lastReceivedAt = Clock::now();
                handle(std::move(message->message));
            }
        }
        fail();
    }

    awaitable<bool> connect()
    {
        auto &socket = m_stream->socket();
        asio::steady_timer timer(socket.get_executor(), m_owner.m_limits.connectTimeout);
        timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec && !self->m_connected) {
                self->m_stream->close();
            }
        });
        auto [ec] = co_await socket.async_connect(toAsio<tcp>(m_peer), NoThrowAwaitable);
        if (ec || m_closed) {
            co_return false;
        }
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        co_return true;
    }

    void handle(Message message)
    {
        if (auto *reply = std::get_if<ForwardReply>(&message)) {
            const auto it = m_pending.find(reply->id);
            // No entry: the request was cancelled or timed out before its reply arrived.
            if (it != m_pending.end()) {
                auto pendingReply = it->second.reply;
                m_pending.erase(it);
                pendingReply.set(std::move(*reply));
            }
        } else if (const auto *values = std::get_if<SettingsPullReply>(&message)) {
            if (!values->values.empty()) {
                m_owner.m_onSettings(m_peer, *values);
            }
        }
    }

    void flush()
    {
        if (!m_connected) {
            return;
        }
        for (auto &[id, frame] : std::exchange(m_backlog, {})) {
            sendFrame(std::move(frame), [self = shared_from_this(), id = id] {
                // A request cancelled before it was written has already been reported as not run and must not be sent.
                const auto it = self->m_pending.find(id);
                if (it == self->m_pending.end()) {
                    return false;
                }
                it->second.written = true;
                return true;
            });
        }
        if (std::exchange(m_pullRequested, false)) {
            transmit(m_owner.m_ownVersions());
        }
    }

    void transmit(const Message &message)
    {
        sendFrame(encode(m_owner.m_self, message), {});
    }

    void sendFrame(std::vector<std::uint8_t> frame, FrameStream::WriteHook onWrite)
    {
        if (m_owner.m_faults.allowsOutgoing(m_peer)) {
            m_stream->send(std::move(frame), std::move(onWrite));
        } else if (onWrite) {
            // A frame dropped by the fault injector counts as written, like one lost in the network.
            onWrite();
        }
    }

    // Sends a liveness check before the connection is closed for lack of a response, so that a pause of this process is
    // not mistaken for an unresponsive peer.
    awaitable<void> monitorLiveness()
    {
        auto self = shared_from_this();
        bool checked = false;
        while (!m_closed) {
            co_await sleepFor(m_owner.m_limits.livenessCheckDelay / 2);
            const auto sinceLastReceived = Clock::now() - m_lastReceivedAt;
            if (!m_connected || m_pending.empty() || sinceLastReceived < m_owner.m_limits.livenessCheckDelay) {
                // The timeout starts with the first request after an idle period.
                m_lastReceivedAt = m_pending.empty() ? Clock::now() : m_lastReceivedAt;
                checked = false;
            } else if (sinceLastReceived > m_owner.m_limits.responseTimeout && checked) {
                logEvent(LogLevel::Warning, "peer.silent", {{"peer", toString(m_peer)}});
                fail();
            } else if (!checked) {
                checked = true;
                transmit(m_owner.m_ownVersions());
            }
        }
    }

    void fail()
    {
        if (std::exchange(m_closed, true)) {
            return;
        }
        m_stream->close();
        m_owner.remove(m_peer, this);
        for (auto &[id, pending] : std::exchange(m_pending, {})) {
            const auto outcome = pending.written ? Outcome::MayHaveRun : Outcome::NotRun;
            pending.reply.set(failedReply(id, outcome, Reason::ConnectionLost));
        }
    }

    PeerConnections &m_owner;
    InstanceId m_peer;
    FrameStreamPtr m_stream;
    std::map<std::uint64_t, PendingRequest> m_pending;
    /// Encoded requests by id that wait for the connection to be established.
    std::vector<std::pair<std::uint64_t, std::vector<std::uint8_t>>> m_backlog;
    TimePoint m_lastReceivedAt = Clock::now();
    bool m_connected = false;
    bool m_closed = false;
    bool m_pullRequested = false;
};

PeerConnections::PeerConnections(asio::io_context &context,
                                 const FaultInjector &faults,
                                 Envelope self,
                                 Limits limits,
                                 SettingsHook onSettings,
                                 VersionsHook ownVersions)
    : m_context(context)
    , m_faults(faults)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_onSettings(std::move(onSettings))
    , m_ownVersions(std::move(ownVersions))
{
}

awaitable<ForwardReply>
PeerConnections::forward(InstanceId peer, ForwardRequest request, TimePoint deadline, CancellationPtr cancellation)
{
    const auto id = m_nextId++;
    request.id = id;
    std::vector<std::uint8_t> frame;
    try {
        frame = encode(m_self, request);
    } catch (const EncodeError &) {
        co_return failedReply(id, Outcome::NotRun, Reason::BadRequest);
    }
    auto connection = connectionTo(peer);
    OneShot<ForwardReply> reply;
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    timer.async_wait([connection, id](error_code ec) {
        if (!ec) {
            connection->cancel(id, Reason::Timeout);
        }
    });
    CancellationScope scope(cancellation, [connection, id] { connection->cancel(id, Reason::Cancelled); });
    connection->submit(id, std::move(frame), reply);
    co_return co_await reply.wait();
}

void PeerConnections::pullSettings(const InstanceId &peer)
{
    connectionTo(peer)->pullSettings();
}

std::shared_ptr<PeerConnections::Connection> PeerConnections::connectionTo(const InstanceId &peer)
{
    std::lock_guard lock(m_mutex);
    auto &connection = m_connections[peer];
    if (!connection) {
        connection = std::make_shared<Connection>(*this, peer);
        connection->start();
    }
    return connection;
}

void PeerConnections::remove(const InstanceId &peer, const Connection *connection)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_connections.find(peer);
    if (it != m_connections.end() && it->second.get() == connection) {
        m_connections.erase(it);
    }
}

void PeerConnections::closeAll()
{
    std::lock_guard lock(m_mutex);
    for (auto &[peer, connection] : m_connections) {
        connection->close();
    }
}

std::size_t PeerConnections::count() const
{
    std::lock_guard lock(m_mutex);
    return m_connections.size();
}

} // namespace laburnumspar::detail
