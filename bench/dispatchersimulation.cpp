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
// Part of the execution time that all requests of a route share; the rest is exponential.
constexpr double FixedPart = 0.4;

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
    std::uint64_t subject = 0; ///< stream or ticket

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
    Simulation(const Scenario &scenario, const Setup &setup);
    Result run();

private:
    void schedule(TimePoint at, Event::Kind kind, std::uint64_t subject);
    void handle(const Event &event);
    void arrive(std::size_t number);
    void finish(std::uint64_t ticket);
    void apply(const std::vector<Decision> &decisions);
    void count(const Request &request, std::uint64_t Tally::*counter);
    double drawRunMs(const Stream &stream);
    double slowdown(const UpstreamId &upstream) const;
    Admission admission(const UpstreamId &upstream, TimePoint now) const;
    bool measuring(TimePoint at) const;

    template <typename Function>
    void timed(Function &&call)
    {
        const auto begin = Clock::now();
        const std::vector<Decision> decisions = call();
        m_wallTime += Clock::now() - begin;
        m_decisions += decisions.size();
        apply(decisions);
    }

    const Scenario &m_scenario;
    Dispatcher m_dispatcher;
    std::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::unordered_map<UpstreamId, unsigned> m_running;
    std::unordered_set<UpstreamId> m_slow;
    Result m_result;
    TimePoint m_now = atSecond(0);
    std::uint64_t m_sequence = 0;
    std::uint64_t m_nextTicket = 0;
    double m_goodMs = 0;
    Clock::duration m_wallTime{0};
    std::uint64_t m_decisions = 0;
};

Simulation::Simulation(const Scenario &scenario, const Setup &setup)
    : m_scenario(scenario)
    , m_dispatcher(Dispatcher::Builder()
                       .service(scenario.name)
                       .policy(setup.policy)
                       .longPlacement(setup.placement)
                       .longShare(scenario.longShare)
                       .admissionHook([this](const UpstreamId &id, TimePoint now) { return admission(id, now); })
                       .queueLimit(scenario.queueLimit)
                       .seed(setup.seed)
                       .build())
    , m_random(setup.seed)
{
    std::vector<UpstreamCapacity> pool;
    for (int n = 1; n <= scenario.upstreams; ++n) {
        pool.push_back({{"10.0.0." + std::to_string(n), 80}, scenario.slots});
    }
    for (unsigned n = 0; n < scenario.slowUpstreams; ++n) {
        m_slow.insert(pool.at(n).id);
    }
    m_dispatcher.setUpstreams(pool, m_now);
    m_result.streams.resize(scenario.streams.size());
}

Result Simulation::run()
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
    m_result.goodput = m_goodMs / slotMs;
    m_result.nsPerDecision
        = double(std::chrono::nanoseconds(m_wallTime).count()) / double(std::max<std::uint64_t>(m_decisions, 1));
    for (Tally *tally : {&m_result.shortWork, &m_result.longWork}) {
        std::sort(tally->latencyMs.begin(), tally->latencyMs.end());
    }
    for (Tally &tally : m_result.streams) {
        std::sort(tally.latencyMs.begin(), tally.latencyMs.end());
    }
    std::sort(m_result.refusalMs.begin(), m_result.refusalMs.end());
    return std::move(m_result);
}

void Simulation::schedule(TimePoint at, Event::Kind kind, std::uint64_t subject)
{
    m_events.push({at, m_sequence++, kind, subject});
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        arrive(event.subject);
        break;
    case Event::Kind::Finish:
        finish(event.subject);
        break;
    case Event::Kind::Poll:
        schedule(m_now + PollInterval, Event::Kind::Poll, 0);
        timed([&] { return m_dispatcher.poll(m_now); });
        break;
    }
}

void Simulation::arrive(std::size_t number)
{
    const Stream &stream = m_scenario.streams[number];
    if (m_now >= atSecond(stream.to)) {
        return;
    }
    const double gapMs = std::exponential_distribution<>(stream.perSecond / 1000)(m_random);
    schedule(m_now + durationOfMs(gapMs), Event::Kind::Arrival, number);
    const double deadlineMs
        = std::uniform_real_distribution<>(stream.deadlineFromMs, stream.deadlineToMs + 1e-9)(m_random);
    const std::uint64_t ticket = m_nextTicket++;
    const TimePoint deadline = m_now + durationOfMs(deadlineMs);
    m_requests[ticket] = {number, m_now, {}, deadline, drawRunMs(stream), measuring(m_now), {}};
    count(m_requests[ticket], &Tally::submitted);
    DispatchRequest request{ticket, stream.team, stream.route, stream.declared, deadline, true, {}};
    timed([&] { return m_dispatcher.submit(std::move(request), m_now); });
}

void Simulation::finish(std::uint64_t ticket)
{
    const Request request = m_requests.at(ticket);
    m_requests.erase(ticket);
    --m_running[request.upstream];
    Completion completion;
    if (msBetween(request.startedAt, m_now) + 1e-6 >= request.runMs) {
        m_goodMs += measuring(m_now) ? request.runMs : 0;
        count(request, &Tally::good);
        if (request.measured) {
            const double latencyMs = msBetween(request.submittedAt, m_now);
            const bool isLong = m_scenario.streams[request.stream].isLong;
            (isLong ? m_result.longWork : m_result.shortWork).latencyMs.push_back(latencyMs);
            m_result.streams[request.stream].latencyMs.push_back(latencyMs);
        }
    } else {
        completion.outcome = Outcome::MayHaveRun;
        completion.reason = Reason::Timeout;
        count(request, &Tally::missed);
    }
    timed([&] { return m_dispatcher.finish(ticket, completion, m_now); });
}

void Simulation::apply(const std::vector<Decision> &decisions)
{
    for (const Decision &decision : decisions) {
        Request &request = m_requests.at(decision.ticket);
        if (decision.kind == Decision::Kind::Start) {
            request.startedAt = m_now;
            request.upstream = decision.upstream;
            request.runMs *= slowdown(decision.upstream);
            ++m_running[decision.upstream];
            const TimePoint end = std::min(m_now + durationOfMs(request.runMs), request.deadline);
            schedule(end, Event::Kind::Finish, decision.ticket);
            continue;
        }
        count(request, &Tally::refused);
        if (request.measured) {
            m_result.refusalMs.push_back(msBetween(request.submittedAt, m_now));
        }
        m_requests.erase(decision.ticket);
    }
}

void Simulation::count(const Request &request, std::uint64_t Tally::*counter)
{
    if (request.measured) {
        ++(m_result.streams[request.stream].*counter);
        ++((m_scenario.streams[request.stream].isLong ? m_result.longWork : m_result.shortWork).*counter);
    }
}

double Simulation::drawRunMs(const Stream &stream)
{
    const double factor = m_now >= atSecond(m_scenario.slowFrom) ? m_scenario.slowFactor : 1;
    const double random = std::exponential_distribution<>(1)(m_random);
    return factor * stream.meanRunMs * (FixedPart + (1 - FixedPart) * random);
}

/// Factor for an execution that starts on the upstream now.
double Simulation::slowdown(const UpstreamId &upstream) const
{
    const auto it = m_running.find(upstream);
    const double others = it == m_running.end() ? 0 : it->second;
    const double interference = 1 + m_scenario.interference * others / std::max(1U, m_scenario.slots - 1);
    return m_slow.count(upstream) == 0 ? interference : interference * m_scenario.slowUpstreamFactor;
}

Admission Simulation::admission(const UpstreamId &upstream, TimePoint now) const
{
    // The last digits of the addresses run from 1.
    const bool lost = now >= atSecond(m_scenario.lossAt) && (upstream.ip.back() - '0') * 2 <= m_scenario.upstreams;
    return {lost ? 0 : m_scenario.slots, 0};
}

bool Simulation::measuring(TimePoint at) const
{
    return at >= atSecond(m_scenario.measureFrom) && at < atSecond(m_scenario.measureTo);
}

} // namespace

double Tally::quantileMs(double q) const
{
    return quantile(latencyMs, q);
}

double Tally::goodShare() const
{
    return submitted == 0 ? 1 : double(good) / double(submitted);
}

double Result::refusalQuantileMs(double q) const
{
    return quantile(refusalMs, q);
}

Result simulate(const Scenario &scenario, const Setup &setup)
{
    return Simulation(scenario, setup).run();
}

} // namespace laburnumspar::bench
