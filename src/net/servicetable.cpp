#include "net/servicetable.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

constexpr std::string_view LocalPolicy = "local"; // each instance dispatches to all upstreams by itself

UpstreamsByZone countByZone(const std::vector<UpstreamEntry> &upstreams)
{
    UpstreamsByZone zones;
    for (const auto &upstream : upstreams) {
        ++zones[upstream.zone];
    }
    return zones;
}

} // namespace

ServiceTable::ServiceTable(InstanceId self, ServiceRuntime::Context context)
    : m_self(std::move(self))
    , m_context(context)
    , m_snapshot(std::make_shared<Snapshot>())
{
}

void ServiceTable::refresh(const SettingsStore &store,
                           const std::vector<MemberView> &members,
                           bool isolated,
                           TimePoint now)
{
    const auto previous = snapshot();
    auto next = std::make_shared<Snapshot>();
    for (const auto &service : store.services()) {
        next->entries[service] = makeEntry(service, store, members, *previous, isolated, now);
    }
    for (const auto &member : members) {
        if (member.state == MemberState::Alive && !member.callerAddress.ip.empty()) {
            next->members.push_back({member.id, member.callerAddress, member.zone});
        }
    }
    std::lock_guard lock(m_mutex);
    m_snapshot = std::move(next);
}

ServiceTable::Entry ServiceTable::makeEntry(const std::string &service,
                                            const SettingsStore &store,
                                            const std::vector<MemberView> &members,
                                            const Snapshot &previous,
                                            bool isolated,
                                            TimePoint now)
{
    Entry entry;
    const auto settings = store.service(service);
    const auto old = previous.entries.find(service);
    if (old != previous.entries.end()) {
        entry.runtime = old->second.runtime;
        entry.runtime->setSettings(settings, now);
    } else {
        entry.runtime = std::make_shared<ServiceRuntime>(m_context, settings);
    }
    const auto upstreams = store.upstreams(service);
    std::vector<UpstreamId> owned;
    if (settings->policy == LocalPolicy) {
        entry.dispatchers.push_back({m_self, {}, true});
        for (const auto &upstream : *upstreams) {
            owned.push_back(upstream.id);
        }
    } else {
        const auto group = dispatcherGroup(service, members, countByZone(*upstreams));
        for (const auto &member : group) {
            entry.dispatchers.push_back({member.id, member.zone, member.id == m_self});
        }
        for (const auto &upstream : *upstreams) {
            const auto unreachable = unreachableFrom(service, upstream.id, members);
            if (ownerOf(upstream.id, upstream.zone, group, unreachable) == m_self) {
                owned.push_back(upstream.id);
            }
        }
    }
    entry.dispatchesHere = !owned.empty();
    // Members on the other side of a partition may dispatch to the same upstreams.
    const bool othersMayDispatch = isolated && members.size() > 1;
    entry.runtime->setIsolated(othersMayDispatch && settings->policy != LocalPolicy);
    entry.runtime->setUpstreams(*upstreams, owned, now);
    return entry;
}

std::shared_ptr<const ServiceTable::Snapshot> ServiceTable::snapshot() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

void ServiceTable::tick(TimePoint now)
{
    for (const auto &[service, entry] : snapshot()->entries) {
        entry.runtime->tick(now);
    }
}

void ServiceTable::recordPause(TimePoint from, TimePoint to)
{
    for (const auto &[service, entry] : snapshot()->entries) {
        entry.runtime->recordPause(from, to);
    }
}

std::shared_ptr<ServiceRuntime> ServiceTable::runtime(const std::string &service) const
{
    const auto current = snapshot();
    const auto it = current->entries.find(service);
    return it == current->entries.end() ? nullptr : it->second.runtime;
}

std::shared_ptr<const ServiceSettings> ServiceTable::settings(const std::string &service) const
{
    const auto found = runtime(service);
    return found ? found->settings() : nullptr;
}

std::vector<DispatcherCandidate> ServiceTable::dispatchers(const std::string &service) const
{
    const auto current = snapshot();
    const auto it = current->entries.find(service);
    return it == current->entries.end() ? std::vector<DispatcherCandidate>() : it->second.dispatchers;
}

std::vector<Endpoint> ServiceTable::callerAddresses(const std::string &service, const std::string &zone) const
{
    const auto current = snapshot();
    const auto candidates = dispatchers(service);
    struct Ranked {
        bool notDispatching;
        bool otherZone;
        std::uint64_t score;
        Endpoint address;
    };
    std::vector<Ranked> ranked;
    for (const auto &member : current->members) {
        const bool dispatches = std::any_of(
            candidates.begin(), candidates.end(), [&](const DispatcherCandidate &c) { return c.id == member.id; });
        // The score depends on this instance, so that different instances return different alternative addresses.
        const auto score = rendezvousScore(toString(m_self), member.id);
        ranked.push_back({!dispatches, member.zone != zone, score, member.callerAddress});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.notDispatching, a.otherZone, a.score) < std::tie(b.notDispatching, b.otherZone, b.score);
    });
    std::vector<Endpoint> addresses;
    for (auto &entry : ranked) {
        addresses.push_back(std::move(entry.address));
    }
    return addresses;
}

std::vector<std::string> ServiceTable::services() const
{
    std::vector<std::string> names;
    for (const auto &[service, entry] : snapshot()->entries) {
        names.push_back(service);
    }
    return names;
}

std::vector<ServiceLoad> ServiceTable::loads() const
{
    std::vector<ServiceLoad> loads;
    for (const auto &[service, entry] : snapshot()->entries) {
        if (entry.dispatchesHere) {
            loads.push_back(entry.runtime->load());
        }
    }
    return loads;
}

std::vector<UnreachableUpstreams> ServiceTable::unreachable() const
{
    std::vector<UnreachableUpstreams> all;
    for (const auto &[service, entry] : snapshot()->entries) {
        auto upstreams = entry.runtime->unreachable();
        if (!upstreams.empty()) {
            all.push_back({service, std::move(upstreams)});
        }
    }
    return all;
}

} // namespace laburnumspar::detail
