#include "laburnumspar/healthbaselines.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar {

namespace {

constexpr unsigned FailuresToEject = 5;
constexpr Milliseconds MinExclusion{2000};
constexpr Milliseconds MaxExclusion{60000};
constexpr Milliseconds ProbeInterval{1000};
constexpr unsigned FailedProbesToEject = 3;
constexpr unsigned SuccessfulProbesToReadmit = 2;

} // namespace

void PeerComparisonPolicy::configure(const HealthSettings &settings, std::uint64_t seed)
{
    m_evaluator = HealthEvaluator::Builder()
                      .floor(settings.floor)
                      .slots(settings.slots)
                      .rampTime(settings.rampTime)
                      .seed(seed)
                      .build();
}

void PeerComparisonPolicy::setPool(std::vector<PoolMember> pool, TimePoint now)
{
    m_evaluator.setPool(std::move(pool), now);
}

void PeerComparisonPolicy::record(const Evidence &evidence)
{
    m_evaluator.record(evidence);
}

void PeerComparisonPolicy::recordPause(TimePoint from, TimePoint to)
{
    m_evaluator.recordPause(from, to);
}

Microseconds PeerComparisonPolicy::overdueThreshold(RequestClass requestClass) const
{
    return m_evaluator.overdueThreshold(requestClass);
}

std::vector<HealthChange> PeerComparisonPolicy::evaluate(TimePoint now)
{
    return m_evaluator.evaluate(now);
}

Admission PeerComparisonPolicy::admission(const UpstreamId &upstream, TimePoint now) const
{
    return m_evaluator.admission(upstream, now);
}

std::vector<UpstreamId> PeerComparisonPolicy::probesDue(TimePoint now)
{
    return m_evaluator.probesDue(now);
}

void BinaryHealthPolicy::configure(const HealthSettings &settings, std::uint64_t)
{
    m_settings = settings;
}

void BinaryHealthPolicy::setPool(std::vector<PoolMember> pool, TimePoint)
{
    std::map<UpstreamId, Entry> entries;
    for (auto &member : pool) {
        auto *known = find(member.id);
        auto entry = known ? *known : Entry();
        member.slots = member.slots > 0 ? member.slots : m_settings.slots;
        entry.member = std::move(member);
        entries.emplace(entry.member.id, entry);
    }
    m_entries = std::move(entries);
}

void BinaryHealthPolicy::recordPause(TimePoint, TimePoint)
{
}

Microseconds BinaryHealthPolicy::overdueThreshold(RequestClass) const
{
    return Microseconds::max();
}

std::vector<HealthChange> BinaryHealthPolicy::evaluate(TimePoint)
{
    return std::exchange(m_changes, {});
}

Admission BinaryHealthPolicy::admission(const UpstreamId &upstream, TimePoint) const
{
    const auto it = m_entries.find(upstream);
    if (it == m_entries.end() || it->second.ejected || it->second.member.phase == UpstreamPhase::Draining) {
        return {};
    }
    return {it->second.member.slots, 0};
}

std::vector<UpstreamId> BinaryHealthPolicy::probesDue(TimePoint)
{
    return {};
}

BinaryHealthPolicy::Entry *BinaryHealthPolicy::find(const UpstreamId &id)
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

bool BinaryHealthPolicy::canEject() const
{
    const auto ejected
        = std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) { return entry.second.ejected; });
    const auto total = static_cast<double>(m_entries.size());
    return total - static_cast<double>(ejected + 1) >= std::ceil(m_settings.floor * total - 1e-9);
}

void BinaryHealthPolicy::setEjected(Entry &entry, bool ejected, HealthReason reason, TimePoint now)
{
    const auto state = [](bool isEjected) { return isEjected ? HealthState::Ejected : HealthState::Healthy; };
    m_changes.push_back({entry.member.id, state(entry.ejected), state(ejected), reason, 0, now});
    entry.ejected = ejected;
    entry.failures = 0;
    entry.successes = 0;
}

void ConsecutiveErrorsPolicy::record(const Evidence &evidence)
{
    auto *entry = find(evidence.upstream);
    if (!entry || entry->ejected) {
        return;
    }
    switch (evidence.kind) {
    case EvidenceKind::Success:
        entry->failures = 0;
        return;
    case EvidenceKind::Timeout:
    case EvidenceKind::Error:
    case EvidenceKind::Truncated:
    case EvidenceKind::Wrong:
    case EvidenceKind::ConnectFailed:
        break;
    default:
        return;
    }
    if (++entry->failures >= FailuresToEject && canEject()) {
        entry->exclusion = entry->exclusion.count() == 0 ? MinExclusion : std::min(2 * entry->exclusion, MaxExclusion);
        entry->ejectedUntil = evidence.at + entry->exclusion;
        setEjected(*entry, true, HealthReason::Failing, evidence.at);
    }
}

std::vector<HealthChange> ConsecutiveErrorsPolicy::evaluate(TimePoint now)
{
    for (auto &[id, entry] : entries()) {
        if (entry.ejected && now >= entry.ejectedUntil) {
            setEjected(entry, false, HealthReason::EvidenceExpired, now);
        }
    }
    return BinaryHealthPolicy::evaluate(now);
}

void ProbesOnlyPolicy::record(const Evidence &evidence)
{
    auto *entry = find(evidence.upstream);
    if (!entry) {
        return;
    }
    if (evidence.kind == EvidenceKind::ProbeOk) {
        entry->failures = 0;
        if (++entry->successes >= SuccessfulProbesToReadmit && entry->ejected) {
            setEjected(*entry, false, HealthReason::ProbeSucceeded, evidence.at);
        }
    } else if (evidence.kind == EvidenceKind::ProbeFailed) {
        entry->successes = 0;
        if (++entry->failures >= FailedProbesToEject && !entry->ejected && canEject()) {
            setEjected(*entry, true, HealthReason::Unreachable, evidence.at);
        }
    }
}

std::vector<UpstreamId> ProbesOnlyPolicy::probesDue(TimePoint now)
{
    std::vector<UpstreamId> due;
    for (auto &[id, entry] : entries()) {
        if (entry.member.owned && now >= entry.nextProbe) {
            entry.nextProbe = now + ProbeInterval;
            due.push_back(id);
        }
    }
    return due;
}

} // namespace laburnumspar
