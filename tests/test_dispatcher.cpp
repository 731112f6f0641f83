#include "dispatchermodel.h"
#include "dispatchersupport.h"
#include "fixedseed.h"

#include <map>
#include <set>
#include <utility>

using namespace laburnumspar;

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

// Guards against running more requests on an upstream than it has slots, and against a queued request that is not
// started when a slot becomes free.
BOOST_AUTO_TEST_CASE(startedRequestsDoNotExceedTheSlots)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 2), at(0));
    BOOST_TEST(countStarts(dispatcher.submit(shortRequest(1, 1000), at(0))) == 1);
    BOOST_TEST(countStarts(dispatcher.submit(shortRequest(2, 1000), at(0))) == 1);
    BOOST_TEST(dispatcher.submit(shortRequest(3, 1000), at(0)).empty());
    BOOST_TEST(dispatcher.load().queued == 1);
    const auto decisions = dispatcher.finish(1, done(5), at(5));
    BOOST_TEST_REQUIRE(countStarts(decisions) == 1);
    BOOST_TEST(decisions[0].ticket == 3);
    BOOST_CHECK_THROW(dispatcher.submit(shortRequest(3, 1000), at(5)), InvariantError);
}

// Guards against late refusals: a request that cannot finish before its deadline must be refused on submission, not
// after waiting in the queue.
BOOST_AUTO_TEST_CASE(refusesRequestsThatCannotMeetTheirDeadline)
{
    auto dispatcher = Dispatcher::Builder().build();
    requireRefusal(dispatcher.submit(shortRequest(1, 1000), at(0)), 1, Reason::NoUpstream);
    dispatcher.setUpstreams(pool(1, 1), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 50, 10);
    requireRefusal(dispatcher.submit(shortRequest(2, 0), at(0)), 2, Reason::DeadlinePassed);
    requireRefusal(dispatcher.submit(shortRequest(3, 40), at(0)), 3, Reason::DeadlineTooShort);
    BOOST_TEST(countStarts(dispatcher.submit(shortRequest(4, 60), at(0))) == 1);
    auto excluded = shortRequest(5, 1000);
    excluded.exclude = {upstream(1)};
    requireRefusal(dispatcher.submit(excluded, at(0)), 5, Reason::NoUpstream);
}

// Guards against admitting more requests than the slots can serve before the deadlines.
BOOST_AUTO_TEST_CASE(admitsOnlyRequestsThatTheSlotsCanServe)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (int n = 0; n < 10; ++n) {
        dispatcher.submit(shortRequest(std::uint64_t(n), 1000), at(n * 10));
        dispatcher.finish(std::uint64_t(n), done(10), at(n * 10 + 10));
    }
    std::size_t refused = 0;
    for (std::uint64_t n = 100; n < 200; ++n) {
        refused += dispatcher.submit(shortRequest(n, 200), at(100)).empty() ? 0 : 1;
    }
    // One slot serves 10 requests of 10 ms in 100 ms; one of them runs.
    BOOST_TEST(dispatcher.load().queued >= 7);
    BOOST_TEST(dispatcher.load().queued <= 10);
    BOOST_TEST(refused == 100 - dispatcher.load().queued);
}

// Guards against an estimate that refuses every request of a route for ever. Without a trial from time to time, a route
// that has become fast again would never be measured.
BOOST_AUTO_TEST_CASE(refusedRouteGetsTrials)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 2), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 500, 10);
    requireRefusal(dispatcher.submit(shortRequest(1, 600), at(500)), 1, Reason::DeadlineTooShort);
    BOOST_TEST(countStarts(dispatcher.submit(shortRequest(2, 1300), at(1200))) == 1);
    requireRefusal(dispatcher.submit(shortRequest(3, 1300), at(1200)), 3, Reason::DeadlineTooShort);
}

// Guards against starting a request whose deadline has passed in the queue, and against losing the started request that
// holds the slot meanwhile.
BOOST_AUTO_TEST_CASE(neverStartsAfterTheDeadline)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    dispatcher.submit(shortRequest(1, 1000), at(0));
    dispatcher.submit(shortRequest(2, 100), at(0));
    requireRefusal(dispatcher.poll(at(100)), 2, Reason::DeadlinePassed);
    dispatcher.submit(shortRequest(3, 200), at(100));
    requireRefusal(dispatcher.finish(1, done(200), at(200)), 3, Reason::DeadlinePassed);
}

// Guards against a surge of one team that delays another: with weights 1 and 3, the second team must get three of four
// starts although its requests arrive later.
BOOST_AUTO_TEST_CASE(surgeOfOneTeamLeavesTheShareOfAnother)
{
    auto dispatcher = Dispatcher::Builder().teamShares({{"a", 1}, {"b", 3}}).build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (std::uint64_t n = 0; n < 50; ++n) {
        dispatcher.submit(shortRequest(n, 100'000, "a"), at(0));
    }
    for (std::uint64_t n = 100; n < 150; ++n) {
        dispatcher.submit(shortRequest(n, 100'000, "b"), at(0));
    }
    std::uint64_t running = 0;
    int startsOfB = 0;
    for (int n = 1; n <= 40; ++n) {
        const auto decisions = dispatcher.finish(running, done(10), at(n * 10));
        BOOST_TEST_REQUIRE(countStarts(decisions) == 1);
        running = decisions[0].ticket;
        startsOfB += running >= 100 ? 1 : 0;
    }
    BOOST_TEST(startsOfB >= 29);
    BOOST_TEST(startsOfB <= 31);
}

// Guards against refusing every request of a team because the surge of another team has filled the queue before.
BOOST_AUTO_TEST_CASE(fullQueueEvictsForATeamBelowItsShare)
{
    auto dispatcher = Dispatcher::Builder().queueLimit(4).build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (std::uint64_t n = 0; n < 5; ++n) {
        dispatcher.submit(shortRequest(n, 10'000 + int(n), "a"), at(0));
    }
    requireRefusal(dispatcher.submit(shortRequest(5, 9'000, "a"), at(0)), 5, Reason::QueueFull);
    requireRefusal(dispatcher.submit(shortRequest(6, 9'000, "b"), at(0)), 4, Reason::TeamShareExceeded);
    BOOST_TEST(dispatcher.submit(shortRequest(7, 9'000, "b"), at(0)).size() == 1);
    requireRefusal(dispatcher.submit(shortRequest(8, 9'000, "b"), at(0)), 8, Reason::TeamShareExceeded);
    BOOST_TEST(dispatcher.load().queued == 4);
    BOOST_TEST(!dispatcher.retriesAllowed());
}

// Guards against long requests that fill all slots of an upstream or of the dispatcher, and against long requests that
// never run because their share is below one slot.
BOOST_AUTO_TEST_CASE(longRequestsDoNotExceedTheirShare)
{
    for (const auto placement : {LongPlacement::SharePerUpstream, LongPlacement::FewUpstreams}) {
        auto dispatcher = Dispatcher::Builder().longShare(0.5).longPlacement(placement).build();
        dispatcher.setUpstreams(pool(4, 3), at(0));
        for (std::uint64_t n = 0; n < 20; ++n) {
            dispatcher.submit(longRequest(n, 100'000), at(0));
        }
        const auto dump = dispatcher.dump();
        BOOST_TEST(dump.longRunning == 6);
        for (const auto &entry : dump.upstreams) {
            BOOST_TEST(entry.longOutstanding <= 2);
        }
        dispatcher.submit(shortRequest(100, 1000), at(0));
        BOOST_TEST(dispatcher.dump().upstreams.back().outstanding > 0);
    }
    auto single = Dispatcher::Builder().longShare(0).build();
    single.setUpstreams(pool(1, 2), at(0));
    BOOST_TEST(countStarts(single.submit(longRequest(1, 1000), at(0))) == 1);
    BOOST_TEST(single.submit(longRequest(2, 1000), at(0)).empty());
}

// Guards against undeclared long requests that hold all slots, and against a route that stays long after its requests
// have become short.
BOOST_AUTO_TEST_CASE(overrunCountsAsLongAndChangesTheLearnedClass)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 10, 20);
    auto slow = shortRequest(1, 10'000);
    slow.route = "/report";
    dispatcher.submit(slow, at(0));
    dispatcher.poll(at(100));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
    dispatcher.poll(at(101));
    BOOST_TEST(dispatcher.dump().longRunning == 1);
    slow.ticket = 2;
    dispatcher.submit(slow, at(101));
    BOOST_TEST(dispatcher.dump().longRunning == 2);
    dispatcher.finish(1, done(900), at(900));
    dispatcher.finish(2, done(900), at(1001));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
    runRequests(dispatcher, slow, 10, 100);
    slow.ticket = 3;
    dispatcher.submit(slow, at(1001));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
}

// Guards against timeouts on one stuck upstream that make a route look long, or too slow for its deadlines, although
// the other upstreams serve it fast.
BOOST_AUTO_TEST_CASE(stuckUpstreamDoesNotChangeTheLearnedClass)
{
    auto dispatcher = Dispatcher::Builder().longShare(0.3).build();
    dispatcher.setUpstreams(pool(3, 4), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 10, 50);
    std::uint64_t next = 0;
    std::map<std::uint64_t, int> stuck;
    for (int now = 0; now < 2'000; now += 10) {
        for (int n = 0; n < 3; ++n) {
            const auto decisions = dispatcher.submit(shortRequest(next++, now + 200), at(now));
            BOOST_TEST_REQUIRE(countStarts(decisions) == 1);
            if (decisions[0].upstream == upstream(1)) {
                stuck[decisions[0].ticket] = now;
            } else {
                dispatcher.finish(decisions[0].ticket, done(10), at(now));
            }
        }
        dispatcher.poll(at(now));
        BOOST_REQUIRE(dispatcher.dump().routes.front().learnedClass != RequestClass::Long);
        while (!stuck.empty() && stuck.begin()->second + 200 <= now) {
            const Completion timeout{Milliseconds(200), Outcome::MayHaveRun, Reason::Timeout, {}};
            dispatcher.finish(stuck.begin()->first, timeout, at(now));
            stuck.erase(stuck.begin());
        }
    }
    BOOST_TEST(dispatcher.dump().longRunning <= 4);
}

// Guards against long requests that take all slots because they were queued as short before their route was learned.
BOOST_AUTO_TEST_CASE(queuedRequestsFollowTheLearnedClass)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 10, 20);
    auto slow = shortRequest(0, 100'000);
    slow.route = "/report";
    for (slow.ticket = 0; slow.ticket < 8; ++slow.ticket) {
        dispatcher.submit(slow, at(0));
    }
    dispatcher.poll(at(101));
    BOOST_TEST(dispatcher.dump().longRunning == 4);
    for (std::uint64_t n = 0; n < 4; ++n) {
        dispatcher.finish(n, done(1000), at(1000));
    }
    BOOST_TEST(dispatcher.dump().longRunning == 2);
    BOOST_TEST(dispatcher.load().freeSlots == 2);
}

// Guards against unbounded memory: callers choose the team names, so idle teams must be removed.
BOOST_AUTO_TEST_CASE(idleTeamsAreRemoved)
{
    auto dispatcher = Dispatcher::Builder().queueLimit(1'000'000).build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    for (int n = 0; n < 20'000; ++n) {
        const auto ticket = std::uint64_t(n);
        dispatcher.submit(shortRequest(ticket, n + 1000, "team" + std::to_string(n)), at(n));
        dispatcher.finish(ticket, done(1), at(n + 1));
        dispatcher.poll(at(n + 1));
        if (n % 5'000 == 4'999) {
            BOOST_TEST(dispatcher.dump().knownTeams < 4'000U);
        }
    }
}

// Guards against a slowdown of all upstreams after which every route counts as long and most slots stay idle.
BOOST_AUTO_TEST_CASE(generalSlowdownDoesNotMakeRoutesLong)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 10, 50);
    int now = 0;
    for (std::uint64_t n = 0; n < 200; ++n) {
        dispatcher.submit(shortRequest(n, now + 10'000), at(now));
        dispatcher.poll(at(now + 200));
        dispatcher.finish(n, done(200), at(now += 200));
    }
    dispatcher.submit(shortRequest(1000, now + 10'000), at(now));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
}

// Guards against overloading an upstream that another dispatcher also uses during a network partition, and against a
// report of external load that never expires.
BOOST_AUTO_TEST_CASE(externalLoadLowersTheSlots)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    dispatcher.submit(shortRequest(1, 1000), at(0));
    dispatcher.submit(shortRequest(2, 1000), at(0));
    auto completion = done(10);
    completion.reportedInFlight = 4;
    dispatcher.finish(1, completion, at(10));
    BOOST_TEST(dispatcher.load().slots == 2);
    BOOST_TEST(dispatcher.load().freeSlots == 1);
    dispatcher.poll(at(509));
    BOOST_TEST(dispatcher.load().slots == 2);
    dispatcher.poll(at(510));
    BOOST_TEST(dispatcher.load().slots == 4);
    completion.reportedInFlight = 1;
    dispatcher.finish(2, completion, at(511));
    BOOST_TEST(dispatcher.load().slots == 4);
}

// Guards against sending most requests to an upstream that refuses them: it frees its slots fastest.
BOOST_AUTO_TEST_CASE(refusalByAnUpstreamLowersItsSlotsTemporarily)
{
    for (const Reason reason : {Reason::Shed, Reason::ConnectFailed}) {
        auto dispatcher = Dispatcher::Builder().build();
        dispatcher.setUpstreams(pool(1, 4), at(0));
        dispatcher.submit(shortRequest(1, 1000), at(0));
        dispatcher.submit(shortRequest(2, 1000), at(0));
        dispatcher.finish(1, {Milliseconds(1), Outcome::NotRun, reason, {}}, at(1));
        BOOST_TEST(dispatcher.submit(shortRequest(3, 1000), at(2)).empty());
        BOOST_TEST(countStarts(dispatcher.poll(at(101))) == 1);
    }
}

// Guards against overflow with the largest deadline, which means none, and against initial values of times that only
// work if the clock is far from zero.
BOOST_AUTO_TEST_CASE(extremeTimesAreHandled)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), TimePoint());
    auto request = shortRequest(1, 0);
    request.deadline = TimePoint::max();
    BOOST_TEST(countStarts(dispatcher.submit(request, TimePoint())) == 1);
    for (request.ticket = 2; request.ticket < 10; ++request.ticket) {
        BOOST_TEST(dispatcher.submit(request, TimePoint(Milliseconds(1))).empty());
    }
    BOOST_TEST(countStarts(dispatcher.finish(1, done(900), TimePoint(Milliseconds(900)))) == 1);
    BOOST_TEST(dispatcher.poll(TimePoint(Milliseconds(901))).empty());
    request.deadline = TimePoint::min();
    requireRefusal(dispatcher.submit(request, TimePoint(Milliseconds(902))), 10, Reason::DeadlinePassed);
}

// Guards against starting requests on an upstream that is draining, or on a suspect one while a better one has a free
// slot.
BOOST_AUTO_TEST_CASE(admissionHookDecidesSlotsAndOrder)
{
    std::map<UpstreamId, Admission> admissions{{upstream(1), {0, 0}}, {upstream(2), {2, 1}}, {upstream(3), {1, 0}}};
    const auto hook = [&admissions](const UpstreamId &id, TimePoint) { return admissions.at(id); };
    auto dispatcher = Dispatcher::Builder().admissionHook(hook).build();
    dispatcher.setUpstreams(pool(3, 4), at(0));
    std::vector<UpstreamId> chosen;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        for (const auto &decision : dispatcher.submit(shortRequest(n, 1000), at(0))) {
            chosen.push_back(decision.upstream);
        }
    }
    BOOST_CHECK((chosen == std::vector<UpstreamId>{upstream(3), upstream(2), upstream(2)}));
    admissions = {{upstream(1), {0, 0}}, {upstream(2), {0, 0}}, {upstream(3), {0, 0}}};
    requireRefusal(dispatcher.poll(at(1)), 4, Reason::NoUpstream);
}

// Guards against a non-idempotent request on an upstream on trial, which could not be retried after a failure, and
// against refusing it a slot for ever if every upstream is on trial.
BOOST_AUTO_TEST_CASE(upstreamOnTrialGetsOnlyIdempotentRequests)
{
    bool allOnTrial = false;
    auto dispatcher = Dispatcher::Builder()
                          .admissionHook([&](const UpstreamId &id, TimePoint) {
                              return Admission{1, 0, allOnTrial || id == upstream(1)};
                          })
                          .build();
    dispatcher.setUpstreams(pool(2, 1), at(0));
    for (std::uint64_t ticket : {1, 2}) {
        auto nonIdempotent = shortRequest(ticket, 1000);
        nonIdempotent.idempotent = false;
        const auto decisions = dispatcher.submit(nonIdempotent, at(0));
        BOOST_TEST(countStarts(decisions) == (ticket == 1 ? 1U : 0U));
        BOOST_TEST((decisions.empty() || decisions[0].upstream == upstream(2)));
    }
    const auto idempotent = dispatcher.submit(shortRequest(3, 1000), at(0));
    BOOST_TEST_REQUIRE(countStarts(idempotent) == 1U);
    BOOST_TEST((idempotent[0].upstream == upstream(1)));
    dispatcher.finish(3, done(5), at(1));
    allOnTrial = true;
    BOOST_TEST(countStarts(dispatcher.poll(at(2))) == 1U);
}

// Guards against freeing the slot of a cancelled request that the upstream still runs, and against cancelled requests
// that stay in the queue.
BOOST_AUTO_TEST_CASE(cancelRemovesOnlyQueuedRequests)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    dispatcher.submit(shortRequest(1, 1000), at(0));
    dispatcher.submit(shortRequest(2, 1000), at(0));
    dispatcher.submit(shortRequest(3, 1000), at(0));
    requireRefusal(dispatcher.cancel(2, at(1)), 2, Reason::Cancelled);
    BOOST_TEST(dispatcher.cancel(1, at(1)).empty());
    BOOST_TEST(dispatcher.load().freeSlots == 0);
    const auto decisions = dispatcher.finish(1, done(5), at(5));
    BOOST_TEST_REQUIRE(countStarts(decisions) == 1);
    BOOST_TEST(decisions[0].ticket == 3);
    BOOST_TEST(dispatcher.dump().decisions.size() == 3);
}

// Guards against any sequence of calls that starts a request twice, after its deadline, after a refusal or beyond the
// slots, or that leaves a request without a decision. The dispatcher itself checks the limits on long requests.
BOOST_AUTO_TEST_CASE(everyTicketGetsOneDecision)
{
    const bool passed = rc::check([](bool fewUpstreams) {
        DispatcherModel model(fewUpstreams ? LongPlacement::FewUpstreams : LongPlacement::SharePerUpstream);
        for (const Operation &operation : *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Operation>>())) {
            model.apply(operation);
        }
        model.drain();
    });
    BOOST_TEST(passed);
}

// Guards against a queue that stays long during a lasting overload: it delays every request without serving more of
// them.
BOOST_AUTO_TEST_CASE(lastingOverloadKeepsTheQueueShort)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    runRequests(dispatcher, shortRequest(0, 1000), 5, 20);
    std::set<std::uint64_t> running;
    std::uint64_t next = 0;
    std::uint32_t afterBurst = 0;
    for (int now = 0; now < 5'000; now += 5) {
        for (const std::uint64_t ticket : std::exchange(running, {})) {
            for (const Decision &decision : dispatcher.finish(ticket, done(5), at(now))) {
                running.insert(decision.ticket);
            }
        }
        for (int n = 0; n < 5; ++n) {
            for (const Decision &decision : dispatcher.submit(shortRequest(next++, now + 1'000), at(now))) {
                if (decision.kind == Decision::Kind::Start) {
                    running.insert(decision.ticket);
                }
            }
        }
        afterBurst = now == 900 ? dispatcher.load().queued : afterBurst;
    }
    BOOST_TEST(afterBurst > 100U);
    BOOST_TEST(dispatcher.load().queued <= 6U);
}
