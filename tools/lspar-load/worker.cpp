#include "worker.h"

#include "detail/bodydigest.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace laburnumspar::detail;
using std::chrono::nanoseconds;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Time that a caller waits beyond the deadline, so that late answers are recorded as such.
constexpr Milliseconds LateAnswerTimeout{2000};
/// Step by which the schedule advances while the request rate is 0.
constexpr nanoseconds IdleStep = Milliseconds(10);
/// Makes the seeds of the two random generators of a worker different.
constexpr std::uint64_t SecondGeneratorMask = 0x9e3779b97f4a7c15;
/// Position of the worker index in sequence numbers, which makes them unique across workers.
constexpr unsigned WorkerIndexShift = 40;

double drawUniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::vector<double> mixWeights(const Scenario &scenario)
{
    std::vector<double> weights;
    for (const auto &entry : scenario.mix) {
        weights.push_back(entry.weight);
    }
    return weights;
}

/// Request identifiers that a caller fetches with each refresh of its addresses.
constexpr unsigned RequestIdBatchSize = 16;

unsigned requestIdsPerRefresh(const Scenario &scenario, const std::string &service)
{
    const bool needed = std::any_of(scenario.mix.begin(), scenario.mix.end(), [&](const auto &entry) {
        return entry.service == service && entry.nonIdempotentShare > 0;
    });
    return needed ? RequestIdBatchSize : 0;
}

/// Target of a request. Short and long requests use different paths, like separate routes of a service.
std::string
requestTarget(const LoadPlan &plan, const ScenarioMixEntry &entry, const RequestRecord &record, double runMs)
{
    std::ostringstream target;
    if (plan.directUpstreams.empty()) {
        target << "/v1/call/" << entry.service;
    }
    target << (record.requestClass == RequestClass::Long ? "/settle" : "/lookup") << "?run_ms=" << runMs
           << "&key=" << requestKey(plan, record.sequence) << "&size=" << entry.answerSize;
    return target.str();
}

} // namespace

std::string requestKey(const LoadPlan &plan, std::uint64_t sequence)
{
    return plan.keyPrefix + "-" + std::to_string(sequence);
}

Worker::Worker(const LoadPlan &plan, unsigned index)
    : m_plan(plan)
    , m_index(index)
    , m_context(1)
    , m_scheduleRandom(plan.seed * 1000 + index)
    , m_random((plan.seed * 1000 + index) ^ SecondGeneratorMask)
    , m_nextSequence(std::uint64_t{index} << WorkerIndexShift)
{
    const auto weights = mixWeights(plan.scenario);
    m_mixDistribution = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    makeCallers();
}

void Worker::makeCallers()
{
    // Without the fleet each worker acts as a single caller, because its connections count against the connection limit
    // of the upstreams.
    const auto &scenario = m_plan.scenario;
    const unsigned callerCount = m_plan.directUpstreams.empty() ? scenario.callers.count : m_plan.workers;
    const std::size_t maxConnections = m_plan.maxConnections / std::max(callerCount, 1U);
    for (unsigned n = m_index; n < callerCount; n += m_plan.workers) {
        Caller caller;
        caller.pool = std::make_unique<ConnectionPool>(m_context.get_executor(), maxConnections);
        caller.zone = scenario.pool.zones[n % scenario.pool.zones.size()];
        for (const auto &entry : scenario.mix) {
            const AddressCache::Config config{m_plan.entries,
                                              entry.service,
                                              caller.zone,
                                              scenario.callers.addresses,
                                              requestIdsPerRefresh(scenario, entry.service)};
            caller.addressCaches[entry.service]
                = std::make_unique<AddressCache>(m_context.get_executor(), config, m_random());
        }
        m_callers.push_back(std::move(caller));
    }
}

void Worker::run()
{
    if (!m_callers.empty()) {
        asio::co_spawn(m_context, generateArrivals(), asio::detached);
    }
    m_context.run();
}

asio::awaitable<void> Worker::generateArrivals()
{
    const auto activeWorkers = static_cast<double>(std::min<std::size_t>(
        m_plan.workers, m_plan.directUpstreams.empty() ? m_plan.scenario.callers.count : m_plan.workers));
    const nanoseconds end = m_plan.scenario.duration();
    asio::steady_timer timer(m_context);
    nanoseconds at{0};
    while (at < end) {
        const double rate = rateAt(m_plan.scenario, at) / activeWorkers;
        if (rate <= 0) {
            at += IdleStep;
            continue;
        }
        const double interval = std::min(std::exponential_distribution<double>(rate)(m_scheduleRandom), 1e6);
        at += nanoseconds(static_cast<std::int64_t>(interval * 1e9));
        if (at >= end) {
            break;
        }
        if (Clock::now() < m_plan.start + at) {
            timer.expires_at(m_plan.start + at);
            co_await timer.async_wait(Await);
        } else {
            co_await asio::post(asio::use_awaitable);
        }
        asio::co_spawn(m_context, send(drawRequest(at)), asio::detached);
    }
}

Worker::PlannedRequest Worker::drawRequest(nanoseconds scheduled)
{
    PlannedRequest planned;
    planned.mixEntry = &m_plan.scenario.mix[m_mixDistribution(m_scheduleRandom)];
    planned.caller = &m_callers[m_scheduleRandom() % m_callers.size()];
    const auto &phase = m_plan.scenario.phases[phaseIndexAt(m_plan.scenario, scheduled)];
    const bool isLong = drawUniform(m_scheduleRandom) < phase.longShare.value_or(planned.mixEntry->longShare);
    // Uniform between 0.5 and 1.5 times the mean.
    planned.runMs
        = (isLong ? planned.mixEntry->longRunMs : planned.mixEntry->runMs) * (0.5 + drawUniform(m_scheduleRandom));
    auto &record = planned.record;
    record.sequence = m_nextSequence++;
    record.scheduled = scheduled;
    record.requestClass = isLong ? RequestClass::Long : RequestClass::Short;
    record.deadline = isLong ? planned.mixEntry->longDeadline : planned.mixEntry->deadline;
    record.idempotent = drawUniform(m_scheduleRandom) >= planned.mixEntry->nonIdempotentShare;
    return planned;
}

asio::awaitable<void> Worker::send(PlannedRequest planned)
{
    auto &record = planned.record;
    const auto due = m_plan.start + record.scheduled;
    const auto giveUpAt = due + record.deadline + LateAnswerTimeout;
    const auto begin = Clock::now();
    record.lag = begin - due;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(due + record.deadline - begin);
    const auto remainingMs = std::to_string(std::max<std::int64_t>(remaining.count(), 1));
    HttpRequest request(http::verb::post, requestTarget(m_plan, *planned.mixEntry, record, planned.runMs), 11);
    request.body() = "body of " + requestKey(m_plan, record.sequence);
    ExpectedAnswer expected{
        requestKey(m_plan, record.sequence), {}, bodyDigest(request.body()), planned.mixEntry->answerSize};
    request.set(m_plan.directUpstreams.empty() ? "Lspar-Deadline-Ms" : "X-Deadline-Ms", remainingMs);
    ExchangeResult result;
    if (m_plan.directUpstreams.empty()) {
        result = co_await sendToFleet(std::move(request), planned, expected, giveUpAt);
    } else {
        expected.requestId = expected.key;
        result = co_await sendDirect(std::move(request), planned, giveUpAt);
    }
    record.latency = Clock::now() - due;
    record.outcome = result.answered ? classifyAnswer(result.answer, expected)
        : result.sent                ? CallerOutcome::NoAnswer
                                     : CallerOutcome::Unreachable;
    record.reason = fromName<Reason>(result.reason).value_or(Reason::None);
    m_records.push_back(record);
}

asio::awaitable<ExchangeResult> Worker::sendDirect(HttpRequest request, PlannedRequest &planned, TimePoint giveUpAt)
{
    request.set("X-Request-Id", requestKey(m_plan, planned.record.sequence));
    request.set("X-Team", planned.mixEntry->team);
    const std::vector<Endpoint> addresses{m_plan.directUpstreams[m_random() % m_plan.directUpstreams.size()]};
    auto result = co_await exchange(*planned.caller->pool, addresses, std::move(request), giveUpAt);
    co_return result;
}

asio::awaitable<ExchangeResult>
Worker::sendToFleet(HttpRequest request, PlannedRequest &planned, ExpectedAnswer &expected, TimePoint giveUpAt)
{
    auto &caller = *planned.caller;
    auto &cache = *caller.addressCaches.at(planned.mixEntry->service);
    const bool needsRequestId = !planned.record.idempotent;
    auto selection = co_await cache.select(*caller.pool, needsRequestId, giveUpAt);
    if (selection.addresses.empty() || (needsRequestId && selection.requestId.empty())) {
        co_return ExchangeResult{};
    }
    request.set("Lspar-Team", planned.mixEntry->team);
    request.set("Lspar-Idempotent", needsRequestId ? "false" : "true");
    if (needsRequestId) {
        request.set("Lspar-Request-Id", selection.requestId);
        expected.requestId = selection.requestId;
    }
    auto result = co_await exchange(*caller.pool, std::move(selection.addresses), std::move(request), giveUpAt);
    if (!result.nextRequestId.empty()) {
        cache.addRequestId({result.nextRequestId, parseEndpoint(result.instance)});
    }
    co_return result;
}

} // namespace laburnumspar::tools
