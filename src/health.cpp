#include "laburnumspar/health.h"

#include "detail/healthstatemachine.h"

#include <algorithm>

namespace laburnumspar {

namespace {

/// All probes of an upstream together may use 2% of a slot. A probe of 25 ms every 1.5 s by the owner uses 1.7%; the
/// rest is left for the instances that do not own the upstream.
constexpr Milliseconds ProbeInterval{1500};
constexpr Milliseconds NonOwnerProbeInterval{15000};

} // namespace

class HealthEvaluator::Private
{
public:
    Private(const HealthSettings &settings, std::uint64_t seed)
        : pool(settings, seed)
        , stateMachine(pool)
    {
    }

    detail::HealthPool pool;
    detail::HealthStateMachine stateMachine;
};

HealthEvaluator::HealthEvaluator(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

HealthEvaluator::~HealthEvaluator() = default;
HealthEvaluator::HealthEvaluator(HealthEvaluator &&) noexcept = default;
HealthEvaluator &HealthEvaluator::operator=(HealthEvaluator &&) noexcept = default;

void HealthEvaluator::setPool(std::vector<PoolMember> pool, TimePoint now)
{
    m_d->pool.setPool(std::move(pool), now);
}

void HealthEvaluator::setSettings(const HealthSettings &settings, TimePoint now)
{
    m_d->pool.setSettings(settings, now);
}

void HealthEvaluator::record(const Evidence &evidence)
{
    auto *record = m_d->pool.find(evidence.upstream);
    if (!record) {
        return;
    }
    record->record(evidence, m_d->stateMachine.slowThreshold(evidence.requestClass));
    if (evidence.kind == EvidenceKind::ProbeOk && record->state == HealthState::Ejected
        && evidence.sentAt >= std::max(record->excludedUntil, record->ignoreSentBefore)) {
        m_d->pool.change(*record, HealthState::Returning, HealthReason::ProbeSucceeded, evidence.at);
    }
}

Microseconds HealthEvaluator::overdueThreshold(RequestClass requestClass) const
{
    return m_d->stateMachine.slowThreshold(requestClass).value_or(Microseconds::max());
}

void HealthEvaluator::recordPause(TimePoint from, TimePoint to)
{
    for (auto &[id, record] : m_d->pool.records()) {
        record.discardPaused(from, to);
    }
}

std::vector<HealthChange> HealthEvaluator::evaluate(TimePoint now)
{
    m_d->stateMachine.evaluate(now);
    return m_d->pool.takeChanges();
}

Admission HealthEvaluator::admission(const UpstreamId &upstream, TimePoint now) const
{
    const auto *record = m_d->pool.find(upstream);
    return record ? record->admission(now, m_d->pool.settings()) : Admission();
}

std::vector<UpstreamId> HealthEvaluator::probesDue(TimePoint now)
{
    std::vector<UpstreamId> due;
    for (auto &[id, record] : m_d->pool.records()) {
        const bool eligible = record.member.owned ? record.state == HealthState::Ejected : record.unreachable;
        if (!eligible || now < record.excludedUntil || now < record.nextProbe
            || record.member.phase == UpstreamPhase::Draining) {
            continue;
        }
        record.nextProbe = now + (record.member.owned ? ProbeInterval : NonOwnerProbeInterval);
        due.push_back(id);
    }
    return due;
}

std::vector<UpstreamId> HealthEvaluator::unreachable() const
{
    std::vector<UpstreamId> ids;
    for (const auto &[id, record] : m_d->pool.records()) {
        if (record.unreachable) {
            ids.push_back(id);
        }
    }
    return ids;
}

HealthState HealthEvaluator::state(const UpstreamId &upstream) const
{
    const auto *record = m_d->pool.find(upstream);
    return record ? record->state : HealthState::Unknown;
}

HealthDump HealthEvaluator::dump(TimePoint now) const
{
    HealthDump dump{m_d->pool.settings(), m_d->stateMachine.ownNetworkFault(), m_d->pool.zones(now), {}};
    for (const auto &[id, record] : m_d->pool.records()) {
        dump.upstreams.push_back({record.member,
                                  record.state,
                                  record.reason,
                                  record.since,
                                  record.scores.slow,
                                  record.scores.failure,
                                  record.wrongScore(),
                                  record.floorBinding,
                                  record.unreachable,
                                  record.exclusion,
                                  record.counts});
    }
    return dump;
}

HealthEvaluator::Builder &HealthEvaluator::Builder::floor(double share)
{
    m_settings.floor = share;
    return *this;
}

HealthEvaluator::Builder &HealthEvaluator::Builder::slots(unsigned slots)
{
    m_settings.slots = slots;
    return *this;
}

HealthEvaluator::Builder &HealthEvaluator::Builder::rampTime(Milliseconds time)
{
    m_settings.rampTime = time;
    return *this;
}

HealthEvaluator::Builder &HealthEvaluator::Builder::seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

HealthEvaluator HealthEvaluator::Builder::build() const
{
    return HealthEvaluator(std::make_unique<Private>(m_settings, m_seed));
}

} // namespace laburnumspar
