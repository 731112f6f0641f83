// Measures in virtual time how soon a health policy avoids a faulty upstream, and how many healthy ones it ejects.
// Usage: bench_health [SEEDS [POLICY]], by default with 200 seeds and all policies, or
// bench_health soak HOURS to run the policy "judge" without faults for this many server-hours.
// Exits with 1 if the policy "judge" misses a bound.
#include "healthsimulation.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace laburnumspar;
using namespace laburnumspar::bench;
using namespace std::chrono_literals;

namespace {

/// Bounds of the policy "judge" from the requirements: median and 99th percentile of the detection time.
constexpr Milliseconds MaxMedianDetection{1000};
constexpr Milliseconds MaxP99Detection{3000};
constexpr unsigned WorkerThreads = 3;
/// Mean share of the slots in use at 10 requests per second and upstream.
constexpr double LowLoad = 0.058;
/// Sigma of widely spread run times: 8% of them exceed four times the median.
constexpr double WideSigma = 1.0;
/// Minimum server-hours per false ejection.
constexpr double MinHoursPerFalseEjection = 1000;

struct NamedFault {
    Fault fault;
    const char *text;
};

constexpr NamedFault Faults[]{
    {Fault::SlowTenfold, "slow x10"},
    {Fault::BlackHole, "black hole"},
    {Fault::RequestErrors, "fails work"},
    {Fault::Flapping, "flapping"},
    {Fault::WrongAnswers, "wrong answers"},
    {Fault::OneWayPartition, "one-way partition"},
};

int missedBounds = 0;

std::vector<RunResult> runSeeds(Scenario scenario, unsigned seeds)
{
    std::vector<RunResult> results(seeds);
    std::atomic<unsigned> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned n = 0; n < WorkerThreads; ++n) {
        workers.emplace_back([&, scenario]() mutable {
            for (unsigned it = next++; it < seeds; it = next++) {
                scenario.seed = it + 1;
                results[it] = simulate(scenario);
            }
        });
    }
    workers.clear();
    return results;
}

unsigned total(const std::vector<RunResult> &results, unsigned RunResult::*member)
{
    unsigned sum = 0;
    for (const auto &result : results) {
        sum += result.*member;
    }
    return sum;
}

long long quantile(std::vector<RunResult> results, Milliseconds RunResult::*member, double share)
{
    std::sort(
        results.begin(), results.end(), [&](const RunResult &a, const RunResult &b) { return a.*member < b.*member; });
    return (results[static_cast<std::size_t>(std::ceil(share * static_cast<double>(results.size() - 1)))].*member)
        .count();
}

void report(const Scenario &scenario,
            const char *fault,
            const char *zoneCondition,
            const std::vector<RunResult> &results)
{
    const auto seeds = static_cast<double>(results.size());
    const auto undetected
        = std::count_if(results.begin(), results.end(), [](const RunResult &result) { return !result.detected; });
    const auto median = quantile(results, &RunResult::detection, 0.5);
    const auto p99 = quantile(results, &RunResult::detection, 0.99);
    const auto decisionMedian = quantile(results, &RunResult::decision, 0.5);
    const auto decisionP99 = quantile(results, &RunResult::decision, 0.99);
    const auto falseEjections = total(results, &RunResult::falseEjections);
    const bool hasBounds = scenario.policy == "judge";
    // Under low load the faulty upstream is avoided because of its outstanding requests alone, so that there is too
    // little evidence to make it suspect; the bounds then apply only to the requests sent to it.
    const bool boundDecision = scenario.load > LowLoad;
    const bool withinBounds = median < MaxMedianDetection.count() && p99 < MaxP99Detection.count()
        && falseEjections == 0
        && (!boundDecision || (decisionMedian < MaxMedianDetection.count() && decisionP99 < MaxP99Detection.count()));
    missedBounds += hasBounds && !withinBounds ? 1 : 0;
    std::printf("%-4s %-18s %4u %-18s %-7s %7lld %7lld %7lld %7lld %6lld %6u %6u %6.1f %8.1f %6.1f\n",
                !hasBounds         ? ""
                    : withinBounds ? "ok"
                                   : "MISS",
                scenario.policy.c_str(),
                scenario.poolSize,
                fault,
                zoneCondition,
                median,
                p99,
                decisionMedian,
                decisionP99,
                static_cast<long long>(undetected),
                falseEjections,
                total(results, &RunResult::falseSuspicions),
                total(results, &RunResult::ejections) / seeds,
                total(results, &RunResult::failedRequests) / seeds,
                total(results, &RunResult::probes) / seeds);
}

/// Reports a scenario in which no upstream is faulty, so none may be ejected.
void reportWithoutFaulty(const Scenario &scenario, const char *text, const std::vector<RunResult> &results)
{
    const auto falseEjections = total(results, &RunResult::falseEjections);
    const bool hasBounds = scenario.policy == "judge";
    missedBounds += hasBounds && falseEjections > 0 ? 1 : 0;
    std::printf("%-4s %-18s %4u %-26s %7s %7s %7s %7s %6s %6u %6u\n",
                !hasBounds                ? ""
                    : falseEjections == 0 ? "ok"
                                          : "MISS",
                scenario.policy.c_str(),
                scenario.poolSize,
                text,
                "",
                "",
                "",
                "",
                "",
                falseEjections,
                total(results, &RunResult::falseSuspicions));
}

/// Runs with 10 requests per second and upstream.
void runLowLoad(Scenario scenario, unsigned seeds)
{
    scenario.load = LowLoad;
    for (const auto &[fault, text] : {Faults[0], Faults[1]}) {
        scenario.fault = fault;
        report(scenario, text, "10/s", runSeeds(scenario, seeds));
    }
}

void runFaults(Scenario scenario, unsigned seeds)
{
    for (const auto &[fault, text] : Faults) {
        scenario.fault = fault;
        for (const auto condition : {ZoneCondition::None, ZoneCondition::Slow}) {
            scenario.zoneCondition = condition;
            report(scenario, text, condition == ZoneCondition::None ? "" : "slow x3", runSeeds(scenario, seeds));
        }
    }
}

void runWithoutFaulty(Scenario scenario, unsigned seeds)
{
    scenario.zoneCondition = ZoneCondition::Spike;
    reportWithoutFaulty(scenario, "load spike x5", runSeeds(scenario, seeds));
    scenario.sigma = WideSigma;
    reportWithoutFaulty(scenario, "load spike x5, wide spread", runSeeds(scenario, seeds));
    scenario.sigma = Scenario().sigma;
    scenario.zoneCondition = ZoneCondition::None;
    scenario.fault = Fault::AllUnresponsive;
    reportWithoutFaulty(scenario, "own network lost 3 s", runSeeds(scenario, seeds));
    scenario.fault = Fault::Pause;
    scenario.length = 25s;
    reportWithoutFaulty(scenario, "paused 10 s", runSeeds(scenario, seeds));
    scenario.fault = Fault::None;
    scenario.length = 60s;
    reportWithoutFaulty(scenario, "no fault, 60 s", runSeeds(scenario, seeds));
    scenario.sigma = WideSigma;
    reportWithoutFaulty(scenario, "no fault, 60 s, wide", runSeeds(scenario, seeds));
}

/// Runs the policy "judge" without faults for a long time to measure the rate of false ejections.
int soak(double hours)
{
    constexpr unsigned Owned = 7;
    Scenario scenario;
    scenario.length = 10min;
    const auto runHours = std::chrono::duration<double, std::ratio<3600>>(scenario.length).count() * Owned;
    const auto seeds = static_cast<unsigned>(std::ceil(hours / runHours));
    bool withinBounds = true;
    for (const double sigma : {Scenario().sigma, WideSigma}) {
        scenario.sigma = sigma;
        const auto results = runSeeds(scenario, seeds);
        const auto ejections = total(results, &RunResult::falseEjections);
        std::printf("sigma %.1f: %.0f server-hours, %u false ejections, %u false suspicions\n",
                    sigma,
                    runHours * seeds,
                    ejections,
                    total(results, &RunResult::falseSuspicions));
        withinBounds = withinBounds && ejections <= runHours * seeds / MinHoursPerFalseEjection;
    }
    return withinBounds ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 2 && std::string(argv[1]) == "soak") {
        return soak(std::atof(argv[2]));
    }
    const auto seeds = static_cast<unsigned>(argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 200);
    std::printf("%-4s %-18s %4s %-18s %-7s %7s %7s %7s %7s %6s %6s %6s %6s %8s %6s\n",
                "",
                "policy",
                "pool",
                "fault",
                "all",
                "med ms",
                "p99 ms",
                "mark ms",
                "p99 ms",
                "undet",
                "falsej",
                "falsus",
                "eject",
                "harmed",
                "probes");
    for (const auto *policy : {"judge", "consecutive-errors", "probes-only"}) {
        if (argc > 2 && std::string(argv[2]) != policy) {
            continue;
        }
        for (const unsigned pool : {20U, 10U}) {
            Scenario scenario;
            scenario.poolSize = pool;
            scenario.policy = policy;
            runFaults(scenario, seeds);
            runLowLoad(scenario, seeds);
            runWithoutFaulty(scenario, seeds);
        }
    }
    std::printf("%d bounds missed\n", missedBounds);
    return missedBounds == 0 ? 0 : 1;
}
