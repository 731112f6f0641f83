#include "net/faultinjector.h"

namespace laburnumspar::detail {

void FaultInjector::blockOutgoing(const Endpoint &endpoint)
{
    std::lock_guard lock(m_mutex);
    m_outgoing.insert(endpoint);
    m_active = m_enabled;
}

void FaultInjector::blockIncoming(const Endpoint &endpoint)
{
    std::lock_guard lock(m_mutex);
    m_incoming.insert(endpoint);
    m_active = m_enabled;
}

void FaultInjector::clear()
{
    std::lock_guard lock(m_mutex);
    m_outgoing.clear();
    m_incoming.clear();
    m_active = false;
}

bool FaultInjector::allowsOutgoing(const Endpoint &endpoint) const
{
    return allows(m_outgoing, endpoint);
}

bool FaultInjector::allowsIncoming(const Endpoint &endpoint) const
{
    return allows(m_incoming, endpoint);
}

bool FaultInjector::allows(const std::set<Endpoint> &blocked, const Endpoint &endpoint) const
{
    if (!m_active) {
        return true;
    }
    std::lock_guard lock(m_mutex);
    return !blocked.contains(endpoint);
}

} // namespace laburnumspar::detail
