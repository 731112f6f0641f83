#include "gateway/grouplink.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Active instances tell their zone and each other that they live; others ask from time to time.
constexpr Milliseconds BeatInterval{300};
constexpr Milliseconds GreetingInterval{1500};
constexpr Milliseconds ShareInterval{200};
constexpr Milliseconds RecentRead{1000};
/// Until an active instance is heard.
constexpr Milliseconds SearchInterval{250};
/// Active instances ask the seeds again, so that parts of the fleet that lost each other meet.
constexpr Milliseconds SeedInterval{3000};

udp::socket bindTo(asio::io_context &context, const Endpoint &endpoint)
{
    try {
        return udp::socket(context, toAsio<udp>(endpoint));
    } catch (const boost::system::system_error &e) {
        throw TransportError("cannot receive on " + toString(endpoint) + ": " + e.code().message());
    }
}

} // namespace

GroupLink::GroupLink(asio::io_context &context, const GatewaySettings &settings, InstanceGroup &group, Hooks hooks)
    : m_settings(settings)
    , m_group(group)
    , m_hooks(std::move(hooks))
    , m_socket(bindTo(context, settings.peers))
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
        const auto beat = decodeBeat({m_buf.data(), length}, m_settings.zones);
        m_group.receiveStatus(beat.sender, now);
        for (const auto &it : beat.heard) {
            m_group.receiveRelayedStatus(it.status, it.age, now);
        }
        m_hooks.statusHeard(beat.sender);
        for (const auto &it : beat.observations) {
            m_hooks.observationHeard(it);
        }
        if (beat.answerWanted) {
            send(encodeBeat(makeBeat(now, false), m_settings.zones), beat.sender.ip);
        }
    } catch (const DecodeError &e) {
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

GroupBeat GroupLink::makeBeat(TimePoint now, bool answerWanted)
{
    m_hooks.fillStatus(m_group.self());
    GroupBeat beat;
    beat.sender = m_group.self();
    beat.answerWanted = answerWanted;
    for (const auto &it : m_group.members(now)) {
        beat.heard.push_back({it, m_group.statusAge(it.ip, now)});
    }
    if (beat.heard.size() > MaxHeardInstances) {
        // Active ones go first; of the others, different ones each time.
        std::shuffle(beat.heard.begin(), beat.heard.end(), m_random);
        std::stable_partition(beat.heard.begin(), beat.heard.end(), [](const HeardInstance &it) {
            return it.status.role == InstanceRole::Active;
        });
    }
    return beat;
}

void GroupLink::beatToGroup(TimePoint now)
{
    m_lastBeat = now;
    auto beat = makeBeat(now, false);
    const auto &self = m_group.self();
    const auto members = m_group.members(now);
    // Members of the zone need to know each other; instances elsewhere only the active ones.
    const auto forZone = encodeBeat(beat, m_settings.zones);
    std::erase_if(beat.heard, [](const HeardInstance &it) { return it.status.role != InstanceRole::Active; });
    const auto forOthers = encodeBeat(beat, m_settings.zones);
    for (const auto &it : members) {
        if (it.zone == self.zone) {
            send(forZone, it.ip);
        } else if (it.role == InstanceRole::Active) {
            send(forOthers, it.ip);
        }
    }
}

/// Tells the other active instances how attempts ended, so that one fault seen by one of them spares the work of all.
void GroupLink::shareObservations(TimePoint now)
{
    auto observations = m_hooks.takeObservations();
    for (std::size_t from = 0; from < observations.size(); from += MaxObservations) {
        GroupBeat beat;
        m_hooks.fillStatus(m_group.self());
        beat.sender = m_group.self();
        const auto to = std::min(from + MaxObservations, observations.size());
        beat.observations.assign(observations.begin() + long(from), observations.begin() + long(to));
        const auto bytes = encodeBeat(beat, m_settings.zones);
        for (const auto &it : m_group.activeInstances("", now)) {
            if (it.ip != m_settings.ip) {
                send(bytes, it.ip);
            }
        }
    }
}

void GroupLink::greet(TimePoint now)
{
    m_lastGreeting = now;
    const auto bytes = encodeBeat(makeBeat(now, true), m_settings.zones);
    const auto actives = m_group.activeInstances(m_settings.zone, now);
    for (const auto &it : actives) {
        if (it.ip != m_settings.ip) {
            send(bytes, it.ip);
        }
    }
    const bool mayHaveLostOthers
        = m_group.self().role == InstanceRole::Active && now - m_lastSeedGreeting >= SeedInterval;
    if (!actives.empty() && !mayHaveLostOthers) {
        return;
    }
    m_lastSeedGreeting = now;
    for (const auto &seed : m_settings.seeds) {
        if (seed.ip != m_settings.ip) {
            send(bytes, seed.ip);
        }
    }
    if (actives.empty()) {
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
        beatToGroup(now);
    }
    m_hooks.fillStatus(m_group.self());
    // An instance that reads the store for the others tells them, whatever its role.
    const bool tells = role == InstanceRole::Active || role == InstanceRole::Leaving
        || Milliseconds(m_group.self().storeAgeMs) < RecentRead;
    if (tells && now - m_lastBeat >= BeatInterval) {
        beatToGroup(now);
    }
    if (now - m_lastShare >= ShareInterval) {
        m_lastShare = now;
        shareObservations(now);
    }
    const auto interval = m_group.activeInstances(m_settings.zone, now).empty() ? SearchInterval
        : role == InstanceRole::Active                                          ? SeedInterval
                                                                                : GreetingInterval;
    if (now - m_lastGreeting >= interval) {
        greet(now);
    }
}

void GroupLink::announce()
{
    beatToGroup(Clock::now());
}

} // namespace laburnumspar::detail
