// Measures in virtual time how soon a health policy avoids a faulty upstream, and how many healthy ones it ejects.
// Arguments: number of seeds (200), policy (all), or "soak" and the server-hours without faults to run.
// Exits 1 if the judge misses a bound.
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

/// Bounds of the judge, from the requirements.
constexpr Milliseconds MedianBound{1000};
constexpr Milliseconds TailBound{3000};
constexpr unsigned Workers = 3;
/// Share of the slots that is in use at 10 requests a second on each upstream.
constexpr double LowLoad = 0.058;
/// Wide spread of run times: 8% of them are over four times the median.
constexpr double WideSigma = 1.0;
/// At most one false ejection in this time.
constexpr double HoursPerFalseEjection = 1000;

struct Named {
    Fault fault;
    const char *text;
};

constexpr Named Faults[]{
    {Fault::SlowTenfold, "slow x10"},
    {Fault::BlackHole, "black hole"},
    {Fault::FailsWork, "fails work"},
    {Fault::Flapping, "flapping"},
    {Fault::WrongAnswers, "wrong answers"},
    {Fault::OneWayPartition, "one-way partition"},
};

int missed = 0;

std::vector<RunResult> runSeeds(Scenario scenario, unsigned seeds)
{
    std::vector<RunResult> results(seeds);
    std::atomic<unsigned> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned n = 0; n < Workers; ++n) {
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

void report(const Scenario &scenario, const char *fault, const char *pressure, const std::vector<RunResult> &results)
{
    const auto seeds = static_cast<double>(results.size());
    const auto undetected
        = std::count_if(results.begin(), results.end(), [](const RunResult &result) { return !result.detected; });
    const auto median = quantile(results, &RunResult::detection, 0.5);
    const auto tail = quantile(results, &RunResult::detection, 0.99);
    const auto decisionMedian = quantile(results, &RunResult::decision, 0.5);
    const auto decisionTail = quantile(results, &RunResult::decision, 0.99);
    const auto falseEjections = total(results, &RunResult::falseEjections);
    const bool bound = scenario.policy == "judge";
    // With little work a faulty upstream is avoided by its stuck requests alone, and then there is no evidence to
    // mark it by; the bound is on the work that goes there.
    const bool busy = scenario.load > LowLoad;
    const bool good = median < MedianBound.count() && tail < TailBound.count() && falseEjections == 0
        && (!busy || (decisionMedian < MedianBound.count() && decisionTail < TailBound.count()));
    missed += bound && !good ? 1 : 0;
    std::printf("%-4s %-18s %4u %-18s %-7s %7lld %7lld %7lld %7lld %6lld %6u %6u %6.1f %8.1f %6.1f\n",
                !bound     ? ""
                    : good ? "ok"
                           : "MISS",
                scenario.policy.c_str(),
                scenario.pool,
                fault,
                pressure,
                median,
                tail,
                decisionMedian,
                decisionTail,
                static_cast<long long>(undetected),
                falseEjections,
                total(results, &RunResult::falseSuspicions),
                total(results, &RunResult::ejections) / seeds,
                total(results, &RunResult::harmed) / seeds,
                total(results, &RunResult::probes) / seeds);
}

/// Scenarios in which no upstream is at fault: nothing may be ejected.
void reportInnocent(const Scenario &scenario, const char *text, const std::vector<RunResult> &results)
{
    const auto falseEjections = total(results, &RunResult::falseEjections);
    const bool bound = scenario.policy == "judge";
    missed += bound && falseEjections > 0 ? 1 : 0;
    std::printf("%-4s %-18s %4u %-26s %7s %7s %7s %7s %6s %6u %6u\n",
                !bound                    ? ""
                    : falseEjections == 0 ? "ok"
                                          : "MISS",
                scenario.policy.c_str(),
                scenario.pool,
                text,
                "",
                "",
                "",
                "",
                "",
                falseEjections,
                total(results, &RunResult::falseSuspicions));
}

/// Few requests: 10 a second on each upstream.
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
        for (const auto pressure : {Pressure::None, Pressure::Slow}) {
            scenario.pressure = pressure;
            report(scenario, text, pressure == Pressure::None ? "" : "slow x3", runSeeds(scenario, seeds));
        }
    }
}

void runInnocent(Scenario scenario, unsigned seeds)
{
    scenario.pressure = Pressure::Spike;
    reportInnocent(scenario, "load spike x5", runSeeds(scenario, seeds));
    scenario.sigma = WideSigma;
    reportInnocent(scenario, "load spike x5, wide spread", runSeeds(scenario, seeds));
    scenario.sigma = Scenario().sigma;
    scenario.pressure = Pressure::None;
    scenario.fault = Fault::AllSilent;
    reportInnocent(scenario, "own network lost 3 s", runSeeds(scenario, seeds));
    scenario.fault = Fault::Pause;
    scenario.length = 25s;
    reportInnocent(scenario, "paused 10 s", runSeeds(scenario, seeds));
    scenario.fault = Fault::None;
    scenario.length = 60s;
    reportInnocent(scenario, "no fault, 60 s", runSeeds(scenario, seeds));
    scenario.sigma = WideSigma;
    reportInnocent(scenario, "no fault, 60 s, wide", runSeeds(scenario, seeds));
}

/// Runs the judge without faults for a long time, to find the rate of false ejections.
int soak(double hours)
{
    constexpr unsigned Owned = 7;
    Scenario scenario;
    scenario.length = 10min;
    const auto runHours = std::chrono::duration<double, std::ratio<3600>>(scenario.length).count() * Owned;
    const auto seeds = static_cast<unsigned>(std::ceil(hours / runHours));
    bool good = true;
    for (const double sigma : {Scenario().sigma, WideSigma}) {
        scenario.sigma = sigma;
        const auto results = runSeeds(scenario, seeds);
        const auto ejections = total(results, &RunResult::falseEjections);
        std::printf("sigma %.1f: %.0f server-hours, %u false ejections, %u false suspicions\n",
                    sigma,
                    runHours * seeds,
                    ejections,
                    total(results, &RunResult::falseSuspicions));
        good = good && ejections <= runHours * seeds / HoursPerFalseEjection;
    }
    return good ? 0 : 1;
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
            scenario.pool = pool;
            scenario.policy = policy;
            runFaults(scenario, seeds);
            runLowLoad(scenario, seeds);
            runInnocent(scenario, seeds);
        }
    }
    std::printf("%d bounds missed\n", missed);
    return missed == 0 ? 0 : 1;
}
