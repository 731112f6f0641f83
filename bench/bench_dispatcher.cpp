#include "dispatchersimulation.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <tuple>
#include <vector>

// Simulates one dispatcher in virtual time and checks the bounds of docs/design.md, section 2.
// Usage: bench_dispatcher [SEED [POLICY]], by default with seed 1 and all policies.
// Exits with 1 if a bound is missed.

using namespace laburnumspar;
using namespace laburnumspar::bench;

namespace {

constexpr double MinGoodput = 0.95; // share of the slot capacity, at 5 times overload
constexpr double MaxShortSlowdown = 1.3; // p99 of short requests with long requests / without them
constexpr double MaxRefusalMs = 50; // p99 of the time from submission to refusal
// A surge of another team must not affect a team that stays below its share.
constexpr double MinTeamInTimeShare = 0.99;
// Below capacity, no requests are refused or late.
constexpr double MinInTimeShare = 0.9999;
constexpr double MaxRefusedShareWithStuckUpstream = 0.001;

constexpr double ShortMs = 5;
constexpr double LongMs = 100 * ShortMs;
constexpr double LongShare = 0.05; // of the requests

struct PoolSize {
    const char *name;
    int upstreams;
    unsigned slots;
};

// The upstreams of one dispatcher: a third of those of orders, a quarter of those of ticketing.
constexpr PoolSize Pools[] = {{"orders", 7, 6}, {"ticketing", 4, 3}};
constexpr const char *Policies[] = {"least-loaded", "two-choices", "round-robin"};
constexpr LongPlacement Placements[] = {LongPlacement::SharePerUpstream, LongPlacement::FewUpstreams};

int missedBounds = 0;

/// Counts a missed bound and returns `withinBounds`.
bool check(bool withinBounds)
{
    missedBounds += withinBounds ? 0 : 1;
    return withinBounds;
}

/// Returns the requests per second that use `load` times the slots at this mean execution time.
double requestRate(const PoolSize &pool, double load, double meanMs)
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

RequestStream shortStream(double perSecond, double from, double to)
{
    RequestStream stream;
    stream.team = "a";
    stream.route = "/short";
    stream.perSecond = perSecond;
    stream.meanRunMs = ShortMs;
    stream.from = from;
    stream.to = to;
    return stream;
}

RequestStream longStream(double perSecond, double from, double to)
{
    RequestStream stream = shortStream(perSecond, from, to);
    stream.route = "/long";
    stream.declared = RequestClass::Long;
    stream.isLong = true;
    stream.meanRunMs = LongMs;
    stream.minDeadlineMs = stream.maxDeadlineMs = 20'000;
    return stream;
}

void print(const Scenario &scenario, const DispatcherOptions &options, const SimulationResult &result, bool ok)
{
    const RequestStats &stats = result.shortRequests;
    std::printf("%-4s %-30s %-12s %-18s %6.3f %8.2f %8.2f %8.2f %8.4f %8.4f %8.4f %8.1f %8.1f %7.0f\n",
                ok ? "ok" : "FAIL",
                scenario.name.c_str(),
                options.policy.c_str(),
                std::string(name(options.placement)).c_str(),
                result.goodput,
                stats.quantileMs(0.5),
                stats.quantileMs(0.99),
                stats.quantileMs(0.999),
                double(stats.refused) / double(stats.submitted),
                double(stats.timedOut) / double(stats.submitted),
                result.longRequests.inTimeShare(),
                result.refusalQuantileMs(0.99),
                result.refusalQuantileMs(1),
                result.nsPerDecision);
}

void runSteady(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("steady", pool, 1, 11);
    scenario.streams = {shortStream(requestRate(pool, 0.7, ShortMs), 0, 11)};
    const SimulationResult result = simulate(scenario, options);
    print(scenario, options, result, check(result.shortRequests.inTimeShare() >= MinInTimeShare));
}

/// One upstream takes three times as long, which shows the differences between the policies.
void runSlowUpstream(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("one slow upstream", pool, 1, 11);
    scenario.slowUpstreams = 1;
    scenario.streams = {shortStream(requestRate(pool, 0.5, ShortMs), 0, 11)};
    const SimulationResult result = simulate(scenario, options);
    print(scenario, options, result, check(result.shortRequests.inTimeShare() >= MinInTimeShare));
}

/// One upstream answers no request in time and is never ejected. Its slots are lost; the other upstreams must serve the
/// remaining load, and the timeouts must not make the dispatcher classify the route as long or expect its requests to
/// miss their deadlines.
void runStuckUpstream(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("one stuck upstream", pool, 1, 11);
    scenario.slowUpstreams = 1;
    scenario.slowUpstreamFactor = 1000;
    scenario.longShare = 0.3;
    scenario.streams = {shortStream(requestRate(pool, 0.4, ShortMs), 0, 11)};
    scenario.streams[0].minDeadlineMs = scenario.streams[0].maxDeadlineMs = 200;
    const SimulationResult result = simulate(scenario, options);
    const double refused = double(result.shortRequests.refused) / double(result.shortRequests.submitted);
    print(scenario, options, result, check(refused <= MaxRefusedShareWithStuckUpstream));
}

struct Overload {
    const char *name;
    double load; ///< ratio to the slots, with the execution times of an idle upstream
    double minDeadlineMs;
    double maxDeadlineMs;
    double slowFactor = 1; ///< on the execution times, from the middle of the overload on
    unsigned queueLimit = 1000;
    double longLoad = 0; ///< ratio of additional long requests to the slots
    bool coldStart = false; ///< almost no load beforehand from which to learn execution times
};

// In this order: equal deadlines, mixed deadlines, deadlines of a few execution times, upstreams that become slower
// during the overload, a queue limit that is never reached, so that admission alone must keep the queue short enough to
// meet the deadlines, no learned execution times, an overload of both classes, and a slight overload.
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

void runOverload(const PoolSize &pool, const DispatcherOptions &options, const Overload &overload)
{
    Scenario scenario = makeScenario(overload.name, pool, 2, 8);
    scenario.queueLimit = overload.queueLimit;
    scenario.slowFrom = overload.slowFactor > 1 ? 5 : 1e9;
    scenario.slowFactor = overload.slowFactor;
    for (const auto &[load, from, to] :
         {std::tuple{overload.coldStart ? 0.001 : 0.5, 0, 2}, std::tuple{overload.load, 2, 8}}) {
        RequestStream stream = shortStream(requestRate(pool, load, ShortMs), from, to);
        stream.minDeadlineMs = overload.minDeadlineMs;
        stream.maxDeadlineMs = overload.maxDeadlineMs;
        scenario.streams.push_back(stream);
    }
    if (overload.longLoad > 0) {
        scenario.streams.push_back(longStream(requestRate(pool, overload.longLoad, LongMs), 0, 8));
    }
    const SimulationResult result = simulate(scenario, options);
    const bool ok = result.goodput >= MinGoodput && result.refusalQuantileMs(0.99) < MaxRefusalMs;
    print(scenario, options, result, check(ok));
}

/// Compares the p99 of short requests in `reference` with that in a mix of short and long requests at 70% load.
void compareWithLongRequests(const PoolSize &pool, const DispatcherOptions &options, const Scenario &reference)
{
    const double perSecond = requestRate(pool, 0.7, (1 - LongShare) * ShortMs + LongShare * LongMs);
    const SimulationResult without = simulate(reference, options);
    print(reference, options, without, true);
    for (const RequestClass declared : {RequestClass::Long, RequestClass::Short}) {
        Scenario with = reference;
        with.name = std::string(pool.name) + (declared == RequestClass::Long ? " long work" : " undeclared long work");
        with.streams = {shortStream(perSecond * (1 - LongShare), 0, with.measureTo),
                        longStream(perSecond * LongShare, 0, with.measureTo)};
        with.streams[1].declared = declared;
        const SimulationResult result = simulate(with, options);
        const double slowdown = result.shortRequests.quantileMs(0.99) / without.shortRequests.quantileMs(0.99);
        print(with, options, result, check(slowdown <= MaxShortSlowdown));
        std::printf("     p99 of short requests: %.2f times that without long requests\n", slowdown);
    }
}

/// Compares long and short requests at 70% load with short requests alone: once at the same load, once with the same
/// short requests. Executions take longer the more slots of the upstream are busy, which no dispatcher can change; the
/// second comparison disables this effect, because most slots are idle in its reference.
void runLongRequests(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario sameLoad = makeScenario("70% short", pool, 5, 30);
    sameLoad.longShare = 0.7;
    sameLoad.streams = {shortStream(requestRate(pool, 0.7, ShortMs), 0, 30)};
    compareWithLongRequests(pool, options, sameLoad);

    Scenario sameRequests = sameLoad;
    sameRequests.name = std::string(pool.name) + " same short requests";
    sameRequests.interference = 0;
    const double perSecond = requestRate(pool, 0.7, (1 - LongShare) * ShortMs + LongShare * LongMs);
    sameRequests.streams = {shortStream(perSecond * (1 - LongShare), 0, 30)};
    compareWithLongRequests(pool, options, sameRequests);
}

/// Team b uses 80% of its half of the busy slots; team a asks for 5 times the capacity from second 2 on.
void runSurge(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("surge of another team", pool, 2, 8);
    RequestStream steady = shortStream(requestRate(pool, 0.4, ShortMs * (1 + scenario.interference)), 0, 8);
    steady.team = "b";
    scenario.streams = {
        steady, shortStream(requestRate(pool, 0.3, ShortMs), 0, 2), shortStream(requestRate(pool, 5, ShortMs), 2, 8)};
    const SimulationResult result = simulate(scenario, options);
    const RequestStats &team = result.streams[0];
    print(scenario, options, result, check(team.inTimeShare() >= MinTeamInTimeShare && result.goodput >= MinGoodput));
    std::printf("     steady team: %.4f in time, p50 %.2f ms, p99 %.2f ms\n",
                team.inTimeShare(),
                team.quantileMs(0.5),
                team.quantileMs(0.99));
}

/// Like runSurge(), but team a sends long requests that are declared short.
void runLongSurge(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("long surge of another team", pool, 4, 20);
    RequestStream steady = shortStream(requestRate(pool, 0.4, ShortMs * (1 + scenario.interference)), 0, 20);
    steady.team = "b";
    RequestStream surge = longStream(requestRate(pool, 5, LongMs), 2, 20);
    surge.declared = RequestClass::Short;
    scenario.streams = {steady, surge};
    const SimulationResult result = simulate(scenario, options);
    print(scenario, options, result, check(result.streams[0].inTimeShare() >= MinTeamInTimeShare));
}

/// Half of the upstreams are lost at 5 times overload. The goodput is relative to all slots, including the lost ones.
void runUpstreamLoss(const PoolSize &pool, const DispatcherOptions &options)
{
    Scenario scenario = makeScenario("5x, half lost", pool, 5, 8);
    scenario.lossAt = 5;
    scenario.streams
        = {shortStream(requestRate(pool, 0.5, ShortMs), 0, 2), shortStream(requestRate(pool, 5, ShortMs), 2, 8)};
    const SimulationResult result = simulate(scenario, options);
    const int lost = pool.upstreams / 2;
    const double remainingCapacity = double(pool.upstreams - lost) / pool.upstreams;
    print(scenario,
          options,
          result,
          check(result.goodput >= MinGoodput * remainingCapacity && result.refusalQuantileMs(0.99) < MaxRefusalMs));
}

/// 5 times overload by 300 teams with equal weights. The printed ratio of served requests, per team, is near 1 if every
/// team gets its share, apart from the randomness of arrivals.
void runManyTeams(const PoolSize &pool, const DispatcherOptions &options)
{
    constexpr int Teams = 300;
    Scenario scenario = makeScenario("5x, 300 teams", pool, 2, 8);
    for (int n = 0; n < Teams; ++n) {
        // Every third team asks for four times as much as the others.
        RequestStream stream = shortStream(requestRate(pool, 5, ShortMs) / Teams * (n % 3 == 0 ? 2 : 0.5), 0, 8);
        stream.team = "team" + std::to_string(n);
        scenario.streams.push_back(stream);
    }
    const SimulationResult result = simulate(scenario, options);
    std::uint64_t heavy = 0;
    std::uint64_t light = 0;
    for (int n = 0; n < Teams; ++n) {
        (n % 3 == 0 ? heavy : light) += result.streams[std::size_t(n)].inTime;
    }
    print(scenario,
          options,
          result,
          check(result.goodput >= MinGoodput && result.refusalQuantileMs(0.99) < MaxRefusalMs));
    std::printf("     requests served, heavy team / light team: %.2f\n", 2 * double(heavy) / double(light));
}

void runAll(const PoolSize &pool, DispatcherOptions options)
{
    options.placement = LongPlacement::SharePerUpstream;
    runSteady(pool, options);
    runSlowUpstream(pool, options);
    runStuckUpstream(pool, options);
    runSurge(pool, options);
    runLongSurge(pool, options);
    runUpstreamLoss(pool, options);
    runManyTeams(pool, options);
    for (const Overload &overload : Overloads) {
        runOverload(pool, options, overload);
    }
    for (const LongPlacement placement : Placements) {
        options.placement = placement;
        runLongRequests(pool, options);
    }
}

} // namespace

int main(int argc, char **argv)
{
    DispatcherOptions options;
    options.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
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
            options.policy = policy;
            if (argc <= 2 || options.policy == argv[2]) {
                runAll(pool, options);
            }
        }
    }
    std::printf("%d bounds missed\n", missedBounds);
    return missedBounds == 0 ? 0 : 1;
}
