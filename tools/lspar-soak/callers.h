#pragma once

#include "instanceprocesses.h"

#include "net/io.h"

#include <random>

namespace laburnumspar::soak {

/// Simulated callers: they look up addresses, send requests and check the responses.
class Callers
{
public:
    Callers(boost::asio::io_context &context,
            AddressLayout layout,
            InstanceProcesses &instances,
            GuaranteeChecker &checker,
            std::uint64_t seed);

    /// Starts `count` callers, which send requests until stop().
    void start(unsigned count);
    void stop();
    /// Sets the newest version of the routes and the oldest that may still be active on settled instances.
    void setRouteVersions(std::uint64_t newest, std::uint64_t required);
    /// Checks with a request whether the newest version of the routes is active on the instance.
    void probeVersion(unsigned instance);

private:
    struct Connection;
    struct Exchange;

    detail::awaitable<void> runCaller(unsigned callerIndex);
    detail::awaitable<std::optional<Endpoint>> resolve(unsigned zone);
    detail::awaitable<void> sendRequest(Connection &connection, bool idempotent);
    detail::awaitable<void> runVersionProbe(unsigned instance);
    void checkResult(const Exchange &exchange, const Connection &connection);

    boost::asio::io_context &m_context;
    AddressLayout m_layout;
    InstanceProcesses &m_instances;
    GuaranteeChecker &m_checker;
    std::mt19937_64 m_random;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_requiredVersion = 0;
    bool m_stopped = false;
};

} // namespace laburnumspar::soak
