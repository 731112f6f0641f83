#include "gateway/forwarding.h"

#include "gateway/requestreport.h"
#include "laburnumspar/log.h"

#include <algorithm>
#include <charconv>

namespace laburnumspar::detail {

namespace {

/// A second attempt starts when the first one runs longer than this share of its kind.
constexpr double HedgeQuantile = 0.9;
/// The same on an upstream that may well be faulty.
constexpr double DoubtfulHedgeQuantile = 0.75;
constexpr double DoubtfulFault = 0.25;
/// Time between tries to start a second attempt while no upstream has a free slot.
constexpr Milliseconds HedgeRetry{60};
/// Share of the work that ends within the time that a request must have left to be started.
constexpr double LeastTimeQuantile = 0.3;
/// A shorter wait than this is never a reason to refuse.
constexpr Milliseconds LeastWait{50};
/// Second attempts that are kept for requests which fail without being trials.
constexpr double LeastBudgetForTrials = 4;
/// The final answer has to reach the caller before its deadline.
constexpr Milliseconds AnswerMargin{20};
constexpr Milliseconds LeastRetryAfter{100};
constexpr Milliseconds MostRetryAfter{2000};
/// An attempt that was given up earlier says nothing of its upstream.
constexpr double SilenceQuantile = 0.9;

std::optional<ReportedLoad> loadOf(beast::string_view value)
{
    ReportedLoad load;
    const char *at = value.data();
    const char *end = at + value.size();
    for (unsigned *number : {&load.running, &load.waiting, &load.slots}) {
        const auto [next, ec] = std::from_chars(at, end, *number);
        if (ec != std::errc()) {
            return std::nullopt;
        }
        at = next < end && *next == ',' ? next + 1 : next;
    }
    return load;
}

/// Statuses that promise the caller that its request has not run.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Forwarding::Forwarding(Forwarder &forwarder,
                       ForwardedRequest request,
                       std::shared_ptr<const RouteTable> table,
                       const Route &route,
                       std::string service,
                       Forwarder::Handler handler)
    : m_forwarder(forwarder)
    , m_request(std::move(request))
    , m_table(std::move(table))
    , m_route(route)
    , m_line(forwarder.m_board.line(service))
    , m_latency(forwarder.m_board.latency(route))
    , m_handler(std::move(handler))
    , m_deadlineTimer(forwarder.m_context)
    , m_hedgeTimer(forwarder.m_context)
    , m_deadline(route.timeout.count() > 0
                     ? std::min(m_request.deadline - AnswerMargin, m_request.arrived + route.timeout)
                     : m_request.deadline - AnswerMargin)
{
    ++m_forwarder.m_inFlight;
}

Forwarding::~Forwarding()
{
    --m_forwarder.m_inFlight;
}

void Forwarding::start()
{
    if (m_gone) {
        return;
    }
    const auto now = Clock::now();
    m_line.budget.recordFirstAttempt(now);
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->onDeadline();
        }
    });
    // Nobody overtakes those that wait already.
    if (m_line.waiting.size() > 0) {
        wait(now);
        m_forwarder.dispatchWaiting(m_line);
    } else if (!tryStart(now)) {
        wait(now);
    }
}

bool Forwarding::isLastChance() const
{
    return !m_route.idempotent || m_runs + 1 >= m_route.attempts;
}

bool Forwarding::tryStart(TimePoint now)
{
    const auto choice = m_line.pool.startAttempt(
        {&m_latency, isLastChance(), m_line.budget.remaining(now) >= LeastBudgetForTrials, m_tried}, now);
    if (!choice) {
        return false;
    }
    stopWaiting();
    m_line.waiting.recordStart(now);
    launch(*choice, now);
    return true;
}

void Forwarding::wait(TimePoint now)
{
    if (m_line.pool.empty()) {
        refuse("no upstream known", now);
        return;
    }
    if (m_place) {
        return;
    }
    const auto objective
        = m_route.objective.count() > 0 ? m_request.arrived + m_route.objective : TimePoint(m_deadline);
    const auto startBy = objective - m_latency.quantile(0.5);
    m_place = RequestQueue::makeEntry(m_route.priority, startBy, m_forwarder.m_nextTicket++);
    m_line.waiting.add(*m_place);
    m_forwarder.m_waiting[m_place->ticket] = weak_from_this();
    // A request that would be late is refused while its caller can still go elsewhere; waiting would end in vain.
    if (now + expectedWait(now) > std::max(startBy, now + LeastWait)) {
        refuse("line is too long", now);
    }
}

void Forwarding::stopWaiting()
{
    if (m_place) {
        m_line.waiting.remove(*m_place);
        m_forwarder.m_waiting.erase(m_place->ticket);
        m_place.reset();
    }
}

void Forwarding::checkWait(TimePoint now)
{
    if (!m_place) {
        return;
    }
    // Work that is late already is overtaken by all that is not.
    const auto expected = expectedWait(now) * (m_place->startBy < now ? 2 : 0);
    if (now + expected + m_latency.quantile(LeastTimeQuantile) > m_deadline) {
        refuse("no slot within the deadline", now);
    }
}

/// Time until the requests ahead have been started, at the pace of the last second.
Milliseconds Forwarding::expectedWait(TimePoint now) const
{
    const auto ahead = m_place ? m_line.waiting.countAhead(*m_place, now) : m_line.waiting.size();
    // Those that run will end, so the pace is never below what they make room for.
    const double ending = double(m_line.pool.inFlight(now)) / std::max(m_latency.meanSeconds(), 0.001);
    const double rate = std::max({m_line.waiting.startRate(now), ending, 1.0});
    return Milliseconds(std::int64_t(1000 * double(ahead) / rate));
}

Milliseconds Forwarding::left(TimePoint now) const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - now);
}

void Forwarding::launch(const UpstreamPool::Choice &choice, TimePoint now)
{
    const auto &upstream = choice.upstream;
    UpstreamLinks::Order order;
    order.address = upstream.address;
    order.identity = upstream.id;
    order.head = upstreamHead(m_request, m_forwarder.m_headers, upstream.id, left(now));
    order.body = m_request.body;
    order.requestId = m_request.id;
    order.headOnly = m_request.method == "HEAD";
    order.idempotent = m_route.idempotent;
    ++m_runs;
    m_firstStart = m_firstStart.value_or(now);
    m_tried.push_back(upstream.id);
    // The exchange holds the request, so that work which must not be repeated is read to its end also when the caller
    // has gone.
    auto exchange = m_forwarder.m_links.send(std::move(order),
                                             [self = shared_from_this(), id = choice.attempt](ExchangeResult result) {
                                                 self->onResult(id, std::move(result));
                                             });
    m_attempts.push_back({choice.attempt, upstream.id, now, choice.faultProbability, std::move(exchange)});
    armHedge(choice.faultProbability, now);
}

void Forwarding::onResult(UpstreamPool::AttemptId id, ExchangeResult result)
{
    const auto now = Clock::now();
    const auto it
        = std::find_if(m_attempts.begin(), m_attempts.end(), [id](const Attempt &attempt) { return attempt.id == id; });
    if (it == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(*it);
    m_attempts.erase(it);
    const auto &names = m_forwarder.m_headers;
    auto &message = result.message;
    const auto status = message.result_int();
    const auto load = result.end == ExchangeEnd::Answered ? loadOf(message[names.load]) : std::nullopt;
    const auto end = [&](AttemptOutcome attemptEnd, std::string_view detail) {
        m_line.pool.finishAttempt(id, attemptEnd, load, now);
        reportAttempt(attempt, attemptEnd, status, detail, now);
    };
    if (result.end == ExchangeEnd::NotSent) {
        end(AttemptOutcome::Unreachable, result.failure);
        onNotRun(attempt, AttemptOutcome::Unreachable, now);
    } else if (result.end == ExchangeEnd::Lost) {
        end(AttemptOutcome::Failure, result.failure);
        onFailed(now);
    } else if (message.find(names.notRun) != message.end() || status == 421) {
        const auto attemptEnd = status == 503 || status == 429 ? AttemptOutcome::Full : AttemptOutcome::Refused;
        end(attemptEnd, "not run");
        if (status == 421) {
            m_forwarder.m_board.noteForeignIdentity(attempt.upstream);
            m_forwarder.m_links.forget(attempt.upstream);
        }
        onNotRun(attempt, attemptEnd, now);
    } else if (!result.identified || message.find(names.signature) == message.end()
               || message.find(http::field::content_encoding) != message.end()) {
        end(AttemptOutcome::Failure, "answer is not the upstream's own");
        onFailed(now);
    } else if (status >= 500 || promisesNotRun(status)) {
        end(AttemptOutcome::Failure, "upstream failed");
        // A status that promises that nothing ran is true only with the header that says so.
        m_failureAnswer = promisesNotRun(status)
            ? ownAnswer(http::status::bad_gateway, "upstream failed", m_request.id, names, Milliseconds(0))
            : answerOf(std::move(message), m_request.method == "HEAD", names);
        onFailed(now);
    } else {
        end(AttemptOutcome::Success, "");
        m_latency.record(now - attempt.started);
        answer(answerOf(std::move(message), m_request.method == "HEAD", names), Outcome::Answered, "", now);
    }
    m_forwarder.dispatchWaiting(m_line);
}

void Forwarding::onNotRun(const Attempt &attempt, AttemptOutcome end, TimePoint now)
{
    --m_runs;
    if (end == AttemptOutcome::Full) {
        // It may have room later.
        std::erase(m_tried, attempt.upstream);
    }
    if (!m_handler || !m_attempts.empty()) {
        return;
    }
    if (m_runs > 0) {
        onFailed(now);
        return;
    }
    // An upstream that was not reached has not counted the request.
    if (end != AttemptOutcome::Unreachable && !m_line.budget.trySpend(now)) {
        refuse("repeat budget is spent", now);
    } else if (!tryStart(now)) {
        wait(now);
    }
}

void Forwarding::onFailed(TimePoint now)
{
    if (!m_handler || !m_attempts.empty() || startSecond(now)) {
        return;
    }
    if (m_failureAnswer) {
        answer(std::move(*m_failureAnswer), Outcome::MayHaveRun, "upstream failed", now);
    } else {
        giveUp(http::status::bad_gateway, "no whole answer of the upstream", now);
    }
}

bool Forwarding::startSecond(TimePoint now)
{
    if (!m_route.idempotent || m_runs >= m_route.attempts || left(now) <= LeastRetryAfter) {
        return false;
    }
    // The budget is spent only once an upstream has a slot.
    if (m_line.pool.freeSlots(now) < 1 || !m_line.budget.trySpend(now)) {
        return false;
    }
    return tryStart(now);
}

void Forwarding::armHedge(double faultProbability, TimePoint now)
{
    if (!m_route.idempotent || m_runs >= m_route.attempts) {
        return;
    }
    m_hedgeTimer.expires_at(
        now + m_latency.quantile(faultProbability > DoubtfulFault ? DoubtfulHedgeQuantile : HedgeQuantile));
    m_hedgeTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_handler) {
            self->onHedgeTime();
        }
    });
}

void Forwarding::onHedgeTime()
{
    const auto now = Clock::now();
    if (m_attempts.empty() || startSecond(now) || m_runs >= m_route.attempts) {
        return;
    }
    m_hedgeTimer.expires_at(now + HedgeRetry);
    m_hedgeTimer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_handler) {
            self->onHedgeTime();
        }
    });
}

void Forwarding::onDeadline()
{
    const auto now = Clock::now();
    if (!m_handler) {
        endAttempts(now);
        return;
    }
    if (m_runs == 0) {
        refuse("no slot within the deadline", now);
        return;
    }
    if (m_failureAnswer) {
        answer(std::move(*m_failureAnswer), Outcome::MayHaveRun, "upstream failed", now);
        return;
    }
    giveUp(http::status::gateway_timeout, "no answer of the upstream in time", now);
}

void Forwarding::refuse(std::string_view detail, TimePoint now)
{
    const auto retryAfter = std::clamp(expectedWait(now), LeastRetryAfter, MostRetryAfter);
    answer(ownAnswer(http::status::service_unavailable, detail, m_request.id, m_forwarder.m_headers, retryAfter),
           Outcome::NotRun,
           detail,
           now);
}

void Forwarding::giveUp(http::status status, std::string_view detail, TimePoint now)
{
    answer(ownAnswer(status, detail, m_request.id, m_forwarder.m_headers, Milliseconds(0)),
           Outcome::MayHaveRun,
           detail,
           now);
}

void Forwarding::answer(CallerAnswer answer, Outcome outcome, std::string_view detail, TimePoint now)
{
    stopWaiting();
    endAttempts(now);
    m_deadlineTimer.cancel();
    m_hedgeTimer.cancel();
    const auto handler = std::exchange(m_handler, nullptr);
    if (!handler) {
        return;
    }
    report(RequestReport{m_request.id,
                         m_line.name,
                         &m_route,
                         m_table->version(),
                         outcome,
                         answer.status,
                         detail,
                         m_runs,
                         m_firstStart.value_or(now) - m_request.arrived,
                         now - m_request.arrived},
           m_forwarder.m_metrics);
    handler(std::move(answer));
}

void Forwarding::endAttempts(TimePoint now)
{
    auto attempts = std::exchange(m_attempts, {});
    for (const auto &attempt : attempts) {
        const bool late = now - attempt.started > m_latency.quantile(SilenceQuantile);
        const bool own = now >= m_deadline && late;
        const auto end = own ? AttemptOutcome::Timeout : AttemptOutcome::Abandoned;
        m_line.pool.finishAttempt(attempt.id, end, std::nullopt, now);
        attempt.exchange->cancel();
        reportAttempt(attempt, end, 0, own ? "no answer in time" : "answered elsewhere or caller gone", now);
    }
}

void Forwarding::abandon()
{
    m_gone = true;
    if (!m_handler) {
        return;
    }
    const auto now = Clock::now();
    logEvent(LogLevel::Info, "request.abandoned", {{"request", m_request.id}, {"runs", m_runs}});
    m_handler = nullptr;
    stopWaiting();
    m_hedgeTimer.cancel();
    // Work that must not be repeated is left to finish: its effect is wanted although nobody waits for the answer.
    if (m_route.idempotent) {
        m_deadlineTimer.cancel();
        endAttempts(now);
        m_forwarder.dispatchWaiting(m_line);
    }
}

void Forwarding::reportAttempt(
    const Attempt &attempt, AttemptOutcome end, unsigned status, std::string_view detail, TimePoint now) const
{
    report(AttemptReport{m_request.id,
                         m_line.name,
                         attempt.upstream,
                         attempt.faultProbability,
                         end,
                         status,
                         detail,
                         now - attempt.started},
           m_forwarder.m_metrics);
}

} // namespace laburnumspar::detail
