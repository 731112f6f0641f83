#include "upstreampoolsimulation.h"

#include "laburnumspar/retrybudget.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace laburnumspar::bench {

namespace {

using namespace std::chrono_literals;

constexpr Milliseconds NoisePeriod{9000};
constexpr double NoiseFailureShare = 0.75;
constexpr double FaultFailureShare = 0.75;
/// Share of requests that fail at a healthy upstream.
constexpr double ErrorShare = 0.012;
/// Share of requests that take TailFactor times as long.
constexpr double TailShare = 0.03;
constexpr double TailFactor = 7;
constexpr double WorkSigma = 0.35;
constexpr double SlowFactor = 8;
constexpr Milliseconds ErrorTime{2};
constexpr Milliseconds ObservationInterval{200};
constexpr Milliseconds QueueInterval{20};
constexpr double RetryShare = 0.17;
constexpr Milliseconds RetryWindow{10000};
/// Retries of a service per window that its active instances share.
constexpr unsigned RetryReserve = 90;
constexpr double MinRetriesForTrials = 4;

/// Periods in which the share of upstreams that receive requests is checked.
constexpr Milliseconds CheckPeriod{2000};
constexpr Milliseconds CheckInterval{500};
constexpr double MinUsedShare = 0.7;
/// An upstream counts as healthy this long after a fault, and after a request that it failed by itself.
constexpr Milliseconds FaultRecovery{6000};
constexpr Milliseconds FailureRecovery{2000};

struct SimulatedUpstream {
    std::string id;
    std::vector<bool> noisy; ///< by noise period
    Milliseconds noisePhase{0};
    bool faulty = false; ///< during the fault of the scenario
    unsigned running = 0;
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> failures;
};

struct SimulatedRequest {
    TimePoint arrived;
    bool retryable = false;
    bool lost = false;
    unsigned attempts = 0;
    std::vector<std::string> tried;
    std::size_t instance = 0;
};

struct SimulatedInstance {
    SimulatedInstance(const std::string &zone, std::uint64_t seed, unsigned reserve)
        : pool(zone, seed)
        , budget(RetryShare, RetryWindow, reserve)
    {
    }

    UpstreamPool pool;
    RetryBudget budget;
    std::deque<std::size_t> queue; ///< requests that wait for a slot
};

class Simulation
{
public:
    explicit Simulation(const PoolScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_latency(scenario.workTime)
    {
        addUpstreams();
        addInstances();
    }

    PoolResult run()
    {
        scheduleArrivals(m_scenario.finalRate, false);
        scheduleArrivals(m_scenario.retryableRate, true);
        for (auto at = m_start; at < end(); at += ObservationInterval) {
            schedule(at, [this] { exchangeObservations(); });
        }
        for (auto at = m_start; at < end(); at += QueueInterval) {
            schedule(at, [this] { startQueued(); });
        }
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        countIdlePeriods();
        return m_result;
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    TimePoint end() const
    {
        return m_start + m_scenario.length;
    }

    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    void schedule(TimePoint at, std::function<void()> action)
    {
        m_events.push({at, m_order++, std::move(action)});
    }

    std::string zoneName(std::size_t n) const
    {
        return "zone-" + std::to_string(n % m_scenario.zones);
    }

    void addUpstreams()
    {
        const auto periods = std::size_t(m_scenario.length / NoisePeriod + 2);
        for (unsigned n = 0; n < m_scenario.upstreams; ++n) {
            SimulatedUpstream upstream;
            upstream.id = "u" + std::to_string(n);
            upstream.noisePhase = Milliseconds(std::int64_t(uniform() * double(NoisePeriod.count())));
            for (std::size_t period = 0; period < periods; ++period) {
                upstream.noisy.push_back(uniform() < m_scenario.noiseShare);
            }
            upstream.faulty = uniform() < m_scenario.faultShare;
            m_upstreams.push_back(std::move(upstream));
        }
    }

    void addInstances()
    {
        const unsigned instances = m_scenario.zones * m_scenario.instancesPerZone;
        for (unsigned n = 0; n < instances; ++n) {
            auto instance = std::make_unique<SimulatedInstance>(
                zoneName(n), m_scenario.seed * 100 + n, std::max(1U, RetryReserve / instances));
            for (std::size_t it = 0; it < m_upstreams.size(); ++it) {
                RegisteredUpstream entry;
                entry.id = m_upstreams[it].id;
                entry.service = "orders";
                entry.zone = zoneName(it);
                entry.slots = m_scenario.slots;
                instance->pool.put(entry, m_start);
            }
            instance->pool.setExplorer([this, n](const RegisteredUpstream &upstream) {
                const auto explorers = m_scenario.instancesPerZone;
                return upstream.zone == zoneName(n)
                    && std::hash<std::string>()(upstream.id) % explorers == n / m_scenario.zones;
            });
            m_instances.push_back(std::move(instance));
        }
    }

    void scheduleArrivals(double rate, bool retryable)
    {
        if (rate <= 0) {
            return;
        }
        std::exponential_distribution<> gap(rate);
        double seconds = gap(m_random);
        while (seconds < std::chrono::duration<double>(m_scenario.length).count()) {
            const auto at
                = m_start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
            const auto instance = std::size_t(uniform() * double(m_instances.size()));
            schedule(at, [this, retryable, instance] { arrive(retryable, instance); });
            seconds += gap(m_random);
        }
    }

    void arrive(bool retryable, std::size_t instance)
    {
        const auto index = m_requests.size();
        SimulatedRequest request;
        request.arrived = m_now;
        request.retryable = retryable;
        request.instance = instance;
        m_requests.push_back(std::move(request));
        if (uniform() < m_scenario.refusedShare) {
            m_requests.back().lost = true;
            m_instances[instance]->pool.recordOutcome(false, m_now);
            return;
        }
        (retryable ? m_result.retryableRequests : m_result.finalRequests)++;
        m_instances[instance]->budget.recordFirstAttempt(m_now);
        if (!startAttempt(index)) {
            m_instances[instance]->queue.push_back(index);
        }
    }

    void startQueued()
    {
        for (auto &instance : m_instances) {
            while (!instance->queue.empty() && startAttempt(instance->queue.front())) {
                instance->queue.pop_front();
            }
            while (!instance->queue.empty()
                   && m_now - m_requests[instance->queue.front()].arrived > m_scenario.deadline) {
                lose(instance->queue.front());
                instance->queue.pop_front();
            }
        }
    }

    bool startAttempt(std::size_t index)
    {
        auto &request = m_requests[index];
        auto &instance = *m_instances[request.instance];
        const bool finalAttempt = !request.retryable || request.attempts > 0;
        const bool allowTrial = instance.budget.remaining(m_now) >= MinRetriesForTrials;
        const auto choice = instance.pool.startAttempt({&m_latency, finalAttempt, allowTrial, request.tried}, m_now);
        if (!choice) {
            return false;
        }
        ++request.attempts;
        request.tried.push_back(choice->upstream.id);
        m_result.trials += choice->faultProbability > 0.5 ? 1 : 0;
        auto &upstream = m_upstreams[std::size_t(std::stoul(choice->upstream.id.substr(1)))];
        upstream.arrivals.push_back(m_now);
        ++upstream.running;
        const auto outcome = drawOutcome(upstream, request);
        const auto load = ReportedLoad{upstream.running, 0, m_scenario.slots};
        schedule(m_now + outcome.first, [this, index, &upstream, id = choice->attempt, load, result = outcome.second] {
            finishAttempt(index, upstream, id, load, result);
        });
        return true;
    }

    UpstreamFault currentFault(const SimulatedUpstream &upstream) const
    {
        const auto since = m_now - m_start - m_scenario.faultAt;
        const bool active = since >= 0ms && since < m_scenario.faultLength;
        return active && upstream.faulty ? m_scenario.fault : UpstreamFault::None;
    }

    std::pair<Clock::duration, AttemptOutcome> drawOutcome(const SimulatedUpstream &upstream,
                                                           const SimulatedRequest &request)
    {
        const auto fault = currentFault(upstream);
        const auto left = request.arrived + m_scenario.deadline - m_now;
        const auto period = std::size_t((m_now - m_start + upstream.noisePhase) / NoisePeriod);
        const double failureShare = std::max({ErrorShare,
                                              upstream.noisy[period] ? NoiseFailureShare : 0,
                                              fault == UpstreamFault::Errors ? FaultFailureShare : 0});
        if (m_scenario.noiseHangs && upstream.noisy[period] && uniform() < NoiseFailureShare) {
            return {left, AttemptOutcome::Timeout};
        }
        if (uniform() < (m_scenario.noiseHangs ? ErrorShare : failureShare)) {
            return {ErrorTime, AttemptOutcome::Failure};
        }
        std::lognormal_distribution<> work(0, WorkSigma);
        double factor = work(m_random) * (uniform() < TailShare ? TailFactor : 1);
        factor *= fault == UpstreamFault::Slow ? SlowFactor : 1;
        const auto time = std::chrono::duration_cast<Clock::duration>(m_scenario.workTime * factor);
        if (fault == UpstreamFault::Silence || time > left) {
            return {left, AttemptOutcome::Timeout};
        }
        return {time, AttemptOutcome::Success};
    }

    void finishAttempt(std::size_t index,
                       SimulatedUpstream &upstream,
                       UpstreamPool::AttemptId id,
                       ReportedLoad load,
                       AttemptOutcome outcome)
    {
        --upstream.running;
        auto &request = m_requests[index];
        auto &instance = *m_instances[request.instance];
        instance.pool.finishAttempt(id, outcome, load, m_now);
        if (outcome == AttemptOutcome::Success) {
            m_latency.record(m_now - request.arrived);
            instance.pool.recordOutcome(true, m_now);
            return;
        }
        upstream.failures.push_back(m_now);
        const bool inTime = m_now < request.arrived + m_scenario.deadline;
        if (request.retryable && request.attempts == 1 && inTime && instance.budget.trySpend(m_now)) {
            ++m_result.retries;
            if (startAttempt(index)) {
                return;
            }
        }
        lose(index);
    }

    void lose(std::size_t index)
    {
        auto &request = m_requests[index];
        request.lost = true;
        m_instances[request.instance]->pool.recordOutcome(false, m_now);
        (request.retryable ? m_result.retryableLost : m_result.finalLost)++;
    }

    void exchangeObservations()
    {
        for (auto &from : m_instances) {
            for (const auto &observation : from->pool.takeObservations(m_now)) {
                for (auto &to : m_instances) {
                    if (to != from) {
                        to->pool.addRemoteObservation(observation, m_now);
                    }
                }
            }
        }
    }

    bool isHealthy(const SimulatedUpstream &upstream, TimePoint from, TimePoint to) const
    {
        const auto faultStart = m_start + m_scenario.faultAt;
        const auto faultEnd = faultStart + m_scenario.faultLength + FaultRecovery;
        const bool faulty = upstream.faulty && m_scenario.fault != UpstreamFault::None;
        if (faulty && from < faultEnd && to > faultStart) {
            return false;
        }
        return std::none_of(upstream.failures.begin(), upstream.failures.end(), [&](TimePoint at) {
            return at > from - FailureRecovery && at < to;
        });
    }

    void countIdlePeriods()
    {
        for (auto from = m_start + CheckPeriod; from + CheckPeriod < end(); from += CheckInterval) {
            const auto to = from + CheckPeriod;
            unsigned requests = 0;
            unsigned lost = 0;
            for (const auto &it : m_requests) {
                requests += it.arrived >= from && it.arrived < to ? 1 : 0;
                lost += it.arrived >= from && it.arrived < to && it.lost ? 1 : 0;
            }
            unsigned healthy = 0;
            unsigned used = 0;
            for (const auto &it : m_upstreams) {
                if (!isHealthy(it, from, to)) {
                    continue;
                }
                ++healthy;
                used += std::any_of(
                    it.arrivals.begin(), it.arrivals.end(), [&](TimePoint at) { return at >= from && at < to; });
            }
            const bool lossy = lost * 10 > requests && lost * 2 < requests;
            m_result.idlePeriods += lossy && used > 0 && used < MinUsedShare * healthy ? 1 : 0;
        }
    }

    PoolScenario m_scenario;
    std::mt19937_64 m_random;
    LatencyModel m_latency;
    TimePoint m_start{std::chrono::seconds(1000)};
    TimePoint m_now = m_start;
    std::vector<SimulatedUpstream> m_upstreams;
    std::vector<std::unique_ptr<SimulatedInstance>> m_instances;
    std::vector<SimulatedRequest> m_requests;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    PoolResult m_result;
};

} // namespace

PoolResult simulate(const PoolScenario &scenario)
{
    return Simulation(scenario).run();
}

} // namespace laburnumspar::bench
