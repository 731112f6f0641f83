#pragma once

#include "gateway/groupmessages.h"
#include "gateway/observationbuffer.h"
#include "laburnumspar/gateway.h"
#include "net/io.h"

#include <functional>
#include <random>

namespace laburnumspar::detail {

/// Exchanges heartbeats and observations of upstreams with the other instances over UDP.
class GroupLink
{
public:
    struct Hooks {
        /// Updates the fields that change fast: load and store state.
        std::function<void(InstanceStatus &)> fillStatus;
        /// Called with the status of the sender of each heartbeat.
        std::function<void(const InstanceStatus &)> statusReceived;
        std::function<void(const UpstreamObservation &)> observationReceived;
        /// Returns the observations of this instance since the last call.
        std::function<std::vector<UpstreamObservation>()> takeObservations;
        std::function<void(const SuspectReport &)> suspectReceived;
        /// Returns what has been learned about requests under which upstreams crash and is due for the others.
        std::function<std::vector<SuspectReport>()> takeSuspects;
        std::function<void(const std::string &ip, const QuotaReport &)> quotaReceived;
        /// Returns what the others need to know of the organisations whose shares are used up.
        std::function<std::vector<QuotaReport>()> takeQuotaReports;
        std::function<void(InstanceRole before, InstanceRole after)> roleChanged;
    };

    /// Binds the socket. Throws TransportError if the address is in use.
    GroupLink(asio::io_context &context, const GatewaySettings &settings, InstanceGroup &group, Hooks hooks);

    /// Starts receiving.
    void start();
    /// Updates the role of this instance and sends the datagrams that are due. To be called periodically.
    void tick(TimePoint now);
    /// Sends heartbeats at once, for example after a change of the role or of the store.
    void announce();

private:
    void receive();
    void onDatagram(std::size_t length);
    void send(const Bytes &bytes, const std::string &ip);
    GroupHeartbeat makeHeartbeat(TimePoint now, bool replyRequested);
    void sendHeartbeats(TimePoint now);
    void sendObservations(TimePoint now);
    void sendSuspects(TimePoint now);
    void sendQuotaReports(TimePoint now);
    void sendObservationsTo(const std::vector<std::string> &addresses,
                            const std::vector<UpstreamObservation> &observations);
    void requestStatus(TimePoint now);

    const GatewaySettings &m_settings;
    InstanceGroup &m_group;
    Hooks m_hooks;
    udp::socket m_socket;
    udp::endpoint m_from;
    std::array<std::uint8_t, 2048> m_buf{};
    ObservationBuffer m_observations;
    TimePoint m_lastHeartbeat;
    TimePoint m_lastObservationsSent;
    TimePoint m_lastStatusRequest;
    TimePoint m_lastSeedRequest;
    std::uint64_t m_rejected = 0;
    std::mt19937 m_random;
};

} // namespace laburnumspar::detail
