#pragma once

#include "laburnumspar/types.h"

#include <atomic>
#include <mutex>
#include <set>

namespace laburnumspar::detail {

/// Simulated one-way partitions for tests; everything passes unless the settings allow fault injection.
class FaultSwitch
{
public:
    explicit FaultSwitch(bool enabled)
        : m_enabled(enabled)
    {
    }

    bool isEnabled() const
    {
        return m_enabled;
    }
    /// Drops what this process sends to the endpoint.
    void blockOutgoing(const Endpoint &endpoint);
    /// Drops what this process receives from the endpoint.
    void blockIncoming(const Endpoint &endpoint);
    void clear();

    bool passesOutgoing(const Endpoint &endpoint) const;
    bool passesIncoming(const Endpoint &endpoint) const;

private:
    bool passes(const std::set<Endpoint> &blocked, const Endpoint &endpoint) const;

    bool m_enabled;
    std::atomic<bool> m_active = false;
    mutable std::mutex m_mutex;
    std::set<Endpoint> m_outgoing;
    std::set<Endpoint> m_incoming;
};

} // namespace laburnumspar::detail
