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

    /// Starts one attempt per outcome at the upstream `only`, then finishes them 30 ms apart.
    void runAttempts(const std::vector<AttemptOutcome> &outcomes, const std::string &only)
    {
        std::vector<std::string> others;
        for (const auto &it : pool.summaries(now)) {
            if (it.id != only) {
                others.push_back(it.id);
            }
        }
        std::vector<UpstreamPool::AttemptId> attempts;
        for (std::size_t n = 0; n < outcomes.size(); ++n) {
            const auto choice = start(false, others);
            BOOST_REQUIRE(choice);
            attempts.push_back(choice->attempt);
        }
        for (std::size_t n = 0; n < outcomes.size(); ++n) {
            now += 30ms;
            pool.finishAttempt(attempts[n], outcomes[n], std::nullopt, now);
        }
    }

    void runAttempts(AttemptOutcome outcome, const std::string &only, int times)
    {
        runAttempts(std::vector<AttemptOutcome>(std::size_t(times), outcome), only);
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

    /// Starts enough requests to earn the credit for trials.
    void earnTrialCredit()
    {
        countChoices(true, 30);
    }

    /// Lets time pass in which all upstreams but one serve requests.
    void keepOthersBusy(const std::string &except, Milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += 50ms;
            for (const auto &it : pool.summaries(now)) {
                if (it.id != except) {
                    pool.addRemoteObservation({it.id, 1, 0, {}}, now);
                }
            }
        }
        earnTrialCredit();
    }

    /// Number of selections by upstream. The attempts end at once and leave no evidence.
    std::map<std::string, int> countChoices(bool finalAttempt, int times)
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

// Guards against final attempts at an upstream that has just failed twice.
BOOST_FIXTURE_TEST_CASE(failingUpstreamReceivesNoFinalAttempts, Fixture)
{
    runAttempts(AttemptOutcome::Failure, "a", 2);
    BOOST_TEST(faultOf("a") > 0.8);
    BOOST_TEST(countChoices(true, 100)["a"] == 0);
}

// Guards against an upstream that leaves most requests without a response and counts as healthy again after each
// success.
BOOST_FIXTURE_TEST_CASE(singleSuccessDoesNotClearAFailingUpstream, Fixture)
{
    runAttempts({AttemptOutcome::Timeout, AttemptOutcome::Timeout, AttemptOutcome::Timeout, AttemptOutcome::Success},
                "a");
    BOOST_TEST(faultOf("a") > 0.5);
    runAttempts(AttemptOutcome::Success, "b", 4);
    BOOST_TEST(faultOf("b") < 0.02);
}

// Guards against detecting an unresponsive upstream only when its requests time out.
BOOST_FIXTURE_TEST_CASE(pendingAttemptsRaiseTheFaultProbability, Fixture)
{
    runAttempts(AttemptOutcome::Success, "a", 2);
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

// Guards against avoiding a faulty upstream forever: it receives trials, rarely at first and more often after a
// successful one, but only with requests that can be retried.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamReceivesOccasionalTrials, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    BOOST_TEST(countChoices(false, 50)["a"] == 0);
    keepOthersBusy("a", 2700ms);
    BOOST_TEST(countChoices(false, 50)["a"] == 0);
    keepOthersBusy("a", 400ms);
    BOOST_TEST(countChoices(false, 50)["a"] == 1);
    BOOST_TEST(countChoices(true, 50)["a"] == 0);
}

// Guards against leaving healthy upstreams idle because they were faulty once: if too many upstreams have no requests,
// even final attempts reach them.
BOOST_FIXTURE_TEST_CASE(finalAttemptsReachIdleUpstreamsIfTooManyAreIdle, Fixture)
{
    for (const auto *id : {"a", "b"}) {
        runAttempts(AttemptOutcome::Timeout, id, 4);
    }
    std::map<std::string, int> counts;
    for (int n = 0; n < 40; ++n) {
        now += 100ms;
        for (const auto &[id, count] : countChoices(true, 1)) {
            counts[id] += count;
        }
    }
    BOOST_TEST(counts["a"] > 0);
    BOOST_TEST(counts["b"] > 0);
    BOOST_TEST(counts["a"] + counts["b"] < 8);
}

// Guards against several instances that each lose a request to find out about the same upstream.
BOOST_FIXTURE_TEST_CASE(onlyTheExplorerStartsTrials, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    pool.setExplorer([](const RegisteredUpstream &it) { return it.id != "a"; });
    keepOthersBusy("a", 3500ms);
    BOOST_TEST(countChoices(false, 50)["a"] == 0);
    pool.setExplorer([](const RegisteredUpstream &) { return true; });
    now += 300ms;
    BOOST_TEST(countChoices(false, 50)["a"] == 1);
}

// Guards against an upstream whose probability of a fault is too high to be preferred and too low for a trial: it
// receives a request within 2 s.
BOOST_FIXTURE_TEST_CASE(upstreamOfUncertainHealthIsNotLeftIdle, Fixture)
{
    runAttempts(AttemptOutcome::Success, "a", 2);
    pool.addRemoteObservation({"a", 0, 2, {}}, now);
    BOOST_TEST(faultOf("a") > 0.25);
    BOOST_TEST(faultOf("a") < 0.5);
    std::vector<UpstreamPool::AttemptId> pending;
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

// Guards against counting a late success in full: the upstream may have failed after the request started.
BOOST_FIXTURE_TEST_CASE(lateSuccessCountsForItsStartTime, Fixture)
{
    runAttempts({AttemptOutcome::Timeout, AttemptOutcome::Timeout}, "b"); // raises the prior
    runAttempts({AttemptOutcome::Timeout, AttemptOutcome::Timeout}, "c");
    now += 600ms;
    const auto choice = start(false, {"b", "c", "d"});
    BOOST_REQUIRE(choice);
    now += 3s;
    pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
    const double afterLate = faultOf("a");
    BOOST_TEST(afterLate > 0.1);
    runAttempts({AttemptOutcome::Success}, "a");
    BOOST_TEST(faultOf("a") < afterLate / 2);
}

// Guards against final attempts at upstreams without any evidence, as just after a start of the instance.
BOOST_FIXTURE_TEST_CASE(finalAttemptsPreferUpstreamsThatHaveResponded, Fixture)
{
    runAttempts(AttemptOutcome::Success, "a", 1);
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(bool(start(true, {"b", "c", "d"})));
    }
    BOOST_TEST(countChoices(true, 50)["a"] == 50);
    BOOST_TEST(bool(start(true, {"a"})));
}

// Guards against several instances that start trials of the same faulty upstream at the same time.
BOOST_FIXTURE_TEST_CASE(trialsAreReportedToOtherInstances, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    pool.takeObservations(now);
    keepOthersBusy("a", 3100ms);
    pool.takeObservations(now);
    BOOST_TEST(countChoices(false, 50)["a"] == 1);
    const auto observations = pool.takeObservations(now);
    const auto reported = std::any_of(
        observations.begin(), observations.end(), [](const UpstreamPool::Observation &it) { return it.id == "a"; });
    BOOST_TEST(reported);
    UpstreamPool other("palermo", 2);
    other.put(makeUpstream("a"), now);
    other.put(makeUpstream("b"), now);
    other.addRemoteObservation({"a", 0, 5, {}}, now);
    other.addRemoteObservation({"b", 1, 0, {}}, now);
    now += 3100ms;
    other.addRemoteObservation({"b", 1, 0, {}}, now);
    other.addRemoteObservation({"a", 0, 0, {}}, now);
    for (int n = 0; n < 50; ++n) {
        const auto choice = other.startAttempt({&latency, false, true, {}}, now);
        BOOST_REQUIRE(choice);
        BOOST_TEST(choice->upstream.id == "b");
        other.finishAttempt(choice->attempt, AttemptOutcome::Refused, std::nullopt, now);
    }
}

// Guards against a fault that each instance has to detect on its own.
BOOST_FIXTURE_TEST_CASE(observationsOfOtherInstancesCount, Fixture)
{
    pool.addRemoteObservation({"a", 0, 3, {}}, now);
    BOOST_TEST(faultOf("a") > 0.6);
    BOOST_TEST(countChoices(true, 50)["a"] == 0);
    pool.addRemoteObservation({"unknown", 0, 3, {}}, now);
}

// Guards against more pending requests than an upstream has slots.
BOOST_FIXTURE_TEST_CASE(slotsAreNotExceeded, Fixture)
{
    for (int n = 0; n < 16; ++n) {
        BOOST_TEST(bool(start(true)));
    }
    BOOST_TEST(!start(true));
    BOOST_TEST(pool.inFlight(now) == 16U);
    BOOST_TEST(pool.freeSlots(now) == 0);
}

// Guards against ignoring the requests of other instances that an upstream reports.
BOOST_FIXTURE_TEST_CASE(reportedExternalLoadTakesSlots, Fixture)
{
    const auto choice = start(true, {"b", "c", "d"});
    pool.finishAttempt(choice->attempt, AttemptOutcome::Success, ReportedLoad{4, 1, 4}, now);
    BOOST_TEST(!start(true, {"b", "c", "d"}));
    now += 3s;
    BOOST_TEST(bool(start(true, {"b", "c", "d"})));
}

// Guards against traffic between zones while upstreams of the own zone have free slots.
BOOST_FIXTURE_TEST_CASE(ownZoneIsPreferred, Fixture)
{
    pool.put(makeUpstream("far", "messina"), now);
    BOOST_TEST(countChoices(true, 100)["far"] == 0);
}

// Guards against new requests for a draining upstream, and against a crash when its pending attempts end later.
BOOST_FIXTURE_TEST_CASE(drainingUpstreamReceivesNoRequests, Fixture)
{
    const auto pending = start(true, {"b", "c", "d"});
    auto draining = makeUpstream("a");
    draining.phase = UpstreamPhase::Draining;
    pool.put(draining, now);
    BOOST_TEST(!pool.contains("a"));
    pool.finishAttempt(pending->attempt, AttemptOutcome::Success, std::nullopt, now);
    BOOST_TEST(countChoices(true, 50)["a"] == 0);
}

// Guards against applying the evidence about an earlier process to a new one with the same identity.
BOOST_FIXTURE_TEST_CASE(restartUnderTheSameIdentityResetsTheEvidence, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    auto restarted = makeUpstream("a");
    restarted.startedAtMs = 99;
    pool.put(restarted, now);
    BOOST_TEST(faultOf("a") < 0.4);
}

// Guards against using a faulty upstream because all healthy ones are busy: it is better to wait for a slot.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamIsNotUsedWhileHealthyOnesAreBusy, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 3);
    for (int n = 0; n < 12; ++n) {
        BOOST_TEST(bool(start(true)));
    }
    BOOST_TEST(!start(true));
    BOOST_TEST(!start(false));
    BOOST_TEST(pool.freeSlots(now) == 0);
}

// Guards against refusing all requests when every upstream seems to be faulty.
BOOST_FIXTURE_TEST_CASE(faultyUpstreamsAreUsedWhenThereAreNoOthers, Fixture)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        runAttempts(AttemptOutcome::Timeout, id, 3);
    }
    BOOST_TEST(bool(start(true)));
}

// Guards against spending the whole retry budget on trials when a third of many upstreams is faulty.
BOOST_AUTO_TEST_CASE(trialsAreASmallShareOfTheRequests)
{
    LatencyModel latency(100ms);
    TimePoint now{1000s};
    UpstreamPool pool("palermo", 1);
    for (int n = 0; n < 100; ++n) {
        pool.put(makeUpstream("u" + std::to_string(n)), now);
    }
    const auto isFaulty = [](const std::string &id) { return std::stoi(id.substr(1)) < 30; };
    int trials = 0;
    std::map<std::string, int> attempts;
    constexpr int Requests = 4000;
    for (int n = 0; n < Requests; ++n) {
        now += 2ms;
        const auto choice = pool.startAttempt({&latency, false, true, {}}, now);
        BOOST_REQUIRE(choice);
        const bool faulty = isFaulty(choice->upstream.id);
        trials += faulty ? 1 : 0;
        ++attempts[choice->upstream.id];
        pool.finishAttempt(
            choice->attempt, faulty ? AttemptOutcome::Timeout : AttemptOutcome::Success, std::nullopt, now);
    }
    // Includes the first attempts, which detect the faulty upstreams.
    BOOST_TEST(trials < Requests / 7);
    for (int n = 0; n < 30; ++n) {
        BOOST_TEST(attempts["u" + std::to_string(n)] >= 2);
    }
}

// Guards against trials that cannot be retried when they fail.
BOOST_FIXTURE_TEST_CASE(noTrialsWithoutARetryBudget, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    now += 2100ms;
    earnTrialCredit();
    allowTrial = false;
    BOOST_TEST(countChoices(false, 50)["a"] == 0);
}

// Guards against a new upstream that receives no requests because known ones are preferred.
BOOST_FIXTURE_TEST_CASE(newUpstreamReceivesARequestAtOnce, Fixture)
{
    countChoices(true, 40);
    pool.put(makeUpstream("new", "messina"), now);
    BOOST_TEST(countChoices(false, 1)["new"] == 1);
}

// Guards against new upstreams that stay unused while the retry budget is spent, as after many failures: one without
// evidence against it receives a request within about a second, and no more if that fails.
BOOST_FIXTURE_TEST_CASE(upstreamWithoutEvidenceReceivesARequestWithoutARetryBudget, Fixture)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        runAttempts(AttemptOutcome::Success, id, 3);
    }
    pool.put(makeUpstream("new"), now);
    allowTrial = false;
    std::vector<Milliseconds> received;
    const auto added = now;
    while (now - added < 3s) {
        now += 20ms;
        const auto choice = start(false);
        BOOST_REQUIRE(choice);
        const bool isNew = choice->upstream.id == "new";
        if (isNew) {
            received.push_back(std::chrono::duration_cast<Milliseconds>(now - added));
        }
        pool.finishAttempt(
            choice->attempt, isNew ? AttemptOutcome::Timeout : AttemptOutcome::Success, std::nullopt, now);
    }
    BOOST_REQUIRE(received.size() == 1);
    BOOST_TEST(received.front().count() <= 1100);
}

// Guards against new upstreams that wait behind many faulty ones for the few requests that can be retried.
BOOST_FIXTURE_TEST_CASE(upstreamsWithoutEvidenceAreTriedBeforeFaultyOnes, Fixture)
{
    for (const auto *id : {"a", "b", "c"}) {
        runAttempts(AttemptOutcome::Timeout, id, 4);
    }
    earnTrialCredit();
    pool.put(makeUpstream("new"), now);
    for (int n = 0; n < 40; ++n) {
        now += 100ms;
        pool.addRemoteObservation({"d", 1, 0, {}}, now);
        if (n == 28) {
            pool.addRemoteObservation({"new", 1, 0, {}}, now);
        }
    }
    BOOST_TEST(faultOf("new") > 0.15);
    const auto choice = start(false);
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->upstream.id == "new");
}

// Guards against upstreams that have answered their first request and then stay unused: others fail meanwhile, which
// raises the probability of a fault of those that are idle, and few requests are idempotent.
BOOST_FIXTURE_TEST_CASE(finalAttemptsReachIdleUpstreamsThatHaveAnswered, Fixture)
{
    std::vector<std::string> faulty;
    for (int n = 0; n < 8; ++n) {
        faulty.push_back("faulty" + std::to_string(n));
        pool.put(makeUpstream(faulty.back()), now);
    }
    const auto report = [this](const std::string &id, unsigned successes, unsigned failures) {
        pool.addRemoteObservation({id, successes, failures, {}}, now);
    };
    for (const auto *id : {"b", "c", "d"}) {
        report(id, 20, 0);
    }
    report("a", 1, 0);
    std::vector<Milliseconds> received;
    const auto begin = now;
    while (now - begin < 3s) {
        now += 20ms;
        for (const auto *id : {"b", "c", "d"}) {
            report(id, 1, 0);
        }
        for (const auto &id : faulty) {
            report(id, 0, 1);
        }
        if (const auto idempotent = start(false, {"a"})) {
            pool.finishAttempt(idempotent->attempt, AttemptOutcome::Refused, std::nullopt, now);
        }
        const auto choice = start(true);
        BOOST_REQUIRE(choice);
        if (choice->upstream.id == "a") {
            received.push_back(std::chrono::duration_cast<Milliseconds>(now - begin));
        }
        pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
    }
    BOOST_REQUIRE(!received.empty());
    BOOST_TEST(received.front().count() <= 1100);
}

// Guards against new upstreams of a service without retryable requests that stay unused: with too few of them idle for
// trials of any health, only the evidence against an upstream may keep a final attempt from it.
BOOST_FIXTURE_TEST_CASE(finalAttemptsReachUpstreamsWithoutEvidence, Fixture)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        runAttempts(AttemptOutcome::Success, id, 3);
    }
    now += 1s; // since the last retryable request
    pool.put(makeUpstream("new"), now);
    int received = 0;
    for (int n = 0; n < 60; ++n) {
        now += 20ms;
        const auto choice = start(true);
        BOOST_REQUIRE(choice);
        received += choice->upstream.id == "new" ? 1 : 0;
        pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
    }
    BOOST_TEST(received >= 1);
}

// Guards against taking the slow first answers of an upstream that warms up for a fault.
BOOST_FIXTURE_TEST_CASE(slownessWhileWarmingUpIsWeakEvidence, Fixture)
{
    auto cold = makeUpstream("cold");
    cold.warmupLeft = 3s;
    pool.put(cold, now);
    pool.put(makeUpstream("warm"), now);
    for (int n = 0; n < 50; ++n) {
        latency.record(Milliseconds(60 + 2 * n));
    }
    const std::vector<std::string> known{"a", "b", "c", "d"};
    const auto first = start(false, known);
    auto others = known;
    BOOST_REQUIRE(first);
    others.push_back(first->upstream.id);
    const auto second = start(false, others);
    BOOST_REQUIRE(second);
    now += 200ms;
    BOOST_TEST(faultOf("warm") > 0.5);
    BOOST_TEST(faultOf("cold") < 0.5);
    pool.finishAttempt(first->attempt, AttemptOutcome::Abandoned, std::nullopt, now);
    pool.finishAttempt(second->attempt, AttemptOutcome::Abandoned, std::nullopt, now);
    BOOST_TEST(faultOf("warm") > 0.5);
    BOOST_TEST(faultOf("cold") < 0.5);
}

// Guards against avoiding a recovered upstream until requests that it lost before have timed out.
BOOST_FIXTURE_TEST_CASE(lostEarlierRequestsDoNotCountAgainstARecoveredUpstream, Fixture)
{
    const auto lost = start(false, {"b", "c", "d"});
    BOOST_REQUIRE(lost);
    now += 800ms;
    BOOST_TEST(faultOf("a") > 0.5);
    for (int n = 0; n < 3; ++n) {
        keepOthersBusy("a", n == 0 ? 3100ms : 600ms);
        const auto trial = start(false, {"b", "c", "d"});
        BOOST_REQUIRE(trial);
        now += 90ms;
        pool.finishAttempt(trial->attempt, AttemptOutcome::Success, std::nullopt, now);
    }
    BOOST_TEST(faultOf("a") < 0.1);
    pool.finishAttempt(lost->attempt, AttemptOutcome::Timeout, std::nullopt, now);
    BOOST_TEST(faultOf("a") < 0.1);
}

// Guards against healthy upstreams that receive no requests while others fail: the required minimum number of usable
// upstreams counts only those that receive requests.
BOOST_FIXTURE_TEST_CASE(retryableRequestsReachEveryHealthyUpstream, Fixture)
{
    auto cold = makeUpstream("cold");
    cold.warmupLeft = 3s;
    pool.put(cold, now);
    std::map<std::string, int> counts;
    for (int n = 0; n < 20; ++n) {
        now += 100ms;
        for (const auto &[id, count] : countChoices(false, 1)) {
            counts[id] += count;
        }
    }
    for (const auto *id : {"a", "b", "c", "d", "cold"}) {
        BOOST_TEST(counts[id] > 0);
    }
}

// Guards against requests to an upstream that has said with an answer that it leaves, while its entry in the store
// still says that it serves.
BOOST_FIXTURE_TEST_CASE(upstreamThatSaysItLeavesReceivesNoRequests, Fixture)
{
    pool.receiveNotice(makeUpstream("a"), {.leaving = true}, now);
    BOOST_TEST(countChoices(false, 100)["a"] == 0);
    BOOST_TEST(countChoices(true, 100)["a"] == 0);
    BOOST_TEST(!start(false, {"b", "c", "d"}));
    // The heartbeat that follows is older than the notice, or the entry lapses and is added again.
    pool.put(makeUpstream("a"), now);
    pool.remove("a");
    pool.put(makeUpstream("a"), now);
    now += 20s;
    BOOST_TEST(countChoices(false, 100)["a"] == 0);
}

// Guards against an upstream that stays out of use after its restart under the same identity.
BOOST_FIXTURE_TEST_CASE(departureEndsWithTheProcess, Fixture)
{
    auto restarted = makeUpstream("a");
    restarted.startedAtMs = 5;
    pool.receiveNotice(makeUpstream("a"), {.leaving = true}, now);
    pool.put(restarted, now);
    BOOST_TEST(start(false, {"b", "c", "d"}).has_value());
    // The last answer of the earlier process arrives late.
    pool.receiveNotice(makeUpstream("a"), {.leaving = true}, now);
    BOOST_TEST(start(false, {"b", "c", "d"}).has_value());
}

// Guards against other instances that keep using a leaving upstream while the store does not tell them.
BOOST_FIXTURE_TEST_CASE(departuresAreReportedToOtherInstances, Fixture)
{
    pool.receiveNotice(makeUpstream("a"), {.leaving = true}, now);
    const auto observations = pool.takeObservations(now);
    BOOST_REQUIRE(observations.size() == 1U);
    BOOST_TEST(observations[0].leaving);
    UpstreamPool other("catania", 2);
    other.put(makeUpstream("a"), now);
    other.addRemoteObservation(observations[0], now);
    BOOST_TEST(!other.usableFrom(now));
    BOOST_TEST(!other.startAttempt({&latency, false, true, {}}, now));
}

// Guards against requests to an upstream that has refused one and asked for a pause.
BOOST_FIXTURE_TEST_CASE(pausedUpstreamReceivesNoRequests, Fixture)
{
    pool.receiveNotice(makeUpstream("a"), {.pause = 2s}, now);
    BOOST_TEST(countChoices(false, 100)["a"] == 0);
    BOOST_TEST(countChoices(true, 100)["a"] == 0);
    // An answer to an earlier request does not end the pause, and neither does a new entry of the same process.
    now += 1s;
    pool.receiveNotice(makeUpstream("a"), {}, now);
    pool.remove("a");
    pool.put(makeUpstream("a"), now);
    BOOST_TEST(!start(false, {"b", "c", "d"}));
    now += 999ms;
    BOOST_TEST(!start(false, {"b", "c", "d"}));
    now += 1ms;
    BOOST_TEST(start(false, {"b", "c", "d"}).has_value());
}

// Guards against requests that wait for upstreams of which it is known that they take none in time.
BOOST_FIXTURE_TEST_CASE(endOfThePauseIsKnown, Fixture)
{
    for (const auto *id : {"a", "b", "c", "d"}) {
        pool.receiveNotice(makeUpstream(id), {.pause = *id == 'c' ? 1500ms : 4000ms}, now);
    }
    BOOST_TEST(!start(false));
    BOOST_REQUIRE(pool.usableFrom(now));
    BOOST_TEST((*pool.usableFrom(now) == now + 1500ms));
}

// Load: an organisation beyond its quota, or a crest, so that many requests are not served. Guards against upstreams
// that have failed by themselves and recovered, and that stay without requests while others are refused.
BOOST_FIXTURE_TEST_CASE(idleUpstreamsAreTriedSoonerWhileManyAreNotServed, Fixture)
{
    runAttempts(AttemptOutcome::Timeout, "a", 4);
    keepOthersBusy("a", 1400ms);
    BOOST_TEST(countChoices(false, 50)["a"] == 0);
    for (int n = 0; n < 20; ++n) {
        pool.recordOutcome(n % 5 != 0, now);
    }
    BOOST_TEST(pool.isLossy(now));
    now += 200ms;
    BOOST_TEST(countChoices(false, 50)["a"] == 1);
    BOOST_TEST(!pool.isLossy(now + 10s));
}

// Guards against an upstream that gets nothing because attempts that never end hold all its slots.
BOOST_FIXTURE_TEST_CASE(aStuckUpstreamIsTriedWhileManyAreNotServed, Fixture)
{
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(start(true, {"b", "c", "d"}));
    }
    keepOthersBusy("a", 1400ms);
    BOOST_TEST(!start(false, {"b", "c", "d"}));
    for (int n = 0; n < 20; ++n) {
        pool.recordOutcome(n % 5 != 0, now);
    }
    now += 300ms;
    keepOthersBusy("a", 100ms);
    BOOST_TEST(start(false, {"b", "c", "d"}).has_value());
    BOOST_TEST(!start(true, {"b", "c", "d"}).has_value());
}

// Load: far more upstreams than requests, so that each upstream would get one every few seconds. Guards against
// spreading them over upstreams of which nothing is known, and against one that joins later and gets nothing.
BOOST_AUTO_TEST_CASE(aThinLoadStaysAtKnownUpstreams)
{
    TimePoint now{1000s};
    const LatencyModel latency(100ms);
    UpstreamPool pool("palermo", 1);
    for (int n = 0; n < 200; ++n) {
        pool.put(makeUpstream("u" + std::to_string(n)), now);
    }
    std::map<std::string, int> counts;
    const auto request = [&] {
        const auto choice = pool.startAttempt({&latency, true, true, {}}, now);
        BOOST_REQUIRE(choice);
        ++counts[choice->upstream.id];
        now += 50ms;
        pool.finishAttempt(choice->attempt, AttemptOutcome::Success, std::nullopt, now);
        now += 50ms;
    };
    for (int n = 0; n < 100; ++n) {
        request();
    }
    BOOST_TEST(counts.size() <= 15U);
    pool.put(makeUpstream("joined"), now);
    for (int n = 0; n < 30; ++n) {
        request();
    }
    BOOST_TEST(counts["joined"] >= 1);
}
