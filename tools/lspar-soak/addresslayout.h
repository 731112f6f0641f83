#pragma once

#include "laburnumspar/types.h"

#include <string>

namespace laburnumspar::soak {

/// Loopback addresses of a run. All processes use the same ports, as on the users' machines.
struct Layout {
    std::uint16_t basePort = 21000;

    Endpoint callers(unsigned n) const
    {
        return at("127.0.2.", n, 0);
    }
    Endpoint readiness(unsigned n) const
    {
        return at("127.0.2.", n, 1);
    }
    Endpoint peers(unsigned n) const
    {
        return at("127.0.2.", n, 2);
    }
    Endpoint addresses(unsigned n) const
    {
        return at("127.0.2.", n, 3);
    }
    Endpoint upstream(unsigned n) const
    {
        return at("127.0.3.", n, 4);
    }
    /// Where instances reach the upstream: a proxy that harms the link.
    Endpoint upstreamProxy(unsigned n) const
    {
        return at("127.0.4.", n, 4);
    }
    Endpoint store() const
    {
        return at("127.0.5.", 1, 5);
    }
    /// Where one instance reaches the store.
    Endpoint storeProxy(unsigned n) const
    {
        return at("127.0.6.", n, 5);
    }
    static std::string zone(unsigned n)
    {
        return n % 2 == 0 ? "east" : "west";
    }

private:
    Endpoint at(const std::string &net, unsigned n, unsigned port) const
    {
        return {net + std::to_string(n), std::uint16_t(basePort + port)};
    }
};

} // namespace laburnumspar::soak
