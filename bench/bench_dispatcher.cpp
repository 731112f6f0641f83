#include "dispatchersimulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <tuple>
#include <vector>

// Drives one dispatcher in virtual time and checks the bounds of docs/design.md, section 2.
// Usage: bench_dispatcher [seed [policy]]

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
constexpr double MaxRefusedBesideStuck = 0.001;

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

/// One upstream takes three times as long: tells the policies apart.
void runUneven(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("one slow upstream", pool, 1, 11);
    scenario.slowUpstreams = 1;
    scenario.streams = {shortStream(rate(pool, 0.5, ShortMs), 0, 11)};
    const Result result = simulate(scenario, setup);
    print(scenario, setup, result, passes(result.shortWork.goodShare() >= MinSteadyShare));
}

/// One upstream answers nothing in time, and nothing ejects it. Its slots are lost; the other ones must serve all the
/// rest, and its timeouts must not make a route look long or hopeless.
void runStuck(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("one stuck upstream", pool, 1, 11);
    scenario.slowUpstreams = 1;
    scenario.slowUpstreamFactor = 1000;
    scenario.longShare = 0.3;
    scenario.streams = {shortStream(rate(pool, 0.4, ShortMs), 0, 11)};
    scenario.streams[0].deadlineFromMs = scenario.streams[0].deadlineToMs = 200;
    const Result result = simulate(scenario, setup);
    const double refused = double(result.shortWork.refused) / double(result.shortWork.submitted);
    print(scenario, setup, result, passes(refused <= MaxRefusedBesideStuck));
}

struct Overload {
    const char *name;
    double load; ///< of the slots, if an execution took as long as on an idle upstream
    double fromMs; ///< deadlines
    double toMs;
    double slowFactor = 1; ///< of the executions, from the middle of the overload on
    unsigned queueLimit = 1000;
    double longLoad = 0; ///< in addition
    bool cold = false; ///< no lower load before, from which to learn execution times
};

// Equal deadlines, mixed ones, ones of a few execution times, upstreams that become slower during the overload, a queue
// limit that never binds, so that admission alone has to keep the queue servable, and too much work of both classes.
constexpr Overload Overloads[] = {
    {"5x", 5, 1000, 1000},
    {"5x, mixed deadlines", 5, 30, 1000},
    {"5x, short deadlines", 5, 25, 35},
    {"5x, slowing", 5, 200, 1000, 3},
    {"5x, no queue limit", 5, 100, 2000, 1, 1'000'000},
    {"5x, cold start", 5, 100, 1000, 1, 1000, 0, true},
    {"5x, both classes", 5, 100, 1000, 1, 1000, 3},
    {"1.2x", 1.2, 100, 1000},
};

void runOverload(const PoolSize &pool, const Setup &setup, const Overload &overload)
{
    Scenario scenario = makeScenario(overload.name, pool, 2, 8);
    scenario.queueLimit = overload.queueLimit;
    scenario.slowFrom = overload.slowFactor > 1 ? 5 : 1e9;
    scenario.slowFactor = overload.slowFactor;
    for (const auto &[load, from, to] :
         {std::tuple{overload.cold ? 0.001 : 0.5, 0, 2}, std::tuple{overload.load, 2, 8}}) {
        Stream stream = shortStream(rate(pool, load, ShortMs), from, to);
        stream.deadlineFromMs = overload.fromMs;
        stream.deadlineToMs = overload.toMs;
        scenario.streams.push_back(stream);
    }
    if (overload.longLoad > 0) {
        scenario.streams.push_back(longStream(rate(pool, overload.longLoad, LongMs), 0, 8));
    }
    const Result result = simulate(scenario, setup);
    const bool ok = result.goodput >= MinGoodput && result.refusalQuantileMs(0.99) < MaxRefusalMs;
    print(scenario, setup, result, passes(ok));
}

/// Adds long work to the short requests of `reference` and compares the p99 of short work.
void compareLong(const PoolSize &pool, const Setup &setup, const Scenario &reference)
{
    const double perSecond = rate(pool, 0.7, (1 - LongPart) * ShortMs + LongPart * LongMs);
    const Result without = simulate(reference, setup);
    print(reference, setup, without, true);
    for (const WorkClass declared : {WorkClass::Long, WorkClass::Short}) {
        Scenario with = reference;
        with.name = std::string(pool.name) + (declared == WorkClass::Long ? " long work" : " undeclared long work");
        with.streams = {shortStream(perSecond * (1 - LongPart), 0, with.measureTo),
                        longStream(perSecond * LongPart, 0, with.measureTo)};
        with.streams[1].declared = declared;
        const Result result = simulate(with, setup);
        const double slowdown = result.shortWork.quantileMs(0.99) / without.shortWork.quantileMs(0.99);
        print(with, setup, result, passes(slowdown <= MaxShortSlowdown));
        std::printf("     p99 of short work: %.2f times that without long work\n", slowdown);
    }
}

/// Long work at 70% load against short work alone: at the same load, and with the same short requests. Executions take
/// longer the more slots of the upstream are busy, which no dispatcher can change; the second comparison leaves this
/// effect out, since its reference has most slots idle.
void runLongWork(const PoolSize &pool, const Setup &setup)
{
    Scenario sameLoad = makeScenario("70% short", pool, 5, 30);
    sameLoad.longShare = 0.7;
    sameLoad.streams = {shortStream(rate(pool, 0.7, ShortMs), 0, 30)};
    compareLong(pool, setup, sameLoad);

    Scenario sameRequests = sameLoad;
    sameRequests.name = std::string(pool.name) + " same short requests";
    sameRequests.interference = 0;
    const double perSecond = rate(pool, 0.7, (1 - LongPart) * ShortMs + LongPart * LongMs);
    sameRequests.streams = {shortStream(perSecond * (1 - LongPart), 0, 30)};
    compareLong(pool, setup, sameRequests);
}

/// Team b uses 80% of its half of the busy slots; team a asks for 5 times the capacity from second 2 on.
void runSurge(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("surge of another team", pool, 2, 8);
    Stream steady = shortStream(rate(pool, 0.4, ShortMs * (1 + scenario.interference)), 0, 8);
    steady.team = "b";
    scenario.streams = {steady, shortStream(rate(pool, 0.3, ShortMs), 0, 2), shortStream(rate(pool, 5, ShortMs), 2, 8)};
    const Result result = simulate(scenario, setup);
    const Tally &team = result.streams[0];
    print(scenario, setup, result, passes(team.goodShare() >= MinSteadyTeamShare && result.goodput >= MinGoodput));
    std::printf("     steady team: %.4f in time, p50 %.2f ms, p99 %.2f ms\n",
                team.goodShare(),
                team.quantileMs(0.5),
                team.quantileMs(0.99));
}

/// As runSurge, but team a sends long work that is not declared.
void runLongSurge(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("long surge of another team", pool, 4, 20);
    Stream steady = shortStream(rate(pool, 0.4, ShortMs * (1 + scenario.interference)), 0, 20);
    steady.team = "b";
    Stream surge = longStream(rate(pool, 5, LongMs), 2, 20);
    surge.declared = WorkClass::Short;
    scenario.streams = {steady, surge};
    const Result result = simulate(scenario, setup);
    print(scenario, setup, result, passes(result.streams[0].goodShare() >= MinSteadyTeamShare));
}

/// Half of the upstreams are lost at 5 times overload. Goodput is relative to all slots.
void runLoss(const PoolSize &pool, const Setup &setup)
{
    Scenario scenario = makeScenario("5x, half lost", pool, 5, 8);
    scenario.lossAt = 5;
    scenario.streams = {shortStream(rate(pool, 0.5, ShortMs), 0, 2), shortStream(rate(pool, 5, ShortMs), 2, 8)};
    const Result result = simulate(scenario, setup);
    const int lost = pool.upstreams / 2;
    const double left = double(pool.upstreams - lost) / pool.upstreams;
    print(scenario,
          setup,
          result,
          passes(result.goodput >= MinGoodput * left && result.refusalQuantileMs(0.99) < MaxRefusalMs));
}

/// 5 times overload by 300 teams with equal weights; each must get its share, give or take the randomness of arrivals.
void runManyTeams(const PoolSize &pool, const Setup &setup)
{
    constexpr int Teams = 300;
    Scenario scenario = makeScenario("5x, 300 teams", pool, 2, 8);
    for (int n = 0; n < Teams; ++n) {
        // Every third team asks for four times as much as the others.
        Stream stream = shortStream(rate(pool, 5, ShortMs) / Teams * (n % 3 == 0 ? 2 : 0.5), 0, 8);
        stream.team = "team" + std::to_string(n);
        scenario.streams.push_back(stream);
    }
    const Result result = simulate(scenario, setup);
    std::uint64_t heavy = 0;
    std::uint64_t light = 0;
    for (int n = 0; n < Teams; ++n) {
        (n % 3 == 0 ? heavy : light) += result.streams[std::size_t(n)].good;
    }
    print(
        scenario, setup, result, passes(result.goodput >= MinGoodput && result.refusalQuantileMs(0.99) < MaxRefusalMs));
    std::printf("     requests served, a heavy team / a light one: %.2f\n", 2 * double(heavy) / double(light));
}

void runAll(const PoolSize &pool, Setup setup)
{
    setup.placement = LongPlacement::SharePerUpstream;
    runSteady(pool, setup);
    runUneven(pool, setup);
    runStuck(pool, setup);
    runSurge(pool, setup);
    runLongSurge(pool, setup);
    runLoss(pool, setup);
    runManyTeams(pool, setup);
    for (const Overload &overload : Overloads) {
        runOverload(pool, setup, overload);
    }
    for (const LongPlacement placement : Placements) {
        setup.placement = placement;
        runLongWork(pool, setup);
    }
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
            if (argc <= 2 || setup.policy == argv[2]) {
                runAll(pool, setup);
            }
        }
    }
    std::printf("%d bounds missed\n", failures);
    return failures == 0 ? 0 : 1;
}
