#include "net/faultswitch.h"

namespace laburnumspar::detail {

void FaultSwitch::blockOutgoing(const Endpoint &endpoint)
{
    std::lock_guard lock(m_mutex);
    m_outgoing.insert(endpoint);
    m_active = m_enabled;
}

void FaultSwitch::blockIncoming(const Endpoint &endpoint)
{
    std::lock_guard lock(m_mutex);
    m_incoming.insert(endpoint);
    m_active = m_enabled;
}

void FaultSwitch::clear()
{
    std::lock_guard lock(m_mutex);
    m_outgoing.clear();
    m_incoming.clear();
    m_active = false;
}

bool FaultSwitch::passesOutgoing(const Endpoint &endpoint) const
{
    return passes(m_outgoing, endpoint);
}

bool FaultSwitch::passesIncoming(const Endpoint &endpoint) const
{
    return passes(m_incoming, endpoint);
}

bool FaultSwitch::passes(const std::set<Endpoint> &blocked, const Endpoint &endpoint) const
{
    if (!m_active) {
        return true;
    }
    std::lock_guard lock(m_mutex);
    return !blocked.contains(endpoint);
}

} // namespace laburnumspar::detail
