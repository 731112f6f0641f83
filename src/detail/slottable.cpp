#include "detail/slottable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspar::detail {

namespace {

// Reports arrive with every answer; one that is older than this no longer describes the upstream.
constexpr Milliseconds ReportLifetime{500};
// An upstream that sheds or does not accept connections gets no more than it holds for this long: several short
// executions, so that it recovers, but well below usual deadlines.
constexpr Milliseconds ShedBackoff{100};
// The hook may take a lock; its answers change with evidence, over tens of milliseconds at the earliest.
constexpr Milliseconds HookCacheTime{1};

bool contains(const std::vector<UpstreamId> &ids, const UpstreamId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Slots that long work must leave free for short work.
unsigned reservedForShort(const UpstreamSlots &upstream)
{
    return upstream.capacity >= 2 ? 1 : 0;
}

unsigned spareForLong(const UpstreamSlots &upstream)
{
    return upstream.limit - std::min(upstream.limit, reservedForShort(upstream));
}

} // namespace

unsigned UpstreamSlots::admitted() const
{
    return std::min(capacity, admission.slots);
}

SlotTable::SlotTable(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void SlotTable::setUpstreams(std::vector<UpstreamCapacity> upstreams)
{
    for (auto &upstream : m_upstreams) {
        upstream->capacity = 0;
    }
    for (auto &configured : upstreams) {
        const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) {
            return upstream->id == configured.id;
        });
        if (it != m_upstreams.end()) {
            (*it)->capacity = configured.slots;
            continue;
        }
        auto upstream = std::make_unique<UpstreamSlots>();
        upstream->id = std::move(configured.id);
        upstream->capacity = configured.slots;
        m_upstreams.push_back(std::move(upstream));
    }
    std::sort(m_upstreams.begin(), m_upstreams.end(), [](const auto &a, const auto &b) {
        return std::tie(a->id.ip, a->id.port) < std::tie(b->id.ip, b->id.port);
    });
    dropUnused();
}

void SlotTable::refresh(TimePoint now, bool force)
{
    const bool callHook = force || !m_hookCalledAt || now - *m_hookCalledAt >= HookCacheTime;
    m_slotSum = 0;
    for (auto &upstream : m_upstreams) {
        if (callHook) {
            upstream->admission
                = m_options.hook ? m_options.hook(upstream->id, now) : Admission{upstream->capacity, 0, false};
        }
        if (now >= upstream->externalLoadUntil) {
            upstream->externalLoad = 0;
        }
        const unsigned admitted = upstream->admitted();
        upstream->limit = admitted - std::min(admitted, upstream->externalLoad);
        if (now < upstream->shedUntil) {
            upstream->limit = std::min(upstream->limit, upstream->shedLimit);
        }
        m_slotSum += upstream->limit;
    }
    if (callHook) {
        m_hookCalledAt = now;
    }
    m_allOnTrial = std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const auto &upstream) {
        return upstream->admitted() == 0 || upstream->admission.trial;
    });
    m_longLimit = std::max(1U, unsigned(std::floor(m_options.longShare * m_slotSum + 1e-9)));
    assignLongUpstreams();
}

void SlotTable::assignLongUpstreams()
{
    m_noSpareForLong = true;
    for (auto &upstream : m_upstreams) {
        upstream->longAllowed = m_options.placement == LongPlacement::SharePerUpstream;
        m_noSpareForLong = m_noSpareForLong && spareForLong(*upstream) == 0;
    }
    if (m_options.placement == LongPlacement::SharePerUpstream) {
        return;
    }
    // Upstreams in the order of preference, then of ids, until they hold the share of long work.
    std::vector<UpstreamSlots *> order;
    for (auto &upstream : m_upstreams) {
        order.push_back(upstream.get());
    }
    std::stable_sort(order.begin(), order.end(), [](const UpstreamSlots *a, const UpstreamSlots *b) {
        return a->admission.preference < b->admission.preference;
    });
    unsigned covered = 0;
    for (UpstreamSlots *upstream : order) {
        upstream->longAllowed = covered < m_longLimit && spareForLong(*upstream) > 0;
        covered += upstream->longAllowed ? spareForLong(*upstream) : 0;
    }
}

bool SlotTable::acceptsLong(const UpstreamSlots &upstream) const
{
    if (upstream.outstanding >= upstream.limit) {
        return false;
    }
    // Where every upstream is lowered to its last slot, one long item may still run, or long work would starve.
    if (m_noSpareForLong) {
        return m_longRunning == 0;
    }
    return m_longRunning < m_longLimit && upstream.longAllowed
        && upstream.longOutstanding + reservedForShort(upstream) < upstream.limit;
}

bool SlotTable::accepts(const UpstreamSlots &upstream, WorkClass workClass) const
{
    return workClass == WorkClass::Long ? acceptsLong(upstream) : upstream.outstanding < upstream.limit;
}

UpstreamSlots *SlotTable::choose(WorkClass workClass, const std::vector<UpstreamId> &exclude, bool idempotent)
{
    m_candidates.clear();
    m_candidateUpstreams.clear();
    const bool avoidLongUpstreams = workClass == WorkClass::Short && m_options.placement == LongPlacement::FewUpstreams;
    std::pair<unsigned, bool> best{~0U, true};
    for (auto &upstream : m_upstreams) {
        // What must not be repeated is lost if the upstream in doubt fails, so it is tried with other work.
        const bool excludedFromTrial = upstream->admission.trial && !idempotent && !m_allOnTrial;
        if (!accepts(*upstream, workClass) || contains(exclude, upstream->id) || excludedFromTrial) {
            continue;
        }
        const std::pair<unsigned, bool> rank{upstream->admission.preference,
                                             avoidLongUpstreams && upstream->longAllowed};
        if (rank > best) {
            continue;
        }
        if (rank < best) {
            m_candidates.clear();
            m_candidateUpstreams.clear();
            best = rank;
        }
        m_candidates.push_back({&upstream->id, upstream->limit, upstream->outstanding});
        m_candidateUpstreams.push_back(upstream.get());
    }
    if (m_candidates.empty()) {
        return nullptr;
    }
    const std::size_t chosen = m_options.policy->choose(m_candidates, m_random);
    requireInvariant(chosen < m_candidateUpstreams.size(), "a dispatch policy chooses one of the candidates");
    return m_candidateUpstreams[chosen];
}

void SlotTable::start(UpstreamSlots &upstream, WorkClass workClass)
{
    const bool exempt = m_noSpareForLong && m_longRunning == 0;
    ++upstream.outstanding;
    requireInvariant(upstream.outstanding <= upstream.limit && upstream.limit <= upstream.capacity,
                     "started work fits the slots");
    if (workClass == WorkClass::Long) {
        ++upstream.longOutstanding;
        ++m_longRunning;
        requireInvariant(m_longRunning <= m_longLimit, "long work keeps to its share of the slots");
        requireInvariant(exempt || upstream.longOutstanding + reservedForShort(upstream) <= upstream.limit,
                         "long work leaves a slot of each upstream with two or more");
    }
}

void SlotTable::finish(UpstreamSlots &upstream, WorkClass workClass, const Completion &completion, TimePoint now)
{
    requireInvariant(upstream.outstanding > 0, "finished work was counted");
    if (completion.reportedInFlight) {
        const unsigned reported = *completion.reportedInFlight;
        upstream.externalLoad = reported - std::min(reported, upstream.outstanding);
        upstream.externalLoadUntil = now + ReportLifetime;
    }
    --upstream.outstanding;
    if (workClass == WorkClass::Long) {
        requireInvariant(upstream.longOutstanding > 0 && m_longRunning > 0, "finished long work was counted");
        --upstream.longOutstanding;
        --m_longRunning;
    }
    // An upstream that fails at once would otherwise free its slots fastest and attract most of the work.
    if (completion.reason == Reason::Shed || completion.reason == Reason::ConnectFailed) {
        upstream.shedLimit = upstream.outstanding;
        upstream.shedUntil = now + ShedBackoff;
    }
    if (upstream.capacity == 0) {
        dropUnused();
    }
}

void SlotTable::reclassify(UpstreamSlots &upstream)
{
    ++upstream.longOutstanding;
    ++m_longRunning;
    requireInvariant(upstream.longOutstanding <= upstream.outstanding, "long work is part of the started work");
}

bool SlotTable::hasUsableUpstream(const std::vector<UpstreamId> &exclude) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) {
        return upstream->admitted() > 0 && !contains(exclude, upstream->id);
    });
}

bool SlotTable::hasFreeSlot(WorkClass workClass) const
{
    return std::any_of(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) { return accepts(*upstream, workClass); });
}

unsigned SlotTable::freeSlots() const
{
    unsigned free = 0;
    for (const auto &upstream : m_upstreams) {
        // Published slots attract work, which upstreams in doubt should get only where no other one has room.
        const bool counts = !upstream->admission.trial || m_allOnTrial;
        free += counts ? upstream->limit - std::min(upstream->limit, upstream->outstanding) : 0;
    }
    return free;
}

void SlotTable::dropUnused()
{
    std::erase_if(m_upstreams,
                  [](const auto &upstream) { return upstream->capacity == 0 && upstream->outstanding == 0; });
}

} // namespace laburnumspar::detail
