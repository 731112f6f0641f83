#include "net/peerlinks.h"

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

/// One connection to a peer. Its state belongs to its strand.
class PeerLinks::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(PeerLinks &links, InstanceId peer)
        : m_links(links)
        , m_peer(std::move(peer))
        , m_stream(std::make_shared<FrameStream>(tcp::socket(asio::make_strand(links.m_context))))
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
            [self = shared_from_this()] { return self->watchSilence(); },
            [](std::exception_ptr error) { handleTaskException(std::move(error), "peer.silence"); });
    }

    asio::any_io_executor executor()
    {
        return m_stream->socket().get_executor();
    }

    void submit(std::uint64_t id, std::vector<std::uint8_t> frame, OneShot<ForwardReply> reply)
    {
        asio::post(executor(), [self = shared_from_this(), id, frame = std::move(frame), reply]() mutable {
            if (self->m_closed || self->m_stream->queuedBytes() > self->m_links.m_limits.maxQueuedBytes) {
                reply.set(failedReply(id, Outcome::NotRun, Reason::ConnectionLost));
                return;
            }
            self->m_pending.emplace(id, Pending{reply, false});
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

    void pull()
    {
        asio::post(executor(), [self = shared_from_this()] {
            self->m_pullWanted = true;
            self->flush();
        });
    }

    void close()
    {
        asio::post(executor(), [self = shared_from_this()] { self->fail(); });
    }

private:
    struct Pending {
        OneShot<ForwardReply> reply;
        bool written = false;
    };

    awaitable<void> run()
    {
        auto self = shared_from_this();
        if (co_await connect()) {
            m_connected = true;
            m_heardAt = Clock::now();
            flush();
            while (auto message = co_await m_stream->receive()) {
                if (!m_links.m_faults.allowsIncoming(m_peer)) {
                    continue;
                }
                m_heardAt = Clock::now();
                handle(std::move(message->message));
            }
        }
        fail();
    }

    awaitable<bool> connect()
    {
        auto &socket = m_stream->socket();
        asio::steady_timer timer(socket.get_executor(), m_links.m_limits.connectTimeout);
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
            // A reply to a request that was given up arrives late; nobody waits for it.
            if (it != m_pending.end()) {
                auto waiting = it->second.reply;
                m_pending.erase(it);
                waiting.set(std::move(*reply));
            }
        } else if (const auto *values = std::get_if<SettingsPullReply>(&message)) {
            if (!values->values.empty()) {
                m_links.m_onSettings(m_peer, *values);
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
                // A request that was given up while it waited for the socket has been reported as not run.
                const auto it = self->m_pending.find(id);
                if (it == self->m_pending.end()) {
                    return false;
                }
                it->second.written = true;
                return true;
            });
        }
        if (std::exchange(m_pullWanted, false)) {
            transmit(m_links.m_known());
        }
    }

    void transmit(const Message &message)
    {
        sendFrame(encode(m_links.m_self, message), {});
    }

    void sendFrame(std::vector<std::uint8_t> frame, FrameStream::WriteHook onWrite)
    {
        if (m_links.m_faults.allowsOutgoing(m_peer)) {
            m_stream->send(std::move(frame), std::move(onWrite));
        } else if (onWrite) {
            onWrite();
        }
    }

    // The check always goes first: after a pause of this process the peer is not blamed for the silence.
    awaitable<void> watchSilence()
    {
        auto self = shared_from_this();
        bool checked = false;
        while (!m_closed) {
            co_await sleepFor(m_links.m_limits.silenceCheck / 2);
            const auto silence = Clock::now() - m_heardAt;
            if (!m_connected || m_pending.empty() || silence < m_links.m_limits.silenceCheck) {
                // Silence counts from the first request after an idle time.
                m_heardAt = m_pending.empty() ? Clock::now() : m_heardAt;
                checked = false;
            } else if (silence > m_links.m_limits.silenceLimit && checked) {
                logEvent(LogLevel::Warning, "peer.silent", {{"peer", toString(m_peer)}});
                fail();
            } else if (!checked) {
                checked = true;
                transmit(m_links.m_known());
            }
        }
    }

    void fail()
    {
        if (std::exchange(m_closed, true)) {
            return;
        }
        m_stream->close();
        m_links.forget(m_peer, this);
        for (auto &[id, pending] : std::exchange(m_pending, {})) {
            const auto outcome = pending.written ? Outcome::MayHaveRun : Outcome::NotRun;
            pending.reply.set(failedReply(id, outcome, Reason::ConnectionLost));
        }
    }

    PeerLinks &m_links;
    InstanceId m_peer;
    FrameStreamPtr m_stream;
    std::map<std::uint64_t, Pending> m_pending;
    std::vector<std::pair<std::uint64_t, std::vector<std::uint8_t>>> m_backlog; ///< until the link is connected
    TimePoint m_heardAt = Clock::now();
    bool m_connected = false;
    bool m_closed = false;
    bool m_pullWanted = false;
};

PeerLinks::PeerLinks(asio::io_context &context,
                     const FaultInjector &faults,
                     Envelope self,
                     Limits limits,
                     SettingsHook onSettings,
                     KnownHook known)
    : m_context(context)
    , m_faults(faults)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_onSettings(std::move(onSettings))
    , m_known(std::move(known))
{
}

awaitable<ForwardReply>
PeerLinks::forward(InstanceId peer, ForwardRequest request, TimePoint deadline, CancellationPtr cancellation)
{
    const auto id = m_nextId++;
    request.id = id;
    std::vector<std::uint8_t> frame;
    try {
        frame = encode(m_self, request);
    } catch (const EncodeError &) {
        co_return failedReply(id, Outcome::NotRun, Reason::BadRequest);
    }
    auto link = linkTo(peer);
    OneShot<ForwardReply> reply;
    asio::steady_timer timer(co_await asio::this_coro::executor, deadline);
    timer.async_wait([link, id](error_code ec) {
        if (!ec) {
            link->cancel(id, Reason::Timeout);
        }
    });
    CancellationScope scope(cancellation, [link, id] { link->cancel(id, Reason::Cancelled); });
    link->submit(id, std::move(frame), reply);
    co_return co_await reply.wait();
}

void PeerLinks::pull(const InstanceId &peer)
{
    linkTo(peer)->pull();
}

std::shared_ptr<PeerLinks::Link> PeerLinks::linkTo(const InstanceId &peer)
{
    std::lock_guard lock(m_mutex);
    auto &link = m_links[peer];
    if (!link) {
        link = std::make_shared<Link>(*this, peer);
        link->start();
    }
    return link;
}

void PeerLinks::forget(const InstanceId &peer, const Link *link)
{
    std::lock_guard lock(m_mutex);
    const auto it = m_links.find(peer);
    if (it != m_links.end() && it->second.get() == link) {
        m_links.erase(it);
    }
}

void PeerLinks::closeAll()
{
    std::lock_guard lock(m_mutex);
    for (auto &[peer, link] : m_links) {
        link->close();
    }
}

std::size_t PeerLinks::count() const
{
    std::lock_guard lock(m_mutex);
    return m_links.size();
}

} // namespace laburnumspar::detail
