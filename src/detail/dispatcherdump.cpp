#include "detail/dispatcherprivate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace laburnumspar {

Dispatcher::Builder &Dispatcher::Builder::service(std::string name)
{
    m_service = std::move(name);
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::longShare(double share)
{
    m_longShare = std::clamp(share, 0.0, 1.0);
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::longPlacement(LongPlacement placement)
{
    m_longPlacement = placement;
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::queueLimit(unsigned limit)
{
    m_queueLimit = limit;
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::teamShares(std::map<std::string, double> shares)
{
    m_teamShares = std::move(shares);
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::admissionHook(AdmissionHook hook)
{
    m_admissionHook = std::move(hook);
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::policy(std::string name)
{
    m_policy = std::move(name);
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::maxRoutes(std::size_t routes)
{
    m_maxRoutes = routes;
    return *this;
}

Dispatcher::Builder &Dispatcher::Builder::seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

Dispatcher Dispatcher::Builder::build() const
{
    return Dispatcher(std::make_unique<Private>(*this));
}

std::uint32_t Dispatcher::Private::estimatedWaitUs(RequestClass requestClass) const
{
    constexpr double Never = std::numeric_limits<std::uint32_t>::max();
    if (!m_slots.hasUsableUpstream({})) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double waiting = double(m_queue.size(requestClass));
    if (waiting == 0 && m_slots.hasFreeSlot(requestClass)) {
        return 0;
    }
    const double us = (waiting + 1) * m_queue.slotTime(requestClass) / classSlots(requestClass, m_now);
    return std::uint32_t(std::min(us, Never));
}

DispatcherLoad Dispatcher::Private::load() const
{
    return {m_service,
            m_slots.slots(),
            m_slots.freeSlots(),
            std::uint32_t(m_queue.size()),
            estimatedWaitUs(RequestClass::Short),
            estimatedWaitUs(RequestClass::Long)};
}

bool Dispatcher::Private::retriesAllowed() const
{
    return m_queue.size() * 2 <= m_queueLimit;
}

DispatcherDump Dispatcher::Private::dump() const
{
    DispatcherDump dump;
    for (const auto &upstream : m_slots.upstreams()) {
        dump.upstreams.push_back({upstream->id,
                                  upstream->capacity,
                                  upstream->limit,
                                  upstream->admission.preference,
                                  upstream->outstanding,
                                  upstream->longOutstanding,
                                  upstream->externalLoad,
                                  m_now<upstream->shedUntil, upstream->longAllowed, upstream->capacity> 0});
    }
    for (const auto &[name, team] : m_queue.teams()) {
        for (const RequestClass requestClass : {RequestClass::Short, RequestClass::Long}) {
            const auto &queue = team->queues[static_cast<std::size_t>(requestClass)];
            const unsigned running = team->meters[static_cast<std::size_t>(requestClass)].held();
            const auto end = drainRate(*team, requestClass, m_now).finishTime(double(queue.size()));
            if (!queue.empty() || running > 0) {
                dump.queues.push_back({name,
                                       requestClass,
                                       team->weight,
                                       queue.size(),
                                       running,
                                       std::chrono::duration_cast<Microseconds>(end - m_now)});
            }
        }
    }
    dump.routes = m_estimator.routes();
    dump.decisions.assign(m_recentDecisions.begin(), m_recentDecisions.end());
    dump.slots = m_slots.slots();
    dump.longLimit = m_slots.longLimit();
    dump.longRunning = m_slots.longRunning();
    dump.queued = m_queue.size();
    dump.knownTeams = m_queue.teams().size();
    dump.typicalShort = m_estimator.typicalRunTime(RequestClass::Short);
    dump.typicalLong = m_estimator.typicalRunTime(RequestClass::Long);
    return dump;
}

} // namespace laburnumspar
