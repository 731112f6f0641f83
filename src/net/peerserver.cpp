#include "net/peerconnections.h"

namespace laburnumspar::detail {

struct PeerServer::State {
    const FaultInjector &faults;
    Envelope self;
    ForwardHook onForward;
    PullHook onPull;
    std::atomic<std::size_t> inFlight = 0;
};

/// One connection from another instance.
class PeerServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<State> state, tcp::socket socket)
        : m_state(std::move(state))
        , m_stream(std::make_shared<FrameStream>(std::move(socket)))
    {
    }

    awaitable<void> run()
    {
        auto self = shared_from_this();
        while (auto message = co_await m_stream->receive()) {
            m_peer = message->envelope.sender;
            if (m_state->faults.allowsIncoming(m_peer)) {
                handle(std::move(message->message));
            }
        }
        // The connection has ended: requests of this peer that have not started yet must not start.
        for (auto &[id, cancellation] : std::exchange(m_cancellations, {})) {
            cancellation->cancel();
        }
    }

private:
    void handle(Message message)
    {
        if (auto *request = std::get_if<ForwardRequest>(&message)) {
            handleForward(std::move(*request));
        } else if (const auto *cancel = std::get_if<ForwardCancel>(&message)) {
            if (const auto it = m_cancellations.find(cancel->id); it != m_cancellations.end()) {
                it->second->cancel();
            }
        } else if (const auto *pull = std::get_if<SettingsPull>(&message)) {
            for (const auto &values : m_state->onPull(*pull)) {
                transmit(values);
            }
        }
    }

    void handleForward(ForwardRequest request)
    {
        auto cancellation = std::make_shared<Cancellation>();
        m_cancellations[request.id] = cancellation;
        ++m_state->inFlight;
        asio::co_spawn(
            m_stream->socket().get_executor(),
            [self = shared_from_this(), request = std::move(request), cancellation]() mutable {
                return self->forwardAndReply(std::move(request), cancellation);
            },
            [state = m_state](std::exception_ptr error) {
                --state->inFlight;
                handleTaskException(std::move(error), "peer.forward");
            });
    }

    awaitable<void> forwardAndReply(ForwardRequest request, CancellationPtr cancellation)
    {
        const auto id = request.id;
        auto reply = co_await m_state->onForward(std::move(request), cancellation);
        m_cancellations.erase(id);
        reply.id = id;
        try {
            transmit(reply);
        } catch (const EncodeError &) {
            // The upstream has run the request, but its answer does not fit into a frame.
            ForwardReply failure;
            failure.id = id;
            failure.reason = Reason::TruncatedAnswer;
            transmit(failure);
        }
    }

    void transmit(const Message &message)
    {
        if (m_state->faults.allowsOutgoing(m_peer)) {
            m_stream->send(encode(m_state->self, message));
        }
    }

    std::shared_ptr<State> m_state;
    FrameStreamPtr m_stream;
    InstanceId m_peer;
    std::map<std::uint64_t, CancellationPtr> m_cancellations; ///< of the requests in flight, by request id
};

PeerServer::PeerServer(
    asio::io_context &context, const FaultInjector &faults, Envelope self, ForwardHook onForward, PullHook onPull)
    : m_state(new State{faults, std::move(self), std::move(onForward), std::move(onPull)})
    , m_listener(context, m_state->self.sender, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

void PeerServer::start()
{
    m_listener.start();
}

void PeerServer::close()
{
    m_listener.close();
}

std::size_t PeerServer::requestsInFlight() const
{
    return m_state->inFlight;
}

void PeerServer::serve(tcp::socket socket)
{
    auto executor = socket.get_executor();
    auto session = std::make_shared<Session>(m_state, std::move(socket));
    asio::co_spawn(
        executor,
        [session] { return session->run(); },
        [](std::exception_ptr error) { handleTaskException(std::move(error), "peer.session"); });
}

} // namespace laburnumspar::detail
