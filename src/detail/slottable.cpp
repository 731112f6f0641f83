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
constexpr Milliseconds ShedPause{100};
// The hook may take a lock; its answers change with evidence, over tens of milliseconds at the earliest.
constexpr Milliseconds HookLifetime{1};

bool contains(const std::vector<UpstreamId> &ids, const UpstreamId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Slots that long work must leave free for short work.
unsigned reservedForShort(const Slot &slot)
{
    return slot.capacity >= 2 ? 1 : 0;
}

unsigned spareForLong(const Slot &slot)
{
    return slot.limit - std::min(slot.limit, reservedForShort(slot));
}

} // namespace

unsigned Slot::admitted() const
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
    for (auto &slot : m_slots) {
        slot->capacity = 0;
    }
    for (auto &upstream : upstreams) {
        const auto it
            = std::find_if(m_slots.begin(), m_slots.end(), [&](const auto &slot) { return slot->id == upstream.id; });
        if (it != m_slots.end()) {
            (*it)->capacity = upstream.slots;
            continue;
        }
        auto slot = std::make_unique<Slot>();
        slot->id = std::move(upstream.id);
        slot->capacity = upstream.slots;
        m_slots.push_back(std::move(slot));
    }
    std::sort(m_slots.begin(), m_slots.end(), [](const auto &a, const auto &b) {
        return std::tie(a->id.ip, a->id.port) < std::tie(b->id.ip, b->id.port);
    });
    dropUnused();
}

void SlotTable::refresh(TimePoint now, bool force)
{
    const bool askHook = force || !m_hookReadAt || now - *m_hookReadAt >= HookLifetime;
    m_slotSum = 0;
    for (auto &slot : m_slots) {
        if (askHook) {
            slot->admission = m_options.hook ? m_options.hook(slot->id, now) : Admission{slot->capacity, 0, false};
        }
        if (now >= slot->foreignUntil) {
            slot->foreign = 0;
        }
        const unsigned admitted = slot->admitted();
        slot->limit = admitted - std::min(admitted, slot->foreign);
        if (now < slot->shedUntil) {
            slot->limit = std::min(slot->limit, slot->shedLimit);
        }
        m_slotSum += slot->limit;
    }
    if (askHook) {
        m_hookReadAt = now;
    }
    m_allInDoubt = std::all_of(m_slots.begin(), m_slots.end(), [](const auto &slot) {
        return slot->admitted() == 0 || slot->admission.trial;
    });
    m_longLimit = std::max(1U, unsigned(std::floor(m_options.longShare * m_slotSum + 1e-9)));
    assignLong();
}

void SlotTable::assignLong()
{
    m_lastResort = true;
    for (auto &slot : m_slots) {
        slot->longAllowed = m_options.placement == LongPlacement::SharePerUpstream;
        m_lastResort = m_lastResort && spareForLong(*slot) == 0;
    }
    if (m_options.placement == LongPlacement::SharePerUpstream) {
        return;
    }
    // Upstreams in the order of preference, then of ids, until they hold the share of long work.
    std::vector<Slot *> order;
    for (auto &slot : m_slots) {
        order.push_back(slot.get());
    }
    std::stable_sort(order.begin(), order.end(), [](const Slot *a, const Slot *b) {
        return a->admission.preference < b->admission.preference;
    });
    unsigned covered = 0;
    for (Slot *slot : order) {
        slot->longAllowed = covered < m_longLimit && spareForLong(*slot) > 0;
        covered += slot->longAllowed ? spareForLong(*slot) : 0;
    }
}

bool SlotTable::acceptsLong(const Slot &slot) const
{
    if (slot.outstanding >= slot.limit) {
        return false;
    }
    // Where every upstream is lowered to its last slot, one long item may still run, or long work would starve.
    if (m_lastResort) {
        return m_longRunning == 0;
    }
    return m_longRunning < m_longLimit && slot.longAllowed && slot.longOutstanding + reservedForShort(slot) < slot.limit;
}

bool SlotTable::accepts(const Slot &slot, WorkClass workClass) const
{
    return workClass == WorkClass::Long ? acceptsLong(slot) : slot.outstanding < slot.limit;
}

Slot *SlotTable::choose(WorkClass workClass, const std::vector<UpstreamId> &exclude, bool idempotent)
{
    m_candidates.clear();
    m_candidateSlots.clear();
    const bool avoidLong = workClass == WorkClass::Short && m_options.placement == LongPlacement::FewUpstreams;
    std::pair<unsigned, bool> best{~0U, true};
    for (auto &slot : m_slots) {
        // What must not be repeated is lost if the upstream in doubt fails, so it is tried with other work.
        const bool tooRisky = slot->admission.trial && !idempotent && !m_allInDoubt;
        if (!accepts(*slot, workClass) || contains(exclude, slot->id) || tooRisky) {
            continue;
        }
        const std::pair<unsigned, bool> rank{slot->admission.preference, avoidLong && slot->longAllowed};
        if (rank > best) {
            continue;
        }
        if (rank < best) {
            m_candidates.clear();
            m_candidateSlots.clear();
            best = rank;
        }
        m_candidates.push_back({&slot->id, slot->limit, slot->outstanding});
        m_candidateSlots.push_back(slot.get());
    }
    if (m_candidates.empty()) {
        return nullptr;
    }
    const std::size_t chosen = m_options.policy->choose(m_candidates, m_random);
    requireInvariant(chosen < m_candidateSlots.size(), "a dispatch policy chooses one of the candidates");
    return m_candidateSlots[chosen];
}

void SlotTable::start(Slot &slot, WorkClass workClass)
{
    const bool lastResort = m_lastResort && m_longRunning == 0;
    ++slot.outstanding;
    requireInvariant(slot.outstanding <= slot.limit && slot.limit <= slot.capacity, "started work fits the slots");
    if (workClass == WorkClass::Long) {
        ++slot.longOutstanding;
        ++m_longRunning;
        requireInvariant(m_longRunning <= m_longLimit, "long work keeps to its share of the slots");
        requireInvariant(lastResort || slot.longOutstanding + reservedForShort(slot) <= slot.limit,
                         "long work leaves a slot of each upstream with two or more");
    }
}

void SlotTable::finish(Slot &slot, WorkClass workClass, const Completion &completion, TimePoint now)
{
    requireInvariant(slot.outstanding > 0, "finished work was counted");
    if (completion.reportedInFlight) {
        const unsigned reported = *completion.reportedInFlight;
        slot.foreign = reported - std::min(reported, slot.outstanding);
        slot.foreignUntil = now + ReportLifetime;
    }
    --slot.outstanding;
    if (workClass == WorkClass::Long) {
        requireInvariant(slot.longOutstanding > 0 && m_longRunning > 0, "finished long work was counted");
        --slot.longOutstanding;
        --m_longRunning;
    }
    // An upstream that fails at once would otherwise free its slots fastest and attract most of the work.
    if (completion.reason == Reason::Shed || completion.reason == Reason::ConnectFailed) {
        slot.shedLimit = slot.outstanding;
        slot.shedUntil = now + ShedPause;
    }
    if (slot.capacity == 0) {
        dropUnused();
    }
}

void SlotTable::reclassify(Slot &slot)
{
    ++slot.longOutstanding;
    ++m_longRunning;
    requireInvariant(slot.longOutstanding <= slot.outstanding, "long work is part of the started work");
}

bool SlotTable::usable(const std::vector<UpstreamId> &exclude) const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &slot) {
        return slot->admitted() > 0 && !contains(exclude, slot->id);
    });
}

bool SlotTable::hasFree(WorkClass workClass) const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [&](const auto &slot) { return accepts(*slot, workClass); });
}

unsigned SlotTable::freeSlots() const
{
    unsigned free = 0;
    for (const auto &slot : m_slots) {
        // Published slots attract work, which upstreams in doubt should get only where no other one has room.
        const bool counts = !slot->admission.trial || m_allInDoubt;
        free += counts ? slot->limit - std::min(slot->limit, slot->outstanding) : 0;
    }
    return free;
}

void SlotTable::dropUnused()
{
    std::erase_if(m_slots, [](const auto &slot) { return slot->capacity == 0 && slot->outstanding == 0; });
}

} // namespace laburnumspar::detail
