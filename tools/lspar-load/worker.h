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

/// What callerCount workers of a load run share; constant during the run.
struct LoadPlan {
    Scenario scenario;
    std::uint64_t seed = 1;
    unsigned workers = 1;
    std::size_t maxConnections = 1; ///< open at once, of callerCount callers together
    std::vector<Endpoint> entries;
    std::vector<Endpoint> directUpstreams; ///< upstreams, for a baseline without the fleet; empty: through the fleet
    std::string keyPrefix; ///< prefix of the request keys of this run
    TimePoint start;
};

/// Key by which the upstreams count the executions of a request.
std::string requestKey(const LoadPlan &plan, std::uint64_t sequence);

/// One thread's part of the callers and of the arrivals.
class Worker
{
public:
    Worker(const LoadPlan &plan, unsigned index);

    /// Sends until the scenario has ended and every request has an outcome.
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
    struct PlannedRequest {
        RequestRecord record;
        const ScenarioMixEntry *mixEntry = nullptr;
        Caller *caller = nullptr;
        double runMs = 0;
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
    std::mt19937_64 m_scheduleRandom; ///< arrivals and requests: the same for the same seed, whatever the answers
    std::mt19937_64 m_random; ///< everything else
    std::discrete_distribution<std::size_t> m_mixDistribution;
    std::vector<Caller> m_callers;
    std::vector<RequestRecord> m_records;
    std::uint64_t m_nextSequence;
};

} // namespace laburnumspar::tools
