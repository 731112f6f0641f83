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

/// A caller waits this much longer than its deadline before it gives up, so that late answers are seen.
constexpr Milliseconds GiveUpAfter{2000};
/// Step over times without arrivals.
constexpr nanoseconds IdleStep = Milliseconds(10);
/// Separates the seeds of the two generators of a worker.
constexpr std::uint64_t OtherStream = 0x9e3779b97f4a7c15;
/// Sequences of different workers differ above this bit.
constexpr unsigned WorkerShift = 40;

double chance(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::vector<double> weightsOf(const Scenario &scenario)
{
    std::vector<double> weights;
    for (const auto &mix : scenario.mix) {
        weights.push_back(mix.weight);
    }
    return weights;
}

/// Request identifiers that a caller asks for at once.
constexpr unsigned IdentifierBlock = 16;

unsigned identifiersFor(const Scenario &scenario, const std::string &service)
{
    const bool needed = std::any_of(scenario.mix.begin(), scenario.mix.end(), [&](const auto &mix) {
        return mix.service == service && mix.nonIdempotentShare > 0;
    });
    return needed ? IdentifierBlock : 0;
}

/// Long work has a path of its own, as routes have.
std::string targetOf(const LoadPlan &plan, const ScenarioMix &mix, const RequestRecord &record, double runMs)
{
    std::ostringstream target;
    if (plan.direct.empty()) {
        target << "/v1/call/" << mix.service;
    }
    target << (record.workClass == WorkClass::Long ? "/settle" : "/lookup") << "?run_ms=" << runMs
           << "&key=" << keyOf(plan, record.sequence) << "&size=" << mix.answerSize;
    return target.str();
}

} // namespace

std::string keyOf(const LoadPlan &plan, std::uint64_t sequence)
{
    return plan.tag + "-" + std::to_string(sequence);
}

Worker::Worker(const LoadPlan &plan, unsigned index)
    : m_plan(plan)
    , m_index(index)
    , m_context(1)
    , m_arrivals(plan.seed * 1000 + index)
    , m_random((plan.seed * 1000 + index) ^ OtherStream)
    , m_sequence(std::uint64_t{index} << WorkerShift)
{
    const auto weights = weightsOf(plan.scenario);
    m_mixDraw = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    makeCallers();
}

void Worker::makeCallers()
{
    // Without the fleet a worker is a single caller: its connections count against the limit of the upstreams.
    const auto &scenario = m_plan.scenario;
    const unsigned all = m_plan.direct.empty() ? scenario.callers.count : m_plan.workers;
    const std::size_t limit = m_plan.connections / std::max(all, 1U);
    for (unsigned n = m_index; n < all; n += m_plan.workers) {
        Caller caller;
        caller.pool = std::make_unique<ConnectionPool>(m_context.get_executor(), limit);
        caller.zone = scenario.pool.zones[n % scenario.pool.zones.size()];
        for (const auto &mix : scenario.mix) {
            const AddressCache::Config config{m_plan.entries,
                                              mix.service,
                                              caller.zone,
                                              scenario.callers.addresses,
                                              identifiersFor(scenario, mix.service)};
            caller.addressCaches[mix.service]
                = std::make_unique<AddressCache>(m_context.get_executor(), config, m_random());
        }
        m_callers.push_back(std::move(caller));
    }
}

void Worker::run()
{
    if (!m_callers.empty()) {
        asio::co_spawn(m_context, generate(), asio::detached);
    }
    m_context.run();
}

asio::awaitable<void> Worker::generate()
{
    const auto busy = static_cast<double>(
        std::min<std::size_t>(m_plan.workers, m_plan.direct.empty() ? m_plan.scenario.callers.count : m_plan.workers));
    const nanoseconds end = m_plan.scenario.duration();
    asio::steady_timer timer(m_context);
    nanoseconds at{0};
    while (at < end) {
        const double rate = rateAt(m_plan.scenario, at) / busy;
        if (rate <= 0) {
            at += IdleStep;
            continue;
        }
        const double gap = std::min(std::exponential_distribution<double>(rate)(m_arrivals), 1e6);
        at += nanoseconds(static_cast<std::int64_t>(gap * 1e9));
        if (at >= end) {
            break;
        }
        if (Clock::now() < m_plan.start + at) {
            timer.expires_at(m_plan.start + at);
            co_await timer.async_wait(Await);
        } else {
            co_await asio::post(asio::use_awaitable);
        }
        asio::co_spawn(m_context, send(draw(at)), asio::detached);
    }
}

Worker::Draft Worker::draw(nanoseconds scheduled)
{
    Draft draft;
    draft.mix = &m_plan.scenario.mix[m_mixDraw(m_arrivals)];
    draft.caller = &m_callers[m_arrivals() % m_callers.size()];
    const auto &phase = m_plan.scenario.phases[phaseAt(m_plan.scenario, scheduled)];
    const bool isLong = chance(m_arrivals) < phase.longShare.value_or(draft.mix->longShare);
    // Half of the mean to one and a half times the mean.
    draft.runMs = (isLong ? draft.mix->longRunMs : draft.mix->runMs) * (0.5 + chance(m_arrivals));
    auto &record = draft.record;
    record.sequence = m_sequence++;
    record.scheduled = scheduled;
    record.workClass = isLong ? WorkClass::Long : WorkClass::Short;
    record.deadline = isLong ? draft.mix->longDeadline : draft.mix->deadline;
    record.idempotent = chance(m_arrivals) >= draft.mix->nonIdempotentShare;
    return draft;
}

asio::awaitable<void> Worker::send(Draft draft)
{
    auto &record = draft.record;
    const auto due = m_plan.start + record.scheduled;
    const auto limit = due + record.deadline + GiveUpAfter;
    const auto begin = Clock::now();
    record.lag = begin - due;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(due + record.deadline - begin);
    const auto remainingText = std::to_string(std::max<std::int64_t>(remaining.count(), 1));
    HttpRequest request(http::verb::post, targetOf(m_plan, *draft.mix, record, draft.runMs), 11);
    request.body() = "body of " + keyOf(m_plan, record.sequence);
    ExpectedAnswer expected{keyOf(m_plan, record.sequence), {}, bodyDigest(request.body()), draft.mix->answerSize};
    request.set(m_plan.direct.empty() ? "Lspar-Deadline-Ms" : "X-Deadline-Ms", remainingText);
    ExchangeResult result;
    if (m_plan.direct.empty()) {
        result = co_await sendToFleet(std::move(request), draft, expected, limit);
    } else {
        expected.requestId = expected.key;
        result = co_await sendDirect(std::move(request), draft, limit);
    }
    record.latency = Clock::now() - due;
    record.outcome = result.answered ? judgeAnswer(result.answer, expected)
        : result.sent                ? CallerOutcome::NoAnswer
                                     : CallerOutcome::Unreachable;
    record.reason = fromName<Reason>(result.reason).value_or(Reason::None);
    m_records.push_back(record);
}

asio::awaitable<ExchangeResult> Worker::sendDirect(HttpRequest request, Draft &draft, TimePoint limit)
{
    request.set("X-Request-Id", keyOf(m_plan, draft.record.sequence));
    request.set("X-Team", draft.mix->team);
    const std::vector<Endpoint> addresses{m_plan.direct[m_random() % m_plan.direct.size()]};
    auto result = co_await exchange(*draft.caller->pool, addresses, std::move(request), limit);
    co_return result;
}

asio::awaitable<ExchangeResult>
Worker::sendToFleet(HttpRequest request, Draft &draft, ExpectedAnswer &expected, TimePoint limit)
{
    auto &caller = *draft.caller;
    auto &cache = *caller.addressCaches.at(draft.mix->service);
    const bool needsRequestId = !draft.record.idempotent;
    auto selection = co_await cache.select(*caller.pool, needsRequestId, limit);
    if (selection.addresses.empty() || (needsRequestId && selection.requestId.empty())) {
        co_return ExchangeResult{};
    }
    request.set("Lspar-Team", draft.mix->team);
    request.set("Lspar-Idempotent", needsRequestId ? "false" : "true");
    if (needsRequestId) {
        request.set("Lspar-Request-Id", selection.requestId);
        expected.requestId = selection.requestId;
    }
    auto result = co_await exchange(*caller.pool, std::move(selection.addresses), std::move(request), limit);
    if (!result.nextRequestId.empty()) {
        cache.addRequestId({result.nextRequestId, parseEndpoint(result.instance)});
    }
    co_return result;
}

} // namespace laburnumspar::tools
