#include "healthsimulation.h"

#include "healthupstreams.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <vector>

namespace laburnumspar::bench {

using namespace std::chrono_literals;

namespace {

constexpr unsigned Slots = 6;
constexpr double Floor = 0.7;
constexpr Milliseconds EvaluateInterval = 50ms;
constexpr Milliseconds ProbeTime = 25ms;
constexpr Milliseconds PauseTime = 10s;
constexpr Milliseconds BinTime = 50ms;
/// Maximum number of queued requests; further ones are refused, as a dispatcher does.
constexpr std::size_t QueueLimit = 40;

struct Event {
    enum class Kind : std::uint8_t {
        Arrival,
        End,
        Tick,
        ProbeEnd,
    };

    TimePoint at;
    Kind kind = Kind::Arrival;
    std::uint64_t attempt = 0; ///< for ProbeEnd, the index of the upstream
    TimePoint sentAt; ///< of an attempt or probe

    bool operator>(const Event &other) const
    {
        return at > other.at;
    }
};

class Simulation
{
public:
    explicit Simulation(const Scenario &scenario);
    RunResult run();

private:
    void handle(const Event &event);
    void scheduleArrival();
    void dispatchQueue();
    void startAttempt(unsigned upstream, RequestClass requestClass);
    void endAttempt(std::uint64_t id);
    void tick();
    void endProbe(const Event &event);
    void recordChange(const HealthChange &change);
    std::optional<unsigned> chooseUpstream();
    void loseRunningAttempts();
    double arrivalRate() const;
    void findDetection();
    std::size_t binOf(TimePoint at) const;

    const Scenario &m_scenario;
    const Upstreams m_upstreams;
    std::mt19937_64 m_random;
    std::unique_ptr<HealthPolicy> m_policy;
    std::vector<UpstreamId> m_owned;
    std::vector<unsigned> m_outstanding;
    std::map<std::uint64_t, Attempt> m_running;
    std::queue<RequestClass> m_queue;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<unsigned> m_started; ///< attempts by time bin
    std::vector<unsigned> m_startedAtFaulty; ///< attempts at the faulty upstream by time bin
    TimePoint m_now = Start;
    bool m_runningLost = false;
    bool m_resumed = false;
    bool m_decided = false;
    std::uint64_t m_nextAttempt = 1;
    RunResult m_result;
};

Simulation::Simulation(const Scenario &scenario)
    : m_scenario(scenario)
    , m_upstreams(scenario)
    , m_random(scenario.seed)
    , m_policy(Registry<HealthPolicy>::global().make(scenario.policy))
    , m_started(static_cast<std::size_t>(scenario.length / BinTime) + 1)
    , m_startedAtFaulty(m_started.size())
{
    std::vector<PoolMember> pool;
    for (unsigned n = 0; n < scenario.poolSize; ++n) {
        const UpstreamId id{"10.0.0." + std::to_string(n + 1), 80};
        const auto zone = n % 3;
        pool.push_back({id, "zone" + std::to_string(zone), Slots, UpstreamPhase::Serving, zone == 0});
        if (zone == 0) {
            m_owned.push_back(id);
        }
    }
    m_outstanding.resize(m_owned.size());
    m_policy->configure({Floor, Slots, 2s}, scenario.seed);
    m_policy->setPool(pool, m_now);
    m_events.push({m_now, Event::Kind::Tick, 0, m_now});
    scheduleArrival();
}

RunResult Simulation::run()
{
    const auto finish = Start + m_scenario.length;
    while (!m_events.empty() && m_events.top().at < finish) {
        auto event = m_events.top();
        m_events.pop();
        const auto resume = FaultAt + PauseTime;
        if (m_scenario.fault == Fault::Pause && event.at >= FaultAt && event.at < resume) {
            // Events during the pause are handled within 1 ms after it, in their order. Further requests that arrive
            // during the pause go to other instances and are not simulated.
            event.at = resume + (event.at - FaultAt) / 10000;
            m_events.push(event);
            continue;
        }
        m_now = event.at;
        if (m_scenario.fault == Fault::Pause && m_now >= resume && !m_resumed) {
            m_resumed = true;
            m_policy->recordPause(FaultAt, m_now);
        }
        if (m_upstreams.faultActive(m_now) && !m_runningLost) {
            m_runningLost = true;
            loseRunningAttempts();
        }
        handle(event);
    }
    findDetection();
    if (!m_decided) {
        m_result.decision = m_scenario.length - FaultTime;
    }
    return m_result;
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        if (m_queue.size() < QueueLimit) {
            const bool isLong = std::bernoulli_distribution(LongShare)(m_random);
            m_queue.push(isLong ? RequestClass::Long : RequestClass::Short);
        }
        scheduleArrival();
        break;
    case Event::Kind::End:
        endAttempt(event.attempt);
        break;
    case Event::Kind::Tick:
        tick();
        break;
    case Event::Kind::ProbeEnd:
        endProbe(event);
        break;
    }
    dispatchQueue();
}

double Simulation::arrivalRate() const
{
    const double mean = std::exp(m_scenario.sigma * m_scenario.sigma / 2)
        * std::chrono::duration<double>(ShortRunTime * (1 - LongShare) + LongRunTime * LongShare).count();
    const double rate = m_scenario.load * Slots * static_cast<double>(m_owned.size()) / mean;
    return m_scenario.zoneCondition == ZoneCondition::Spike && m_upstreams.zoneConditionActive(m_now) ? 5 * rate : rate;
}

void Simulation::scheduleArrival()
{
    const double wait = std::exponential_distribution<double>(arrivalRate())(m_random);
    const auto at = m_now + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(wait));
    m_events.push({at, Event::Kind::Arrival, 0, at});
}

/// Turns successful attempts in flight at unresponsive upstreams into timeouts, as their answers are lost.
void Simulation::loseRunningAttempts()
{
    for (auto &[id, attempt] : m_running) {
        if (m_upstreams.unresponsive(attempt.upstream, m_now) && attempt.result == EvidenceKind::Success) {
            attempt.result = EvidenceKind::Timeout;
            attempt.endsAt = attempt.sentAt + deadlineOf(attempt.requestClass);
            m_events.push({attempt.endsAt, Event::Kind::End, id, attempt.sentAt});
        }
    }
}

void Simulation::dispatchQueue()
{
    while (!m_queue.empty()) {
        const auto upstream = chooseUpstream();
        if (!upstream) {
            return;
        }
        startAttempt(*upstream, m_queue.front());
        m_queue.pop();
    }
}

/// Chooses the upstream with the fewest outstanding attempts among those with the lowest preference; ties are broken at
/// random.
std::optional<unsigned> Simulation::chooseUpstream()
{
    std::optional<unsigned> best;
    std::pair<unsigned, double> least;
    unsigned ties = 0;
    for (unsigned n = 0; n < m_owned.size(); ++n) {
        const auto admission = m_policy->admission(m_owned[n], m_now);
        if (m_outstanding[n] >= admission.slots) {
            continue;
        }
        const std::pair rank(admission.preference, static_cast<double>(m_outstanding[n]) / Slots);
        if (!best || rank < least) {
            ties = 0;
        }
        if (!best || rank < least || (rank == least && m_random() % (ties + 1) == 0)) {
            best = n;
            least = rank;
        }
        ++ties;
    }
    return best;
}

void Simulation::startAttempt(unsigned upstream, RequestClass requestClass)
{
    Attempt attempt{upstream, requestClass, m_now, EvidenceKind::Success, m_now};
    m_upstreams.planResult(attempt, m_random);
    ++m_outstanding[upstream];
    ++m_started[binOf(m_now)];
    m_startedAtFaulty[binOf(m_now)] += upstream == 0 ? 1 : 0;
    m_events.push({attempt.endsAt, Event::Kind::End, m_nextAttempt, m_now});
    m_running.emplace(m_nextAttempt++, attempt);
}

void Simulation::endAttempt(std::uint64_t id)
{
    const auto it = m_running.find(id);
    // A lost attempt has a second end event, later than the first one.
    if (it == m_running.end() || it->second.endsAt > m_now) {
        return;
    }
    const auto &attempt = it->second;
    --m_outstanding[attempt.upstream];
    const auto runTime = std::chrono::duration_cast<Microseconds>(m_now - attempt.sentAt);
    m_policy->record(
        {m_owned[attempt.upstream], attempt.result, attempt.requestClass, runTime, attempt.sentAt, m_now, id});
    if (attempt.upstream == 0 && attempt.result != EvidenceKind::Success && attempt.result != EvidenceKind::Shed) {
        ++m_result.failedRequests;
    }
    m_running.erase(it);
}

void Simulation::tick()
{
    for (const auto &[id, attempt] : m_running) {
        const auto runTime = std::chrono::duration_cast<Microseconds>(m_now - attempt.sentAt);
        if (runTime > m_policy->overdueThreshold(attempt.requestClass)) {
            m_policy->record({m_owned[attempt.upstream],
                              EvidenceKind::Overdue,
                              attempt.requestClass,
                              runTime,
                              attempt.sentAt,
                              m_now,
                              id});
        }
    }
    for (const auto &change : m_policy->evaluate(m_now)) {
        recordChange(change);
    }
    for (const auto &id : m_policy->probesDue(m_now)) {
        const auto n = std::find(m_owned.begin(), m_owned.end(), id) - m_owned.begin();
        ++m_result.probes;
        m_events.push({m_now + ProbeTime, Event::Kind::ProbeEnd, static_cast<std::uint64_t>(n), m_now});
    }
    m_events.push({m_now + EvaluateInterval, Event::Kind::Tick, 0, m_now});
}

void Simulation::endProbe(const Event &event)
{
    const auto upstream = static_cast<unsigned>(event.attempt);
    const bool answers = !m_upstreams.unresponsive(upstream, m_now) || m_scenario.fault == Fault::BlackHole
        || m_scenario.fault == Fault::Flapping;
    m_policy->record({m_owned[upstream],
                      answers ? EvidenceKind::ProbeOk : EvidenceKind::ProbeFailed,
                      RequestClass::Short,
                      ProbeTime,
                      event.sentAt,
                      m_now,
                      0});
}

void Simulation::recordChange(const HealthChange &change)
{
    const bool oneFaulty = m_scenario.fault != Fault::None && m_scenario.fault != Fault::AllUnresponsive
        && m_scenario.fault != Fault::Pause && m_now >= FaultAt;
    const bool expected = oneFaulty && change.upstream == m_owned.front();
    const bool marked = change.to == HealthState::Ejected || change.to == HealthState::Suspect;
    if (expected && marked && !m_decided) {
        m_decided = true;
        m_result.decision = std::chrono::duration_cast<Milliseconds>(m_now - FaultAt);
    }
    if (change.to == HealthState::Ejected) {
        (expected ? m_result.ejections : m_result.falseEjections) += 1;
    } else if (change.to == HealthState::Suspect && change.from != HealthState::Suspect) {
        m_result.falseSuspicions += expected ? 0 : 1;
    }
}

std::size_t Simulation::binOf(TimePoint at) const
{
    return static_cast<std::size_t>((at - Start) / BinTime);
}

/// Finds the first time after which at most 1% of the attempts start at the faulty upstream, for 1 s or until the fault
/// ends.
void Simulation::findDetection()
{
    const auto bins = [](Milliseconds time) { return static_cast<std::size_t>(time / BinTime); };
    const auto first = bins(FaultTime);
    const auto last = m_scenario.fault == Fault::Flapping ? first + bins(FlapInterval) : m_started.size() - 1;
    for (auto from = first; from < last; ++from) {
        const auto to = std::min(from + bins(1s), last);
        unsigned all = 0;
        unsigned faulty = 0;
        for (auto n = from; n < to; ++n) {
            all += m_started[n];
            faulty += m_startedAtFaulty[n];
        }
        m_result.detection = BinTime * static_cast<int>(from - first);
        if (100 * faulty <= all) {
            m_result.detected = true;
            return;
        }
    }
}

} // namespace

RunResult simulate(const Scenario &scenario)
{
    return Simulation(scenario).run();
}

} // namespace laburnumspar::bench
