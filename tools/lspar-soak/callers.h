#pragma once

#include "instanceprocesses.h"

#include "net/io.h"

#include <random>

namespace laburnumspar::soak {

/// Callers that ask for addresses, send requests and check what they get.
class Callers
{
public:
    Callers(
        boost::asio::io_context &context, Layout layout, Instances &instances, Promises &promises, std::uint64_t seed);

    /// Starts `count` callers, which run until stop().
    void start(unsigned count);
    void stop();
    /// Newest version of the routes, and the one that calm instances must have by now.
    void setVersions(std::uint64_t newest, std::uint64_t required);
    /// Asks one instance whether the newest version is in force on it.
    void probeVersion(unsigned instance);

private:
    struct Link;
    struct Exchange;

    detail::awaitable<void> run(unsigned number);
    detail::awaitable<std::optional<Endpoint>> resolve(unsigned zone);
    detail::awaitable<void> request(Link &link, bool idempotent);
    detail::awaitable<void> probe(unsigned instance);
    void judge(const Exchange &exchange, const Link &link);

    boost::asio::io_context &m_context;
    Layout m_layout;
    Instances &m_instances;
    Promises &m_promises;
    std::mt19937_64 m_random;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_newest = 0;
    std::uint64_t m_required = 0;
    bool m_stopped = false;
};

} // namespace laburnumspar::soak
