#include "laburnumspar/upstreamconstraints.h"

#include <algorithm>

namespace laburnumspar {

namespace {

/// An upstream that leaves has stopped long before.
constexpr Milliseconds MaxConstraintAge{600'000};
/// A longer pause counts as this one, so that a wrong value does not take an upstream out of use for good.
constexpr Milliseconds MaxPause{300'000};

} // namespace

void UpstreamConstraints::apply(const std::string &id,
                                std::int64_t startedAtMs,
                                const UpstreamNotice &notice,
                                TimePoint now)
{
    const auto known = m_constraints.find(id);
    const bool asksForNothing = !notice.leaving && notice.pause.count() <= 0;
    if (known == m_constraints.end() && asksForNothing) {
        return;
    }
    if (known != m_constraints.end() && startedAtMs < known->second.startedAtMs) {
        return;
    }
    setProcess(id, startedAtMs);
    auto &constraint = m_constraints[id];
    constraint.startedAtMs = startedAtMs;
    constraint.noticedAt = now;
    constraint.leaving = constraint.leaving || notice.leaving;
    constraint.pausedUntil = std::max(constraint.pausedUntil, now + std::min(notice.pause, MaxPause));
}

void UpstreamConstraints::setProcess(const std::string &id, std::int64_t startedAtMs)
{
    const auto it = m_constraints.find(id);
    if (it != m_constraints.end() && it->second.startedAtMs != startedAtMs) {
        m_constraints.erase(it);
    }
}

std::optional<TimePoint> UpstreamConstraints::allowedFrom(const std::string &id, TimePoint now) const
{
    const auto it = m_constraints.find(id);
    if (it == m_constraints.end()) {
        return now;
    }
    if (it->second.leaving) {
        return std::nullopt;
    }
    return std::max(now, it->second.pausedUntil);
}

void UpstreamConstraints::prune(TimePoint now)
{
    std::erase_if(m_constraints, [now](const auto &it) { return now - it.second.noticedAt > MaxConstraintAge; });
}

} // namespace laburnumspar
