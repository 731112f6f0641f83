#pragma once

#include "laburnumspar/types.h"

#include <atomic>
#include <mutex>
#include <set>

namespace laburnumspar::detail {

/// Simulates one-way network partitions in tests. Blocks nothing unless the settings enable fault injection.
class FaultInjector
{
public:
    explicit FaultInjector(bool enabled)
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
    /// Removes all blocks.
    void clear();

    bool allowsOutgoing(const Endpoint &endpoint) const;
    bool allowsIncoming(const Endpoint &endpoint) const;

private:
    bool allows(const std::set<Endpoint> &blocked, const Endpoint &endpoint) const;

    bool m_enabled;
    std::atomic<bool> m_active = false;
    mutable std::mutex m_mutex;
    std::set<Endpoint> m_outgoing;
    std::set<Endpoint> m_incoming;
};

} // namespace laburnumspar::detail
