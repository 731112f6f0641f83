#pragma once

#include "instanceprocesses.h"

#include "net/io.h"

#include <random>

namespace laburnumspar::soak {

/// Callers that keep using an instance after SIGTERM, as callers with a cached address do, and send requests that may
/// outlast its grace period. They check that each request gets a final answer.
class LateCallers
{
public:
    LateCallers(boost::asio::io_context &context,
                AddressLayout layout,
                InstanceProcesses &instances,
                GuaranteeChecker &checker,
                std::uint64_t seed);

    /// Sends requests to an instance that has just been asked to stop, until it accepts no connections any more.
    void useUntilGone(unsigned instance);

private:
    struct Stop;
    struct Request;

    detail::awaitable<void> sendRequests(std::shared_ptr<Stop> stop);
    detail::awaitable<void> sendRequest(std::shared_ptr<Stop> stop);
    void checkEnd(const Request &request, const Stop &stop);

    boost::asio::io_context &m_context;
    AddressLayout m_layout;
    InstanceProcesses &m_instances;
    GuaranteeChecker &m_checker;
    std::mt19937_64 m_random;
    std::uint64_t m_nextRequest = 1;
};

} // namespace laburnumspar::soak
