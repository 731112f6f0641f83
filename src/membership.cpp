#include "laburnumspar/membership.h"

#include "detail/membershipcore.h"

#include <xxhash.h>

#include <utility>

namespace laburnumspar {

std::uint64_t settingsHash(std::span<const SettingsVersion> versions)
{
    // Spreads the eras over the seeds, so that no version of one era has the seed of a usual version of another.
    constexpr std::uint64_t EraFactor = 0x9e3779b97f4a7c15;
    std::uint64_t sum = 0;
    for (const auto &[path, version] : versions) {
        sum += XXH3_64bits_withSeed(path.data(), path.size(), version.era * EraFactor + version.number);
    }
    return sum;
}

class Membership::Private : public detail::MembershipCore
{
public:
    using MembershipCore::MembershipCore;
};

Membership::Membership(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;
Membership::~Membership() = default;

std::vector<Datagram> Membership::tick(TimePoint now)
{
    return m_d->tick(now);
}

ReceiveResult
Membership::receive(const Envelope &envelope, const Heartbeat &heartbeat, const InstanceId &from, TimePoint now)
{
    return m_d->receive(envelope, heartbeat, from, now);
}

void Membership::applyPlatformList(std::span<const InstanceEntry> list, TimePoint now)
{
    m_d->applyPlatformList(list, now);
}

void Membership::leave()
{
    m_d->leave();
}

void Membership::recordPause(TimePoint from, TimePoint to)
{
    m_d->recordPause(from, to);
}

void Membership::publish(std::vector<ServiceLoad> loads, std::vector<UnreachableUpstreams> unreachable)
{
    m_d->publish(std::move(loads), std::move(unreachable));
}

void Membership::publishSettings(std::vector<SettingsVersion> versions)
{
    m_d->publishSettings(std::move(versions));
}

std::vector<MemberView> Membership::view(TimePoint now) const
{
    std::vector<MemberView> views{m_d->selfView(now)};
    for (const auto &[id, member] : m_d->list().members()) {
        views.push_back(m_d->viewOf(id, member, now));
    }
    return views;
}

std::optional<MemberView> Membership::member(const InstanceId &id, TimePoint now) const
{
    if (id == m_d->self()) {
        return m_d->selfView(now);
    }
    const auto *member = m_d->list().find(id);
    return member == nullptr ? std::nullopt : std::optional(m_d->viewOf(id, *member, now));
}

bool Membership::bidirectional(const InstanceId &id, TimePoint now) const
{
    const auto *member = m_d->list().find(id);
    return id == m_d->self() || (member != nullptr && m_d->bidirectional(*member, now));
}

bool Membership::isViewCurrent(TimePoint now) const
{
    return m_d->isViewCurrent(now);
}

bool Membership::hasNoLivePeers(TimePoint now) const
{
    return m_d->hasNoLivePeers(now);
}

std::uint64_t Membership::revision() const
{
    return m_d->revision();
}

std::vector<MemberChange> Membership::takeChanges()
{
    return m_d->list().takeChanges();
}

std::uint64_t Membership::incarnation() const
{
    return m_d->incarnation();
}

MembershipCounters Membership::counters() const
{
    return m_d->counters();
}

Membership::Builder &Membership::Builder::self(InstanceId id)
{
    m_self = std::move(id);
    return *this;
}

Membership::Builder &Membership::Builder::zone(std::string zone)
{
    m_zone = std::move(zone);
    return *this;
}

Membership::Builder &Membership::Builder::callerAddress(Endpoint address)
{
    m_callerAddress = std::move(address);
    return *this;
}

Membership::Builder &Membership::Builder::incarnation(std::uint64_t incarnation)
{
    m_incarnation = incarnation;
    return *this;
}

Membership::Builder &Membership::Builder::seeds(std::vector<InstanceId> seeds)
{
    m_seeds = std::move(seeds);
    return *this;
}

Membership::Builder &Membership::Builder::period(Milliseconds period)
{
    m_period = period;
    return *this;
}

Membership::Builder &Membership::Builder::randomSeed(std::uint64_t seed)
{
    m_randomSeed = seed;
    return *this;
}

Membership Membership::Builder::build() const
{
    requireInvariant(m_self != InstanceId(), "the address of this instance must be set");
    requireInvariant(m_incarnation > 0 && m_incarnation < detail::MaxIncarnation,
                     "the incarnation must be greater than 0 and less than 2^62");
    requireInvariant(m_period >= Milliseconds(1), "the heartbeat period must be at least 1 ms");
    return Membership(std::make_unique<Membership::Private>(
        detail::MembershipParameters{m_self, m_zone, m_callerAddress, m_incarnation, m_seeds, m_period, m_randomSeed}));
}

} // namespace laburnumspar
