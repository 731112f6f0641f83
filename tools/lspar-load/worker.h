#pragma once

#include "addresscache.h"
#include "connectionpool.h"
#include "exchange.h"

#include "outcomecheck.h"
#include "scenario.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace laburnumspar::tools {

/// Settings shared by all workers of a load run; constant during the run.
struct LoadPlan {
    Scenario scenario;
    std::uint64_t seed = 1;
    unsigned workers = 1; ///< number of workers, each with its own thread
    std::size_t maxConnections = 1; ///< open connections of all callers together
    std::vector<Endpoint> entries; ///< entry instances
    std::vector<Endpoint> directUpstreams; ///< upstreams to call without the fleet; empty: call the fleet
    std::string keyPrefix; ///< prefix of the request keys, unique to this run
    TimePoint start; ///< start of the first phase
};

/// Key under which the upstreams count the executions of a request.
std::string requestKey(const LoadPlan &plan, std::uint64_t sequence);

/// Runs the share of callers and arrivals that is assigned to one thread.
class Worker
{
public:
    Worker(const LoadPlan &plan, unsigned index);

    /// Sends requests until the end of the scenario; returns when every request has an outcome.
    void run();
    const std::vector<RequestRecord> &records() const
    {
        return m_records;
    }

private:
    struct Caller {
        std::unique_ptr<ConnectionPool> pool;
        std::string zone;
        std::map<std::string, std::unique_ptr<AddressCache>> addressCaches; ///< by service
    };
    /// A request with the properties that were drawn for it.
    struct PlannedRequest {
        RequestRecord record;
        const ScenarioMixEntry *mixEntry = nullptr;
        Caller *caller = nullptr;
        double runMs = 0; ///< execution time at the upstream, in milliseconds
    };

    void makeCallers();
    PlannedRequest drawRequest(std::chrono::nanoseconds scheduled);
    boost::asio::awaitable<void> generateArrivals();
    boost::asio::awaitable<void> send(PlannedRequest planned);
    boost::asio::awaitable<ExchangeResult> sendDirect(HttpRequest request, PlannedRequest &planned, TimePoint giveUpAt);
    boost::asio::awaitable<ExchangeResult>
    sendToFleet(HttpRequest request, PlannedRequest &planned, ExpectedAnswer &expected, TimePoint giveUpAt);

    const LoadPlan &m_plan;
    unsigned m_index;
    boost::asio::io_context m_context;
    std::mt19937_64 m_scheduleRandom; ///< for arrivals and requests, which depend on the seed only, not on answers
    std::mt19937_64 m_random; ///< for everything else
    std::discrete_distribution<std::size_t> m_mixDistribution;
    std::vector<Caller> m_callers;
    std::vector<RequestRecord> m_records;
    std::uint64_t m_nextSequence;
};

} // namespace laburnumspar::tools
