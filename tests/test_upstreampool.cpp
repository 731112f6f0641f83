#include "laburnumspar/upstreampool.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

RegisteredUpstream makeUpstream(const std::string &id, const std::string &zone = "palermo", unsigned slots = 4)
{
    RegisteredUpstream upstream;
    upstream.id = id;
    upstream.service = "orders";
    upstream.address = {"10.0.0.1", std::uint16_t(1000 + id.size())};
    upstream.zone = zone;
    upstream.slots = slots;
    return upstream;
}

struct Fixture {
    Fixture()
    {
        for (const auto *id : {"a", "b", "c", "d"}) {
            pool.put(makeUpstream(id), now);
        }
    }

    std::optional<UpstreamPool::Choice> start(bool finalAttempt, std::vector<std::string> exclude = {})
    {
        return pool.startAttempt({&latency, finalAttempt, allowTrial, std::move(exclude)}, now);
    }

    /// Starts one attempt for each end at the named upstream, then ends them one after the other.
    void run(const std::vector<AttemptOutcome> &ends, const std::string &only)
    {
        std::vector<std::string> others;
        for (const auto &it : pool.summaries(now)) {
            if (it.id != only) {
                others.push_back(it.id);
            }
        }
        std::vector<UpstreamPool::AttemptId> attempts;
        for (std::size_t n = 0; n < ends.size(); ++n) {
            const auto choice = start(false, others);
            BOOST_REQUIRE(choice);
            attempts.push_back(choice->attempt);
        }
        for (std::size_t n = 0; n < ends.size(); ++n) {
            now += 30ms;
            pool.finishAttempt(attempts[n], ends[n], std::nullopt, now);
        }
    }

    void run(AttemptOutcome end, const std::string &only, int times)
    {
        run(std::vector<AttemptOutcome>(std::size_t(times), end), only);
    }

    double faultOf(const std::string &id)
    {
        for (const auto &it : pool.summaries(now)) {
            if (it.id == id) {
                return it.faultProbability;
            }
        }
        return -1;
    }

    /// Earns the credit that trials cost.
    void earnTrials()
    {
        choices(true, 30);
    }

    std::map<std::string, int> choices(bool finalAttempt, int times)
    {
        std::map<std::string, int> counts;
        for (int n = 0; n < times; ++n) {
            const auto choice = start(finalAttempt);
            BOOST_REQUIRE(choice);
            ++counts[choice->upstream.id];
            pool.finishAttempt(choice->attempt, AttemptOutcome::Refused, std::nullopt, now);
        }
        return counts;
    }

    bool allowTrial = true;
    LatencyModel latency{100ms};
    TimePoint now{1000s};
    UpstreamPool pool{"palermo", 1};
};

} // namespace

// Guards against work that has one chance at an upstream that has just failed twice.
BOOST_FIXTURE_TEST_CASE(failingUpstreamGetsNoWorkWithOneChance, Fixture)
{
    run(AttemptOutcome::Failure, "a", 2);
    BOOST_TEST(faultOf("a") > 0.8);
    BOOST_TEST(choices(true, 100)["a"] == 0);
}

// Guards against an upstream that hangs most of its work and is trusted again after each answer.
BOOST_FIXTURE_TEST_CASE(singleAnswerDoesNotClearAFailingUpstream, Fixture)
{
    run({AttemptOutcome::Timeout, AttemptOutcome::Timeout, AttemptOutcome::Timeout, AttemptOutcome::Success}, "a");
    BOOST_TEST(faultOf("a") > 0.5);
    run(AttemptOutcome::Success, "b", 4);
    BOOST_TEST(faultOf("b") < 0.02);
}

// Guards against learning of a hanging upstream only when its requests time out.
BOOST_FIXTURE_TEST_CASE(silenceOfRunningWorkRaisesTheProbability, Fixture)
{
    run(AttemptOutcome::Success, "a", 2);
    pool.takeObservations(now);
    const auto first = start(false, {"b", "c", "d"});
    const auto second = start(false, {"b", "c", "d"});
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    const double atStart = faultOf("a");
    now += 100ms;
    BOOST_TEST(faultOf("a") < 0.2);
    now += 400ms;
    BOOST_TEST(faultOf("a") > 0.5);
    BOOST_TEST(atStart < 0.1);
    const auto observations = pool.takeObservations(now);
    BOOST_REQUIRE(observations.size() == 1U);
    BOOST_TEST(observations[0].id == "a");
    BOOST_TEST(observations[0].failures == 1U);
    BOOST_TEST(pool.takeObservations(now).empty());
}

// Guards against avoiding an upstream for ever: it is tried with work that can be repeated, rarely at first and soon
// again after a good trial.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamIsTriedFromTimeToTime, Fixture)
{
    run(AttemptOutcome::Timeout, "a", 4);
    BOOST_TEST(choices(false, 50)["a"] == 0);
    now += 1300ms;
    earnTrials();
    BOOST_TEST(choices(false, 50)["a"] == 1);
    BOOST_TEST(choices(true, 50)["a"] == 0);
}

// Guards against an upstream that is neither trusted nor tried: a doubtful one gets work within two seconds.
BOOST_FIXTURE_TEST_CASE(doubtfulUpstreamIsNotLeftIdle, Fixture)
{
    run(AttemptOutcome::Success, "a", 2);
    pool.addRemoteObservation({"a", 0, 2, {}}, now);
    BOOST_TEST(faultOf("a") > 0.25);
    BOOST_TEST(faultOf("a") < 0.5);
    std::vector<UpstreamPool::AttemptId> running;
    int seen = 0;
    for (int n = 0; n < 100; ++n) {
        now += 20ms;
        const auto choice = start(false);
        BOOST_REQUIRE(choice);
        seen += choice->upstream.id == "a";
        pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
        if (choice->upstream.id == "a") {
            break;
        }
    }
    BOOST_TEST(seen == 1);
}

// Guards against trust in a success whose work began long ago: the upstream may hang since.
BOOST_FIXTURE_TEST_CASE(lateSuccessTellsOfItsBeginning, Fixture)
{
    run({AttemptOutcome::Timeout, AttemptOutcome::Timeout}, "b"); // a share of faulty upstreams to expect
    run({AttemptOutcome::Timeout, AttemptOutcome::Timeout}, "c");
    now += 600ms;
    const auto choice = start(false, {"b", "c", "d"});
    BOOST_REQUIRE(choice);
    now += 3s;
    pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
    const double afterLate = faultOf("a");
    BOOST_TEST(afterLate > 0.1);
    run({AttemptOutcome::Success}, "a");
    BOOST_TEST(faultOf("a") < afterLate / 2);
}

// Guards against work with one chance that goes to upstreams of which nothing is known, as just after a start.
BOOST_FIXTURE_TEST_CASE(workWithOneChancePrefersUpstreamsThatHaveAnswered, Fixture)
{
    run(AttemptOutcome::Success, "a", 1);
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(bool(start(true, {"b", "c", "d"})));
    }
    BOOST_TEST(choices(true, 50)["a"] == 50);
    BOOST_TEST(bool(start(true, {"a"})));
}

// Guards against instances that spend their trials on the same faulty upstream.
BOOST_FIXTURE_TEST_CASE(trialsAreToldToOthers, Fixture)
{
    run(AttemptOutcome::Timeout, "a", 4);
    pool.takeObservations(now);
    now += 1300ms;
    earnTrials();
    pool.takeObservations(now);
    BOOST_TEST(choices(false, 50)["a"] == 1);
    const auto observations = pool.takeObservations(now);
    const auto told = std::any_of(
        observations.begin(), observations.end(), [](const UpstreamPool::Observation &it) { return it.id == "a"; });
    BOOST_TEST(told);
    UpstreamPool other("palermo", 2);
    other.put(makeUpstream("a"), now);
    other.put(makeUpstream("b"), now);
    other.addRemoteObservation({"a", 0, 5, {}}, now);
    now += 1300ms;
    other.addRemoteObservation({"a", 0, 0, {}}, now);
    for (int n = 0; n < 50; ++n) {
        const auto choice = other.startAttempt({&latency, false, true, {}}, now);
        BOOST_REQUIRE(choice);
        BOOST_TEST(choice->upstream.id == "b");
        other.finishAttempt(choice->attempt, AttemptOutcome::Refused, std::nullopt, now);
    }
}

// Guards against one fault that each instance has to find by itself.
BOOST_FIXTURE_TEST_CASE(observationsOfOtherInstancesCount, Fixture)
{
    pool.addRemoteObservation({"a", 0, 3, {}}, now);
    BOOST_TEST(faultOf("a") > 0.6);
    BOOST_TEST(choices(true, 50)["a"] == 0);
    pool.addRemoteObservation({"unknown", 0, 3, {}}, now);
}

// Guards against more work than an upstream has slots, also by other instances that it reports.
BOOST_FIXTURE_TEST_CASE(slotsAreNotExceeded, Fixture)
{
    for (int n = 0; n < 16; ++n) {
        BOOST_TEST(bool(start(true)));
    }
    BOOST_TEST(!start(true));
    BOOST_TEST(pool.inFlight(now) == 16U);
    BOOST_TEST(pool.freeSlots(now) == 0);
}

BOOST_FIXTURE_TEST_CASE(reportedForeignWorkTakesSlots, Fixture)
{
    const auto choice = start(true, {"b", "c", "d"});
    pool.finishAttempt(choice->attempt, AttemptOutcome::Success, ReportedLoad{4, 1, 4}, now);
    BOOST_TEST(!start(true, {"b", "c", "d"}));
    now += 3s;
    BOOST_TEST(bool(start(true, {"b", "c", "d"})));
}

// Guards against bytes between zones while the own zone has room.
BOOST_FIXTURE_TEST_CASE(ownZoneIsPreferred, Fixture)
{
    pool.put(makeUpstream("far", "messina"), now);
    BOOST_TEST(choices(true, 100)["far"] == 0);
}

// Guards against work for an upstream that drains, and against a crash when its attempts end later.
BOOST_FIXTURE_TEST_CASE(drainingUpstreamGetsNothingMore, Fixture)
{
    const auto running = start(true, {"b", "c", "d"});
    auto draining = makeUpstream("a");
    draining.phase = UpstreamPhase::Draining;
    pool.put(draining, now);
    BOOST_TEST(!pool.contains("a"));
    pool.finishAttempt(running->attempt, AttemptOutcome::Success, std::nullopt, now);
    BOOST_TEST(choices(true, 50)["a"] == 0);
}

// Guards against what was learned of an earlier start that had the same identity.
BOOST_FIXTURE_TEST_CASE(newStartUnderTheSameIdentityIsUnknown, Fixture)
{
    run(AttemptOutcome::Timeout, "a", 4);
    auto again = makeUpstream("a");
    again.startedAtMs = 99;
    pool.put(again, now);
    BOOST_TEST(faultOf("a") < 0.4);
}

// Guards against work that has one chance at a faulty upstream because all sound ones are busy: waiting is better.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamGetsNothingWhileSoundOnesAreBusy, Fixture)
{
    run(AttemptOutcome::Timeout, "a", 3);
    for (int n = 0; n < 12; ++n) {
        BOOST_TEST(bool(start(true)));
    }
    BOOST_TEST(!start(true));
    BOOST_TEST(!start(false));
    BOOST_TEST(pool.freeSlots(now) == 0);
}

// Guards against refusing all work when every upstream seems to be faulty.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamsAreUsedWhenThereAreNoOthers, Fixture)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        run(AttemptOutcome::Timeout, id, 3);
    }
    BOOST_TEST(bool(start(true)));
}

// Guards against second attempts that are all spent on trials when a third of many upstreams is faulty.
BOOST_AUTO_TEST_CASE(trialsAreAFewOfTheRequests)
{
    LatencyModel latency(100ms);
    TimePoint now{1000s};
    UpstreamPool pool("palermo", 1);
    for (int n = 0; n < 100; ++n) {
        pool.put(makeUpstream("u" + std::to_string(n)), now);
    }
    const auto isFaulty = [](const std::string &id) { return std::stoi(id.substr(1)) < 30; };
    int trials = 0;
    constexpr int Requests = 4000;
    for (int n = 0; n < Requests; ++n) {
        now += 2ms;
        const auto choice = pool.startAttempt({&latency, false, true, {}}, now);
        BOOST_REQUIRE(choice);
        const bool faulty = isFaulty(choice->upstream.id);
        trials += faulty ? 1 : 0;
        pool.finishAttempt(
            choice->attempt, faulty ? AttemptOutcome::Timeout : AttemptOutcome::Success, std::nullopt, now);
    }
    // The first attempts find out which upstreams are faulty.
    BOOST_TEST(trials > 100);
    BOOST_TEST(trials < Requests / 7);
}

// Guards against trials that cannot be repeated when they fail.
BOOST_FIXTURE_TEST_CASE(noTrialsWithoutABudgetForRepeats, Fixture)
{
    run(AttemptOutcome::Timeout, "a", 4);
    now += 2100ms;
    earnTrials();
    allowTrial = false;
    BOOST_TEST(choices(false, 50)["a"] == 0);
}

// Guards against upstreams that join and get no work because the known ones are preferred.
BOOST_FIXTURE_TEST_CASE(newUpstreamGetsWorkSoon, Fixture)
{
    choices(true, 40);
    pool.put(makeUpstream("new", "messina"), now);
    BOOST_TEST(choices(false, 1)["new"] == 1);
}

// Guards against an upstream that has recovered and is avoided until work which it lost before has timed out.
BOOST_FIXTURE_TEST_CASE(lostWorkOfEarlierDoesNotSpeakAgainstARecoveredUpstream, Fixture)
{
    const auto lost = start(false, {"b", "c", "d"});
    BOOST_REQUIRE(lost);
    now += 800ms;
    BOOST_TEST(faultOf("a") > 0.5);
    for (int n = 0; n < 3; ++n) {
        now += 1300ms;
        earnTrials();
        const auto trial = start(false, {"b", "c", "d"});
        BOOST_REQUIRE(trial);
        now += 90ms;
        pool.finishAttempt(trial->attempt, AttemptOutcome::Success, std::nullopt, now);
    }
    BOOST_TEST(faultOf("a") < 0.1);
    pool.finishAttempt(lost->attempt, AttemptOutcome::Timeout, std::nullopt, now);
    BOOST_TEST(faultOf("a") < 0.1);
}

// Guards against sound upstreams without work while others fail: the users' floor counts those that get requests.
BOOST_FIXTURE_TEST_CASE(repeatableWorkReachesEverySoundUpstream, Fixture)
{
    auto cold = makeUpstream("cold");
    cold.warmupLeft = 3s;
    pool.put(cold, now);
    std::map<std::string, int> counts;
    for (int n = 0; n < 20; ++n) {
        now += 100ms;
        for (const auto &[id, count] : choices(false, 1)) {
            counts[id] += count;
        }
    }
    for (const auto *id : {"a", "b", "c", "d", "cold"}) {
        BOOST_TEST(counts[id] > 0);
    }
}
