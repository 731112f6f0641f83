#include "laburnumspar/upstreamconstraints.h"

namespace laburnumspar {

namespace {

/// An upstream that leaves has stopped long before.
constexpr Milliseconds MaxConstraintAge{600'000};

} // namespace

void UpstreamConstraints::apply(const std::string &id,
                                std::int64_t startedAtMs,
                                const UpstreamNotice &notice,
                                TimePoint now)
{
    const auto known = m_constraints.find(id);
    if (known == m_constraints.end() && !notice.leaving) {
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
}

void UpstreamConstraints::setProcess(const std::string &id, std::int64_t startedAtMs)
{
    const auto it = m_constraints.find(id);
    if (it != m_constraints.end() && it->second.startedAtMs != startedAtMs) {
        m_constraints.erase(it);
    }
}

bool UpstreamConstraints::allows(const std::string &id, TimePoint) const
{
    const auto it = m_constraints.find(id);
    return it == m_constraints.end() || !it->second.leaving;
}

void UpstreamConstraints::prune(TimePoint now)
{
    std::erase_if(m_constraints, [now](const auto &it) { return now - it.second.noticedAt > MaxConstraintAge; });
}

} // namespace laburnumspar
