#pragma once

#include "laburnumspar/types.h"

#include <string>

namespace laburnumspar::soak {

/// Loopback addresses of a test run. Each process has IP addresses of its own; all instances use the same ports, as
/// they do in production.
struct AddressLayout {
    std::uint16_t basePort = 21000;

    /// Endpoints on which instance `n` listens.
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
    /// Endpoint on which upstream `n` listens.
    Endpoint upstream(unsigned n) const
    {
        return at("127.0.3.", n, 4);
    }
    /// Endpoint under which instances reach upstream `n`: a FaultProxy.
    Endpoint upstreamProxy(unsigned n) const
    {
        return at("127.0.4.", n, 4);
    }
    /// Endpoint on which the store listens.
    Endpoint store() const
    {
        return at("127.0.5.", 1, 5);
    }
    /// Endpoint under which instance `n` reaches the store: a FaultProxy.
    Endpoint storeProxy(unsigned n) const
    {
        return at("127.0.6.", n, 5);
    }
    /// Zone of the instance or upstream `n`.
    static std::string zone(unsigned n)
    {
        return n % 2 == 0 ? "east" : "west";
    }

private:
    Endpoint at(const std::string &net, unsigned n, unsigned portOffset) const
    {
        return {net + std::to_string(n), std::uint16_t(basePort + portOffset)};
    }
};

} // namespace laburnumspar::soak
