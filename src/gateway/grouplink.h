#pragma once

#include "gateway/groupmessages.h"
#include "laburnumspar/gateway.h"
#include "net/io.h"

#include <functional>
#include <random>

namespace laburnumspar::detail {

/// Exchanges datagrams with the other instances, and tells them what changes.
class GroupLink
{
public:
    struct Hooks {
        /// Fills in what changes fast: load, revision and age of the store.
        std::function<void(InstanceStatus &)> fillStatus;
        std::function<void(const InstanceStatus &)> statusReceived;
        std::function<void(const UpstreamObservation &)> observationReceived;
        std::function<std::vector<UpstreamObservation>()> takeObservations;
        std::function<void(InstanceRole before, InstanceRole after)> roleChanged;
    };

    /// Binds at once; throws TransportError if the address is taken.
    GroupLink(asio::io_context &context, const GatewaySettings &settings, InstanceGroup &group, Hooks hooks);

    void start();
    /// Sends what is due; decides the own role.
    void tick(TimePoint now);
    /// Tells all that need to know at once, as after a change of the role or of the store.
    void announce();

private:
    void receive();
    void onDatagram(std::size_t length);
    void send(const Bytes &bytes, const std::string &ip);
    GroupHeartbeat makeHeartbeat(TimePoint now, bool replyRequested);
    void sendHeartbeats(TimePoint now);
    void sendObservations(TimePoint now);
    void requestStatus(TimePoint now);

    const GatewaySettings &m_settings;
    InstanceGroup &m_group;
    Hooks m_hooks;
    udp::socket m_socket;
    udp::endpoint m_from;
    std::array<std::uint8_t, 2048> m_buf{};
    TimePoint m_lastHeartbeat;
    TimePoint m_lastObservationsSent;
    TimePoint m_lastStatusRequest;
    TimePoint m_lastSeedRequest;
    std::uint64_t m_rejected = 0;
    std::mt19937 m_random;
};

} // namespace laburnumspar::detail
