#include "dispatchersimulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

// Drives one dispatcher in virtual time and checks the bounds of docs/design.md, section 2.
// Usage: bench_dispatcher [seed]

using namespace laburnumspar;
using namespace laburnumspar::bench;

namespace {

constexpr double MinGoodput = 0.95; // of the slot capacity, at 5 times overload
constexpr double MaxShortSlowdown = 1.3; // p99 of short work with long work / without
constexpr double MaxRefusalMs = 50;
// A team that stays below its share must not notice the surge of another one.
constexpr double MinSteadyTeamShare = 0.99;
// Below capacity nothing is refused or late.
constexpr double MinSteadyShare = 0.9999;

constexpr double ShortMs = 5;
constexpr double LongMs = 100 * ShortMs;
constexpr double LongPart = 0.05; // of the requests

struct PoolSize {
    const char *name;
    int upstreams;
    unsigned slots;
};

// The upstreams of one dispatcher today: a third of those of orders, a quarter of those of ticketing.
constexpr PoolSize Pools[] = {{"orders", 7, 6}, {"ticketing", 4, 3}};
constexpr const char *Policies[] = {"least-loaded", "two-choices", "round-robin"};
constexpr LongPlacement Placements[] = {LongPlacement::SharePerUpstream, LongPlacement::FewUpstreams};

int failures = 0;

bool passes(bool holds)
{
    failures += holds ? 0 : 1;
    return holds;
}

/// Requests per second that need `load` of the slots at this mean execution time.
double rate(const PoolSize &pool, double load, double meanMs)
{
    return load * pool.upstreams * pool.slots * 1000 / meanMs;
}

Scenario makeScenario(const std::string &name, const PoolSize &pool, double measureFrom, double measureTo)
{
    Scenario scenario;
    scenario.name = std::string(pool.name) + ' ' + name;
    scenario.upstreams = pool.upstreams;
    scenario.slots = pool.slots;
    scenario.measureFrom = measureFrom;
    scenario.measureTo = measureTo;
    return scenario;
}

Stream shortStream(double perSecond, double from, double to)
{
    Stream stream;
    stream.team = "a";
    stream.route = "/short";
    stream.perSecond = perSecond;
    stream.meanRunMs = ShortMs;
    stream.from = from;
    stream.to = to;
    return stream;
}

Stream longStream(double perSecond, double from, double to)
{
    Stream stream = shortStream(perSecond, from, to);
    stream.route = "/long";
    stream.declared = WorkClass::Long;
    stream.isLong = true;
    stream.meanRunMs = LongMs;
    stream.deadlineFromMs = stream.deadlineToMs = 20'000;
    return stream;
}

void print(const Scenario &scenario, const Setup &setup, const Result &result, bool ok)
{
    const Tally &work = result.shortWork;
    std::printf("%-4s %-30s %-12s %-18s %6.3f %8.2f %8.2f %8.2f %8.4f %8.4f %8.4f %8.1f %8.1f %7.0f\n",
                ok ? "ok" : "FAIL",
                scenario.name.c_str(),
                setup.policy.c_str(),
                std::string(name(setup.placement)).c_str(),
                result.goodput,
                work.quantileMs(0.5),
                work.quantileMs(0.99),
                work.quantileMs(0.999),
                double(work.refused) / double(work.submitted),
                double(work.missed) / double(work.submitted),
                result.longWork.goodShare(),
                result.refusalQuantileMs(0.99),
                result.refusalQuantileMs(1),
                result.nsPerDecision);
}

void runSteady(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("steady", pool, 1, 11);
    scenario.streams = {shortStream(rate(pool, 0.7, ShortMs), 0, 11)};
    const Result result = simulate(scenario, setup);
    print(scenario, setup, result, passes(result.shortWork.goodShare() >= MinSteadyShare));
}

struct Deadlines {
    const char *name;
    double fromMs;
    double toMs;
    double slowFactor;
    unsigned queueLimit;
};

// Equal deadlines, mixed ones, ones of a few execution times, upstreams that become slower during the overload, and a
// queue limit that never binds, so that admission alone has to keep the queue servable.
constexpr Deadlines Overloads[] = {
    {"overload", 1000, 1000, 1, 1000},
    {"overload, mixed deadlines", 30, 1000, 1, 1000},
    {"overload, short deadlines", 25, 35, 1, 1000},
    {"overload, slowing", 200, 1000, 3, 1000},
    {"overload, no queue limit", 100, 2000, 1, 1'000'000},
};

void runOverload(const PoolSize &pool, const Setup &setup, const Deadlines &deadlines)
{
    Scenario scenario = makeScenario(deadlines.name, pool, 3, 9);
    scenario.queueLimit = deadlines.queueLimit;
    scenario.slowFrom = deadlines.slowFactor > 1 ? 6 : 1e9;
    scenario.slowFactor = deadlines.slowFactor;
    for (const auto &[load, from, to] : {std::tuple{0.5, 0, 3}, std::tuple{5.0, 3, 9}}) {
        Stream stream = shortStream(rate(pool, load, ShortMs), from, to);
        stream.deadlineFromMs = deadlines.fromMs;
        stream.deadlineToMs = deadlines.toMs;
        scenario.streams.push_back(stream);
    }
    const Result result = simulate(scenario, setup);
    const bool ok = result.goodput >= MinGoodput && result.refusalQuantileMs(0.99) < MaxRefusalMs;
    print(scenario, setup, result, passes(ok));
}

void runLong(const PoolSize &pool, const Setup &setup, bool declared)
{
    const double requests = rate(pool, 0.7, (1 - LongPart) * ShortMs + LongPart * LongMs);
    Scenario without = makeScenario("no long work", pool, 5, 65);
    without.streams = {shortStream(requests * (1 - LongPart), 0, 65)};
    const Result reference = simulate(without, setup);
    print(without, setup, reference, true);

    Scenario with = makeScenario(declared ? "long work" : "long work, undeclared", pool, 5, 65);
    with.streams = {without.streams[0], longStream(requests * LongPart, 0, 65)};
    with.longShare = 0.7;
    with.streams[1].declared = declared ? WorkClass::Long : WorkClass::Short;
    const Result result = simulate(with, setup);
    const double slowdown = result.shortWork.quantileMs(0.99) / reference.shortWork.quantileMs(0.99);
    print(with, setup, result, passes(slowdown <= MaxShortSlowdown));
    std::printf("     p99 of short work: %.2f times that without long work\n", slowdown);
}

/// Team b uses 80% of its half of the slots; team a asks for 5 times the capacity from second 3 on.
void runSurge(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("surge of another team", pool, 3, 9);
    Stream steady = shortStream(rate(pool, 0.4, ShortMs), 0, 9);
    steady.team = "b";
    scenario.streams = {steady, shortStream(rate(pool, 0.3, ShortMs), 0, 3), shortStream(rate(pool, 5, ShortMs), 3, 9)};
    const Result result = simulate(scenario, setup);
    const Tally &team = result.streams[0];
    print(scenario, setup, result, passes(team.goodShare() >= MinSteadyTeamShare && result.goodput >= MinGoodput));
    std::printf("     steady team: %.4f in time, p50 %.2f ms, p99 %.2f ms\n",
                team.goodShare(),
                team.quantileMs(0.5),
                team.quantileMs(0.99));
}

} // namespace

int main(int argc, char **argv)
{
    Setup setup;
    setup.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("%-4s %-30s %-12s %-18s %6s %8s %8s %8s %8s %8s %8s %8s %8s %7s\n",
                "",
                "scenario",
                "policy",
                "long placement",
                "good",
                "p50 ms",
                "p99 ms",
                "p999 ms",
                "refused",
                "missed",
                "long ok",
                "ref p99",
                "ref max",
                "ns/dec");
    for (const PoolSize &pool : Pools) {
        for (const char *policy : Policies) {
            setup.policy = policy;
            setup.placement = LongPlacement::SharePerUpstream;
            runSteady(pool, setup);
            for (const Deadlines &deadlines : Overloads) {
                runOverload(pool, setup, deadlines);
            }
            runSurge(pool, setup);
            for (const LongPlacement placement : Placements) {
                setup.placement = placement;
                runLong(pool, setup, true);
                runLong(pool, setup, false);
            }
        }
    }
    std::printf("%d bounds missed\n", failures);
    return failures == 0 ? 0 : 1;
}
