#include "detail/slottable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspar::detail {

namespace {

// Reports arrive with every answer. An older one no longer describes the upstream.
constexpr Milliseconds ReportLifetime{500};
// An upstream that sheds or refuses connections gets no further requests for this time. It covers several short
// executions, so that the upstream can recover, but is well below typical deadlines.
constexpr Milliseconds ShedBackoff{100};
// Results of the hook are reused for this time, because the hook may acquire a lock. They depend on evidence that needs
// tens of milliseconds to change.
constexpr Milliseconds HookCacheTime{1};

bool contains(const std::vector<UpstreamId> &ids, const UpstreamId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// Slots that long requests must leave to short ones.
unsigned reservedForShort(const UpstreamSlots &upstream)
{
    return upstream.capacity >= 2 ? 1 : 0;
}

/// Slots that long requests may use.
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
    // Takes upstreams by preference, then by id, until their slots cover the limit on long requests.
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
    // If every upstream is limited to its last slot, one long request may still run. Otherwise long requests would
    // starve.
    if (m_noSpareForLong) {
        return m_longRunning == 0;
    }
    return m_longRunning < m_longLimit && upstream.longAllowed
        && upstream.longOutstanding + reservedForShort(upstream) < upstream.limit;
}

bool SlotTable::accepts(const UpstreamSlots &upstream, RequestClass requestClass) const
{
    return requestClass == RequestClass::Long ? acceptsLong(upstream) : upstream.outstanding < upstream.limit;
}

UpstreamSlots *SlotTable::choose(RequestClass requestClass, const std::vector<UpstreamId> &exclude, bool idempotent)
{
    m_candidates.clear();
    m_candidateUpstreams.clear();
    const bool avoidLongUpstreams
        = requestClass == RequestClass::Short && m_options.placement == LongPlacement::FewUpstreams;
    std::pair<unsigned, bool> best{~0U, true};
    for (auto &upstream : m_upstreams) {
        // A non-idempotent request cannot be retried if the upstream fails, so it runs on trial only if every upstream
        // is on trial.
        const bool excludedFromTrial = upstream->admission.trial && !idempotent && !m_allOnTrial;
        if (!accepts(*upstream, requestClass) || contains(exclude, upstream->id) || excludedFromTrial) {
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
    requireInvariant(chosen < m_candidateUpstreams.size(), "a dispatch policy returns the index of a candidate");
    return m_candidateUpstreams[chosen];
}

void SlotTable::start(UpstreamSlots &upstream, RequestClass requestClass)
{
    const bool exempt = m_noSpareForLong && m_longRunning == 0;
    ++upstream.outstanding;
    requireInvariant(upstream.outstanding <= upstream.limit && upstream.limit <= upstream.capacity,
                     "started requests do not exceed the slots of their upstream");
    if (requestClass == RequestClass::Long) {
        ++upstream.longOutstanding;
        ++m_longRunning;
        requireInvariant(m_longRunning <= m_longLimit, "long requests do not exceed their share of the slots");
        requireInvariant(exempt || upstream.longOutstanding + reservedForShort(upstream) <= upstream.limit,
                         "long requests leave one slot free on each upstream with two or more");
    }
}

void SlotTable::finish(UpstreamSlots &upstream, RequestClass requestClass, const Completion &completion, TimePoint now)
{
    requireInvariant(upstream.outstanding > 0, "a finished request was counted as started");
    if (completion.reportedInFlight) {
        const unsigned reported = *completion.reportedInFlight;
        upstream.externalLoad = reported - std::min(reported, upstream.outstanding);
        upstream.externalLoadUntil = now + ReportLifetime;
    }
    --upstream.outstanding;
    if (requestClass == RequestClass::Long) {
        requireInvariant(upstream.longOutstanding > 0 && m_longRunning > 0,
                         "a finished long request was counted as started");
        --upstream.longOutstanding;
        --m_longRunning;
    }
    // An upstream that fails immediately frees its slots fastest and would otherwise attract most of the requests.
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
    requireInvariant(upstream.longOutstanding <= upstream.outstanding,
                     "long requests are a part of the started requests");
}

bool SlotTable::hasUsableUpstream(const std::vector<UpstreamId> &exclude) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) {
        return upstream->admitted() > 0 && !contains(exclude, upstream->id);
    });
}

bool SlotTable::hasFreeSlot(RequestClass requestClass) const
{
    return std::any_of(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) { return accepts(*upstream, requestClass); });
}

unsigned SlotTable::freeSlots() const
{
    unsigned free = 0;
    for (const auto &upstream : m_upstreams) {
        // Other instances send requests to published free slots, so those of upstreams on trial are not counted unless
        // all are on trial.
        const bool counted = !upstream->admission.trial || m_allOnTrial;
        free += counted ? upstream->limit - std::min(upstream->limit, upstream->outstanding) : 0;
    }
    return free;
}

void SlotTable::dropUnused()
{
    std::erase_if(m_upstreams,
                  [](const auto &upstream) { return upstream->capacity == 0 && upstream->outstanding == 0; });
}

} // namespace laburnumspar::detail
