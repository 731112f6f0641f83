#include "gateway/grouplink.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <algorithm>
#include <map>

namespace laburnumspar::detail {

namespace {

/// Interval at which active instances send heartbeats to their zone and to each other.
constexpr Milliseconds HeartbeatInterval{300};
/// Interval at which the other instances request the status of the active ones in their zone.
constexpr Milliseconds StatusRequestInterval{1500};
/// Interval at which new observations are sent to the other active instances.
constexpr Milliseconds ObservationInterval{200};
/// An instance whose last response from the store is younger than this sends heartbeats whatever its role.
constexpr Milliseconds MaxReaderStoreAge{1000};
/// Interval of status requests while no active instance of the zone is known.
constexpr Milliseconds DiscoveryInterval{250};
/// Interval at which active instances contact the seeds, so that parts of a partitioned fleet find each other again.
constexpr Milliseconds SeedInterval{3000};

udp::socket bindSocket(asio::io_context &context, const Endpoint &endpoint)
{
    try {
        return udp::socket(context, toAsio<udp>(endpoint));
    } catch (const boost::system::system_error &e) {
        throw TransportError("cannot bind UDP socket to " + toString(endpoint) + ": " + e.code().message());
    }
}

} // namespace

GroupLink::GroupLink(asio::io_context &context, const GatewaySettings &settings, InstanceGroup &group, Hooks hooks)
    : m_settings(settings)
    , m_group(group)
    , m_hooks(std::move(hooks))
    , m_socket(bindSocket(context, settings.peers))
    , m_random(std::random_device()())
{
    m_socket.non_blocking(true);
}

void GroupLink::start()
{
    receive();
}

void GroupLink::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buf), m_from, [this](error_code ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            onDatagram(n);
        }
        receive();
    });
}

void GroupLink::onDatagram(std::size_t length)
{
    const auto now = Clock::now();
    try {
        const auto heartbeat = decodeHeartbeat({m_buf.data(), length}, m_settings.zones);
        m_group.receiveStatus(heartbeat.sender, now);
        for (const auto &it : heartbeat.knownInstances) {
            m_group.receiveRelayedStatus(it.status, it.age, now);
        }
        m_hooks.statusReceived(heartbeat.sender);
        for (const auto &it : heartbeat.observations) {
            m_hooks.observationReceived(it);
        }
        for (const auto &it : heartbeat.suspects) {
            m_hooks.suspectReceived(it);
        }
        for (const auto &it : heartbeat.quotas) {
            m_hooks.quotaReceived(heartbeat.sender.ip, it);
        }
        if (heartbeat.replyRequested) {
            send(encodeHeartbeat(makeHeartbeat(now, false), m_settings.zones), heartbeat.sender.ip);
        }
    } catch (const InvariantError &) {
        throw;
    } catch (const std::exception &e) {
        ++m_rejected;
        logEvent(LogLevel::Warning,
                 "group.datagram-rejected",
                 {{"from", m_from.address().to_string()}, {"error", e.what()}, {"count", m_rejected}});
    }
}

void GroupLink::send(const Bytes &bytes, const std::string &ip)
{
    error_code ec;
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(asio::ip::make_address_v4(ip), m_settings.peers.port), 0, ec);
    if (ec && ec != asio::error::would_block) {
        logEvent(LogLevel::Debug, "group.send-failed", {{"to", ip}, {"error", ec.message()}});
    }
}

GroupHeartbeat GroupLink::makeHeartbeat(TimePoint now, bool replyRequested)
{
    m_hooks.fillStatus(m_group.self());
    GroupHeartbeat heartbeat;
    heartbeat.sender = m_group.self();
    heartbeat.replyRequested = replyRequested;
    for (const auto &it : m_group.members(now)) {
        heartbeat.knownInstances.push_back({it, m_group.statusAge(it.ip, now)});
    }
    if (heartbeat.knownInstances.size() > MaxKnownInstances) {
        // Active instances go first. The others are chosen at random, so that all are sent over time.
        std::shuffle(heartbeat.knownInstances.begin(), heartbeat.knownInstances.end(), m_random);
        std::stable_partition(heartbeat.knownInstances.begin(),
                              heartbeat.knownInstances.end(),
                              [](const KnownInstance &it) { return it.status.role == InstanceRole::Active; });
    }
    return heartbeat;
}

void GroupLink::sendHeartbeats(TimePoint now)
{
    m_lastHeartbeat = now;
    auto heartbeat = makeHeartbeat(now, false);
    const auto &self = m_group.self();
    const auto members = m_group.members(now);
    // Instances of the same zone need to know all its members; instances elsewhere only the active ones.
    const auto forZone = encodeHeartbeat(heartbeat, m_settings.zones);
    std::erase_if(heartbeat.knownInstances,
                  [](const KnownInstance &it) { return it.status.role != InstanceRole::Active; });
    const auto forOthers = encodeHeartbeat(heartbeat, m_settings.zones);
    for (const auto &it : members) {
        if (it.zone == self.zone) {
            send(forZone, it.ip);
        } else if (it.role == InstanceRole::Active) {
            send(forOthers, it.ip);
        }
    }
}

/// Sends the outcomes of attempts to the other active instances, so that all of them avoid an upstream that one of them
/// has seen fail.
void GroupLink::sendObservations(TimePoint now)
{
    std::map<std::string, std::vector<std::string>> receivers; // addresses by zone
    std::vector<std::string> zones;
    for (const auto &it : m_group.activeInstances("", now)) {
        if (it.ip == m_settings.ip) {
            continue;
        }
        auto &ofZone = receivers[it.zone];
        if (ofZone.empty()) {
            zones.push_back(it.zone);
        }
        ofZone.push_back(it.ip);
    }
    for (const auto &it : m_hooks.takeObservations()) {
        m_observations.add(it, zones, now);
    }
    for (const auto &[zone, addresses] : receivers) {
        sendObservationsTo(addresses, m_observations.takeDue(zone, now));
    }
}

void GroupLink::sendObservationsTo(const std::vector<std::string> &addresses,
                                   const std::vector<UpstreamObservation> &observations)
{
    for (std::size_t from = 0; from < observations.size(); from += MaxObservations) {
        GroupHeartbeat heartbeat;
        m_hooks.fillStatus(m_group.self());
        heartbeat.sender = m_group.self();
        const auto to = std::min(from + MaxObservations, observations.size());
        heartbeat.observations.assign(observations.begin() + long(from), observations.begin() + long(to));
        const auto bytes = encodeHeartbeat(heartbeat, m_settings.zones);
        for (const auto &ip : addresses) {
            send(bytes, ip);
        }
    }
}

/// Sends the requests under which upstreams crash to the instances that get most of the requests, and to those of the
/// own zone, which may take over from them.
void GroupLink::sendSuspects(TimePoint now)
{
    const auto suspects = m_hooks.takeSuspects();
    for (std::size_t from = 0; from < suspects.size(); from += MaxSuspectReports) {
        GroupHeartbeat heartbeat;
        m_hooks.fillStatus(m_group.self());
        heartbeat.sender = m_group.self();
        const auto to = std::min(from + MaxSuspectReports, suspects.size());
        heartbeat.suspects.assign(suspects.begin() + long(from), suspects.begin() + long(to));
        const auto bytes = encodeHeartbeat(heartbeat, m_settings.zones);
        for (const auto &it : m_group.members(now)) {
            const bool receives = it.zone == m_settings.zone || it.role == InstanceRole::Active;
            if (receives && it.ip != m_settings.ip) {
                send(bytes, it.ip);
            }
        }
    }
}

/// Only active instances share quotas by demand; the others take few requests.
void GroupLink::sendQuotaReports(TimePoint now)
{
    GroupHeartbeat heartbeat;
    heartbeat.quotas = m_hooks.takeQuotaReports();
    if (heartbeat.quotas.empty()) {
        return;
    }
    m_hooks.fillStatus(m_group.self());
    heartbeat.sender = m_group.self();
    const auto bytes = encodeHeartbeat(heartbeat, m_settings.zones);
    for (const auto &it : m_group.activeInstances("", now)) {
        if (it.ip != m_settings.ip) {
            send(bytes, it.ip);
        }
    }
}

void GroupLink::requestStatus(TimePoint now)
{
    m_lastStatusRequest = now;
    const auto bytes = encodeHeartbeat(makeHeartbeat(now, true), m_settings.zones);
    const auto activeInstances = m_group.activeInstances(m_settings.zone, now);
    for (const auto &it : activeInstances) {
        if (it.ip != m_settings.ip) {
            send(bytes, it.ip);
        }
    }
    const bool seedsDue = m_group.self().role == InstanceRole::Active && now - m_lastSeedRequest >= SeedInterval;
    if (!activeInstances.empty() && !seedsDue) {
        return;
    }
    m_lastSeedRequest = now;
    for (const auto &seed : m_settings.seeds) {
        if (seed.ip != m_settings.ip) {
            send(bytes, seed.ip);
        }
    }
    if (activeInstances.empty()) {
        for (const auto &it : m_group.members(now)) {
            if (it.zone == m_settings.zone) {
                send(bytes, it.ip);
            }
        }
    }
}

void GroupLink::tick(TimePoint now)
{
    const auto before = m_group.self().role;
    const auto role = m_group.updateRole(now);
    if (role != before) {
        m_hooks.roleChanged(before, role);
        sendHeartbeats(now);
    }
    m_hooks.fillStatus(m_group.self());
    // An instance that reads the store for the others reports to them, whatever its role.
    const bool sendsHeartbeats = role == InstanceRole::Active || role == InstanceRole::Leaving
        || Milliseconds(m_group.self().storeAgeMs) < MaxReaderStoreAge;
    if (sendsHeartbeats && now - m_lastHeartbeat >= HeartbeatInterval) {
        sendHeartbeats(now);
    }
    if (now - m_lastObservationsSent >= ObservationInterval) {
        m_lastObservationsSent = now;
        sendObservations(now);
        sendQuotaReports(now);
    }
    // Callers repeat a request soon, so the others have to know at once.
    sendSuspects(now);
    const auto interval = m_group.activeInstances(m_settings.zone, now).empty() ? DiscoveryInterval
        : role == InstanceRole::Active                                          ? SeedInterval
                                                                                : StatusRequestInterval;
    if (now - m_lastStatusRequest >= interval) {
        requestStatus(now);
    }
}

void GroupLink::announce()
{
    sendHeartbeats(Clock::now());
}

} // namespace laburnumspar::detail
