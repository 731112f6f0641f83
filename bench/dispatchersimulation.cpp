#include "dispatchersimulation.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace laburnumspar::bench {

namespace {

constexpr Milliseconds PollInterval{10};
// Share of the mean execution time that is the same for all requests of a stream; the rest is exponentially
// distributed.
constexpr double FixedRunTimeShare = 0.4;

double quantile(const std::vector<double> &sorted, double q)
{
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, std::size_t(q * double(sorted.size())))];
}

TimePoint atSecond(double second)
{
    return TimePoint(std::chrono::hours(1))
        + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(std::min(second, 1e6)));
}

double msBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

Clock::duration durationOfMs(double ms)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

struct Event {
    enum class Kind { Arrival, Finish, Poll };
    TimePoint at;
    std::uint64_t sequence = 0;
    Kind kind = Kind::Poll;
    std::uint64_t target = 0; ///< index of the stream (Arrival) or ticket of the request (Finish)

    bool operator>(const Event &other) const
    {
        return at > other.at || (at == other.at && sequence > other.sequence);
    }
};

struct Request {
    std::size_t stream = 0;
    TimePoint submittedAt;
    TimePoint startedAt;
    TimePoint deadline;
    double runMs = 0;
    bool measured = false;
    UpstreamId upstream;
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, const DispatcherOptions &options);
    SimulationResult run();

private:
    void schedule(TimePoint at, Event::Kind kind, std::uint64_t target);
    void handle(const Event &event);
    void handleArrival(std::size_t streamIndex);
    void handleFinish(std::uint64_t ticket);
    void applyDecisions(const std::vector<Decision> &decisions);
    void increment(const Request &request, std::uint64_t RequestStats::*counter);
    double drawRunMs(const RequestStream &stream);
    double slowdownFactor(const UpstreamId &upstream) const;
    Admission admission(const UpstreamId &upstream, TimePoint now) const;
    bool isMeasured(TimePoint at) const;

    /// Calls the dispatcher, adds the wall time of the call to the total and applies the decisions returned.
    template <typename Function>
    void callDispatcher(Function &&call)
    {
        const auto begin = Clock::now();
        const std::vector<Decision> decisions = call();
        m_wallTime += Clock::now() - begin;
        m_decisions += decisions.size();
        applyDecisions(decisions);
    }

    const Scenario &m_scenario;
    Dispatcher m_dispatcher;
    std::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::unordered_map<UpstreamId, unsigned> m_running;
    std::unordered_set<UpstreamId> m_slowUpstreams;
    SimulationResult m_result;
    TimePoint m_now = atSecond(0);
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextTicket = 0;
    double m_inTimeRunMs = 0;
    Clock::duration m_wallTime{0};
    std::uint64_t m_decisions = 0;
};

Simulation::Simulation(const Scenario &scenario, const DispatcherOptions &options)
    : m_scenario(scenario)
    , m_dispatcher(Dispatcher::Builder()
                       .service(scenario.name)
                       .policy(options.policy)
                       .longPlacement(options.placement)
                       .longShare(scenario.longShare)
                       .admissionHook([this](const UpstreamId &id, TimePoint now) { return admission(id, now); })
                       .queueLimit(scenario.queueLimit)
                       .seed(options.seed)
                       .build())
    , m_random(options.seed)
{
    std::vector<UpstreamCapacity> pool;
    for (int n = 1; n <= scenario.upstreams; ++n) {
        pool.push_back({{"10.0.0." + std::to_string(n), 80}, scenario.slots});
    }
    for (unsigned n = 0; n < scenario.slowUpstreams; ++n) {
        m_slowUpstreams.insert(pool.at(n).id);
    }
    m_dispatcher.setUpstreams(pool, m_now);
    m_result.streams.resize(scenario.streams.size());
}

SimulationResult Simulation::run()
{
    double end = 0;
    for (std::size_t n = 0; n < m_scenario.streams.size(); ++n) {
        end = std::max(end, m_scenario.streams[n].to);
        schedule(atSecond(m_scenario.streams[n].from), Event::Kind::Arrival, n);
    }
    schedule(m_now, Event::Kind::Poll, 0);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        if (event.kind != Event::Kind::Poll || m_now < atSecond(end) || !m_requests.empty()) {
            handle(event);
        }
    }
    const double slotMs
        = m_scenario.upstreams * m_scenario.slots * (m_scenario.measureTo - m_scenario.measureFrom) * 1000;
    m_result.goodput = m_inTimeRunMs / slotMs;
    m_result.nsPerDecision
        = double(std::chrono::nanoseconds(m_wallTime).count()) / double(std::max<std::uint64_t>(m_decisions, 1));
    for (RequestStats *stats : {&m_result.shortRequests, &m_result.longRequests}) {
        std::sort(stats->latencyMs.begin(), stats->latencyMs.end());
    }
    for (RequestStats &stats : m_result.streams) {
        std::sort(stats.latencyMs.begin(), stats.latencyMs.end());
    }
    std::sort(m_result.refusalMs.begin(), m_result.refusalMs.end());
    return std::move(m_result);
}

void Simulation::schedule(TimePoint at, Event::Kind kind, std::uint64_t target)
{
    m_events.push({at, m_sequence++, kind, target});
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        handleArrival(event.target);
        break;
    case Event::Kind::Finish:
        handleFinish(event.target);
        break;
    case Event::Kind::Poll:
        schedule(m_now + PollInterval, Event::Kind::Poll, 0);
        callDispatcher([&] { return m_dispatcher.poll(m_now); });
        break;
    }
}

void Simulation::handleArrival(std::size_t streamIndex)
{
    const RequestStream &stream = m_scenario.streams[streamIndex];
    if (m_now >= atSecond(stream.to)) {
        return;
    }
    const double gapMs = std::exponential_distribution<>(stream.perSecond / 1000)(m_random);
    schedule(m_now + durationOfMs(gapMs), Event::Kind::Arrival, streamIndex);
    const double deadlineMs
        = std::uniform_real_distribution<>(stream.minDeadlineMs, stream.maxDeadlineMs + 1e-9)(m_random);
    const std::uint64_t ticket = m_nextTicket++;
    const TimePoint deadline = m_now + durationOfMs(deadlineMs);
    m_requests[ticket] = {streamIndex, m_now, {}, deadline, drawRunMs(stream), isMeasured(m_now), {}};
    increment(m_requests[ticket], &RequestStats::submitted);
    DispatchRequest request{ticket, stream.team, stream.route, stream.declared, deadline, true, {}};
    callDispatcher([&] { return m_dispatcher.submit(std::move(request), m_now); });
}

void Simulation::handleFinish(std::uint64_t ticket)
{
    const Request request = m_requests.at(ticket);
    m_requests.erase(ticket);
    --m_running[request.upstream];
    Completion completion;
    if (msBetween(request.startedAt, m_now) + 1e-6 >= request.runMs) {
        m_inTimeRunMs += isMeasured(m_now) ? request.runMs : 0;
        increment(request, &RequestStats::inTime);
        if (request.measured) {
            const double latencyMs = msBetween(request.submittedAt, m_now);
            const bool isLong = m_scenario.streams[request.stream].isLong;
            (isLong ? m_result.longRequests : m_result.shortRequests).latencyMs.push_back(latencyMs);
            m_result.streams[request.stream].latencyMs.push_back(latencyMs);
        }
    } else {
        completion.outcome = Outcome::MayHaveRun;
        completion.reason = Reason::Timeout;
        increment(request, &RequestStats::timedOut);
    }
    callDispatcher([&] { return m_dispatcher.finish(ticket, completion, m_now); });
}

void Simulation::applyDecisions(const std::vector<Decision> &decisions)
{
    for (const Decision &decision : decisions) {
        Request &request = m_requests.at(decision.ticket);
        if (decision.kind == Decision::Kind::Start) {
            request.startedAt = m_now;
            request.upstream = decision.upstream;
            request.runMs *= slowdownFactor(decision.upstream);
            ++m_running[decision.upstream];
            const TimePoint end = std::min(m_now + durationOfMs(request.runMs), request.deadline);
            schedule(end, Event::Kind::Finish, decision.ticket);
            continue;
        }
        increment(request, &RequestStats::refused);
        if (request.measured) {
            m_result.refusalMs.push_back(msBetween(request.submittedAt, m_now));
        }
        m_requests.erase(decision.ticket);
    }
}

void Simulation::increment(const Request &request, std::uint64_t RequestStats::*counter)
{
    if (request.measured) {
        ++(m_result.streams[request.stream].*counter);
        ++((m_scenario.streams[request.stream].isLong ? m_result.longRequests : m_result.shortRequests).*counter);
    }
}

double Simulation::drawRunMs(const RequestStream &stream)
{
    const double factor = m_now >= atSecond(m_scenario.slowFrom) ? m_scenario.slowFactor : 1;
    const double random = std::exponential_distribution<>(1)(m_random);
    return factor * stream.meanRunMs * (FixedRunTimeShare + (1 - FixedRunTimeShare) * random);
}

/// Factor on the execution time of a request that starts on the upstream now.
double Simulation::slowdownFactor(const UpstreamId &upstream) const
{
    const auto it = m_running.find(upstream);
    const double others = it == m_running.end() ? 0 : it->second;
    const double interference = 1 + m_scenario.interference * others / std::max(1U, m_scenario.slots - 1);
    return m_slowUpstreams.count(upstream) == 0 ? interference : interference * m_scenario.slowUpstreamFactor;
}

Admission Simulation::admission(const UpstreamId &upstream, TimePoint now) const
{
    // The last digit of an upstream's address is its number, counted from 1.
    const bool lost = now >= atSecond(m_scenario.lossAt) && (upstream.ip.back() - '0') * 2 <= m_scenario.upstreams;
    return {lost ? 0 : m_scenario.slots, 0};
}

bool Simulation::isMeasured(TimePoint at) const
{
    return at >= atSecond(m_scenario.measureFrom) && at < atSecond(m_scenario.measureTo);
}

} // namespace

double RequestStats::quantileMs(double q) const
{
    return quantile(latencyMs, q);
}

double RequestStats::inTimeShare() const
{
    return submitted == 0 ? 1 : double(inTime) / double(submitted);
}

double SimulationResult::refusalQuantileMs(double q) const
{
    return quantile(refusalMs, q);
}

SimulationResult simulate(const Scenario &scenario, const DispatcherOptions &options)
{
    return Simulation(scenario, options).run();
}

} // namespace laburnumspar::bench
