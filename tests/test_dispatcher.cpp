#include "laburnumspar/dispatcher.h"
#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

using namespace laburnumspar;

namespace {

// The same operations in each run; RC_PARAMS overrides it.
struct FixedSeed {
    FixedSeed()
    {
        ::setenv("RC_PARAMS", "seed=7", 0);
    }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

TimePoint at(int ms)
{
    return TimePoint(Milliseconds(1'000'000 + ms));
}

UpstreamId upstream(int n)
{
    return {"10.0.0." + std::to_string(n), 80};
}

std::vector<UpstreamCapacity> pool(int upstreams, unsigned slots)
{
    std::vector<UpstreamCapacity> pool;
    for (int n = 1; n <= upstreams; ++n) {
        pool.push_back({upstream(n), slots});
    }
    return pool;
}

WorkItem shortItem(std::uint64_t ticket, int deadline, const std::string &team = "a")
{
    return {ticket, team, "/short", WorkClass::Short, at(deadline), true, {}};
}

WorkItem longItem(std::uint64_t ticket, int deadline, const std::string &team = "a")
{
    return {ticket, team, "/long", WorkClass::Long, at(deadline), true, {}};
}

Completion done(int ms)
{
    return {Milliseconds(ms), Outcome::Answered, Reason::None, {}};
}

/// Runs one item of the route through an idle dispatcher, `count` times, each for `ms`.
void teach(Dispatcher &dispatcher, WorkItem item, int ms, int count)
{
    for (int n = 0; n < count; ++n) {
        item.ticket = 1'000'000 + std::uint64_t(n);
        dispatcher.submit(item, at(0));
        dispatcher.finish(item.ticket, done(ms), at(0));
    }
}

std::size_t starts(const std::vector<Decision> &decisions)
{
    return std::size_t(std::count_if(decisions.begin(), decisions.end(), [](const Decision &decision) {
        return decision.kind == Decision::Kind::Start;
    }));
}

void requireRefusal(const std::vector<Decision> &decisions, std::uint64_t ticket, Reason reason)
{
    BOOST_TEST_REQUIRE(decisions.size() == 1);
    BOOST_CHECK(decisions[0].kind == Decision::Kind::Refuse);
    BOOST_TEST(decisions[0].ticket == ticket);
    BOOST_TEST(name(decisions[0].reason) == name(reason));
}

} // namespace

// Guards against more work on an upstream than its slots, and against a queued item that no finish starts.
BOOST_AUTO_TEST_CASE(startedWorkFitsTheSlots)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 2), at(0));
    BOOST_TEST(starts(dispatcher.submit(shortItem(1, 1000), at(0))) == 1);
    BOOST_TEST(starts(dispatcher.submit(shortItem(2, 1000), at(0))) == 1);
    BOOST_TEST(dispatcher.submit(shortItem(3, 1000), at(0)).empty());
    BOOST_TEST(dispatcher.load().queued == 1);
    const auto decisions = dispatcher.finish(1, done(5), at(5));
    BOOST_TEST_REQUIRE(starts(decisions) == 1);
    BOOST_TEST(decisions[0].ticket == 3);
    BOOST_CHECK_THROW(dispatcher.submit(shortItem(3, 1000), at(5)), InvariantError);
}

// Guards against late refusals: what cannot end before its deadline must be refused at once, not after waiting.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhatCannotMeetItsDeadline)
{
    auto dispatcher = Dispatcher::Builder().build();
    requireRefusal(dispatcher.submit(shortItem(1, 1000), at(0)), 1, Reason::NoUpstream);
    dispatcher.setUpstreams(pool(1, 1), at(0));
    teach(dispatcher, shortItem(0, 1000), 50, 10);
    requireRefusal(dispatcher.submit(shortItem(2, 0), at(0)), 2, Reason::DeadlinePassed);
    requireRefusal(dispatcher.submit(shortItem(3, 40), at(0)), 3, Reason::DeadlineTooShort);
    BOOST_TEST(starts(dispatcher.submit(shortItem(4, 60), at(0))) == 1);
    auto excluded = shortItem(5, 1000);
    excluded.exclude = {upstream(1)};
    requireRefusal(dispatcher.submit(excluded, at(0)), 5, Reason::NoUpstream);
}

// Guards against a queue that promises more than the slots can serve before the deadlines.
BOOST_AUTO_TEST_CASE(admitsOnlyWhatTheSlotsCanServe)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (int n = 0; n < 10; ++n) {
        dispatcher.submit(shortItem(std::uint64_t(n), 1000), at(n * 10));
        dispatcher.finish(std::uint64_t(n), done(10), at(n * 10 + 10));
    }
    std::size_t refused = 0;
    for (std::uint64_t n = 100; n < 200; ++n) {
        refused += dispatcher.submit(shortItem(n, 200), at(100)).empty() ? 0 : 1;
    }
    // 100 ms of one slot hold 10 items of 10 ms; one of them runs.
    BOOST_TEST(dispatcher.load().queued >= 7);
    BOOST_TEST(dispatcher.load().queued <= 10);
    BOOST_TEST(refused == 100 - dispatcher.load().queued);
}

// Guards against an estimate that refuses a route for ever: one that has become quick again must get through.
BOOST_AUTO_TEST_CASE(routeThatIsAlwaysRefusedIsTriedAgain)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 2), at(0));
    teach(dispatcher, shortItem(0, 1000), 500, 10);
    requireRefusal(dispatcher.submit(shortItem(1, 600), at(500)), 1, Reason::DeadlineTooShort);
    BOOST_TEST(starts(dispatcher.submit(shortItem(2, 1300), at(1200))) == 1);
    requireRefusal(dispatcher.submit(shortItem(3, 1300), at(1200)), 3, Reason::DeadlineTooShort);
}

// Guards against a start after the deadline, and against a started item that is lost.
BOOST_AUTO_TEST_CASE(neverStartsAfterTheDeadline)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    dispatcher.submit(shortItem(1, 1000), at(0));
    dispatcher.submit(shortItem(2, 100), at(0));
    requireRefusal(dispatcher.poll(at(100)), 2, Reason::DeadlinePassed);
    dispatcher.submit(shortItem(3, 200), at(100));
    requireRefusal(dispatcher.finish(1, done(200), at(200)), 3, Reason::DeadlinePassed);
}

// Guards against a surge of one team that delays another: the second team must get every other slot at once.
BOOST_AUTO_TEST_CASE(surgeOfOneTeamLeavesTheShareOfAnother)
{
    auto dispatcher = Dispatcher::Builder().teamShares({{"a", 1}, {"b", 3}}).build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (std::uint64_t n = 0; n < 50; ++n) {
        dispatcher.submit(shortItem(n, 100'000, "a"), at(0));
    }
    for (std::uint64_t n = 100; n < 150; ++n) {
        dispatcher.submit(shortItem(n, 100'000, "b"), at(0));
    }
    std::uint64_t running = 0;
    int startsOfB = 0;
    for (int n = 1; n <= 40; ++n) {
        const auto decisions = dispatcher.finish(running, done(10), at(n * 10));
        BOOST_TEST_REQUIRE(starts(decisions) == 1);
        running = decisions[0].ticket;
        startsOfB += running >= 100 ? 1 : 0;
    }
    BOOST_TEST(startsOfB >= 29);
    BOOST_TEST(startsOfB <= 31);
}

// Guards against a queue that the surge of one team has filled before another team sends anything.
BOOST_AUTO_TEST_CASE(fullQueueMakesRoomForATeamBelowItsShare)
{
    auto dispatcher = Dispatcher::Builder().queueLimit(4).build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    for (std::uint64_t n = 0; n < 5; ++n) {
        dispatcher.submit(shortItem(n, 10'000 + int(n), "a"), at(0));
    }
    requireRefusal(dispatcher.submit(shortItem(5, 9'000, "a"), at(0)), 5, Reason::QueueFull);
    requireRefusal(dispatcher.submit(shortItem(6, 9'000, "b"), at(0)), 4, Reason::TeamShareExceeded);
    BOOST_TEST(dispatcher.submit(shortItem(7, 9'000, "b"), at(0)).size() == 1);
    requireRefusal(dispatcher.submit(shortItem(8, 9'000, "b"), at(0)), 8, Reason::TeamShareExceeded);
    BOOST_TEST(dispatcher.load().queued == 4);
    BOOST_TEST(!dispatcher.retriesAllowed());
}

// Guards against long requests that fill all slots of an upstream, of the dispatcher, or that never run.
BOOST_AUTO_TEST_CASE(longWorkKeepsToItsShare)
{
    for (const auto placement : {LongPlacement::SharePerUpstream, LongPlacement::FewUpstreams}) {
        auto dispatcher = Dispatcher::Builder().longShare(0.5).longPlacement(placement).build();
        dispatcher.setUpstreams(pool(4, 3), at(0));
        for (std::uint64_t n = 0; n < 20; ++n) {
            dispatcher.submit(longItem(n, 100'000), at(0));
        }
        const auto dump = dispatcher.dump();
        BOOST_TEST(dump.longRunning == 6);
        for (const auto &slot : dump.upstreams) {
            BOOST_TEST(slot.longOutstanding <= 2);
        }
        dispatcher.submit(shortItem(100, 1000), at(0));
        BOOST_TEST(dispatcher.dump().upstreams.back().outstanding > 0);
    }
    auto single = Dispatcher::Builder().longShare(0).build();
    single.setUpstreams(pool(1, 2), at(0));
    BOOST_TEST(starts(single.submit(longItem(1, 1000), at(0))) == 1);
    BOOST_TEST(single.submit(longItem(2, 1000), at(0)).empty());
}

// Guards against undeclared long work that holds all slots, and against a route that stays long for ever.
BOOST_AUTO_TEST_CASE(overrunCountsAsLongAndTeachesTheRoute)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    teach(dispatcher, shortItem(0, 1000), 10, 20);
    auto slow = shortItem(1, 10'000);
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
    teach(dispatcher, slow, 10, 100);
    slow.ticket = 3;
    dispatcher.submit(slow, at(1001));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
}

// Guards against a general slowdown that turns every route into long work and leaves most slots idle afterwards.
BOOST_AUTO_TEST_CASE(generalSlowdownDoesNotMakeAllWorkLong)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    teach(dispatcher, shortItem(0, 1000), 10, 50);
    int now = 0;
    for (std::uint64_t n = 0; n < 200; ++n) {
        dispatcher.submit(shortItem(n, now + 10'000), at(now));
        dispatcher.poll(at(now + 200));
        dispatcher.finish(n, done(200), at(now += 200));
    }
    dispatcher.submit(shortItem(1000, now + 10'000), at(now));
    BOOST_TEST(dispatcher.dump().longRunning == 0);
}

// Guards against work sent on top of another dispatcher's during a split, and against one old report that lasts.
BOOST_AUTO_TEST_CASE(reportedWorkOfOthersLowersTheSlots)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    dispatcher.submit(shortItem(1, 1000), at(0));
    dispatcher.submit(shortItem(2, 1000), at(0));
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

// Guards against requests thrown at an upstream that has just refused one for lack of room.
BOOST_AUTO_TEST_CASE(shedLowersTheSlotsForAMoment)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 4), at(0));
    dispatcher.submit(shortItem(1, 1000), at(0));
    dispatcher.submit(shortItem(2, 1000), at(0));
    dispatcher.finish(1, {Milliseconds(1), Outcome::NotRun, Reason::Shed, {}}, at(1));
    BOOST_TEST(dispatcher.submit(shortItem(3, 1000), at(2)).empty());
    BOOST_TEST(starts(dispatcher.poll(at(101))) == 1);
}

// Guards against work for an upstream that drains or is suspect while a better one has a free slot.
BOOST_AUTO_TEST_CASE(admissionHookDecidesSlotsAndOrder)
{
    std::map<UpstreamId, Admission> admissions{{upstream(1), {0, 0}}, {upstream(2), {2, 1}}, {upstream(3), {1, 0}}};
    const auto hook = [&admissions](const UpstreamId &id, TimePoint) { return admissions.at(id); };
    auto dispatcher = Dispatcher::Builder().admissionHook(hook).build();
    dispatcher.setUpstreams(pool(3, 4), at(0));
    std::vector<UpstreamId> chosen;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        for (const auto &decision : dispatcher.submit(shortItem(n, 1000), at(0))) {
            chosen.push_back(decision.upstream);
        }
    }
    BOOST_CHECK((chosen == std::vector<UpstreamId>{upstream(3), upstream(2), upstream(2)}));
    admissions = {{upstream(1), {0, 0}}, {upstream(2), {0, 0}}, {upstream(3), {0, 0}}};
    requireRefusal(dispatcher.poll(at(1)), 4, Reason::NoUpstream);
}

// Guards against a slot that is freed while the upstream still runs the item, and against items that leak.
BOOST_AUTO_TEST_CASE(cancelFreesQueuedButNotStartedWork)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    dispatcher.submit(shortItem(1, 1000), at(0));
    dispatcher.submit(shortItem(2, 1000), at(0));
    dispatcher.submit(shortItem(3, 1000), at(0));
    requireRefusal(dispatcher.cancel(2, at(1)), 2, Reason::Cancelled);
    BOOST_TEST(dispatcher.cancel(1, at(1)).empty());
    BOOST_TEST(dispatcher.load().freeSlots == 0);
    const auto decisions = dispatcher.finish(1, done(5), at(5));
    BOOST_TEST_REQUIRE(starts(decisions) == 1);
    BOOST_TEST(decisions[0].ticket == 3);
    BOOST_TEST(dispatcher.dump().decisions.size() == 3);
}

namespace {

struct Operation {
    std::uint8_t kind;
    std::uint8_t choice;
    std::uint8_t amount;
};

/// Applies random operations and checks every decision against its own count of started work.
class Model
{
public:
    explicit Model(LongPlacement placement)
        : m_dispatcher(Dispatcher::Builder().queueLimit(12).longPlacement(placement).teamShares({{"t1", 2}}).build())
    {
        resize(5);
    }

    void apply(const Operation &operation)
    {
        m_now += operation.amount % 16;
        switch (operation.kind % 8) {
        case 0:
            finishOne(operation);
            break;
        case 1:
            finishOne(operation);
            break;
        case 2:
            cancelOne(operation.choice % (m_next + 1));
            break;
        case 3:
            take(m_dispatcher.poll(at(m_now)));
            break;
        case 4:
            resize(operation.choice % 16);
            break;
        default:
            submit(operation);
        }
    }

    void drain()
    {
        while (!m_running.empty()) {
            finishOne({0, 0, 0});
        }
        take(m_dispatcher.poll(at(m_now + 1000)));
        RC_ASSERT(m_decided.size() == m_deadlines.size());
        RC_ASSERT(m_dispatcher.load().queued == 0U);
    }

private:
    void submit(const Operation &operation)
    {
        const int deadline = m_now + operation.choice;
        const bool longWork = operation.amount % 5 == 0;
        auto item = longWork ? longItem(m_next, deadline) : shortItem(m_next, deadline);
        item.team = "t" + std::to_string(operation.choice % 3);
        if (operation.amount % 7 == 0) {
            item.exclude = {upstream(1)};
        }
        m_deadlines[m_next++] = deadline;
        take(m_dispatcher.submit(item, at(m_now)));
    }

    void finishOne(const Operation &operation)
    {
        if (m_running.empty()) {
            return;
        }
        const auto it = std::next(m_running.begin(), operation.choice % m_running.size());
        const auto [ticket, id] = *it;
        m_running.erase(it);
        --m_outstanding[id];
        Completion completion = done(0);
        completion.reason = operation.amount % 9 == 1 ? Reason::Shed : Reason::None;
        if (operation.amount % 3 == 0) {
            completion.reportedInFlight = operation.amount % 5;
        }
        take(m_dispatcher.finish(ticket, completion, at(m_now)));
    }

    /// Also tries the ticket that will be submitted next, which the dispatcher must not remember.
    void cancelOne(std::uint64_t ticket)
    {
        if (ticket < m_next) {
            m_cancelled.insert(ticket);
        }
        take(m_dispatcher.cancel(ticket, at(m_now)));
    }

    void resize(unsigned bits)
    {
        m_slots.clear();
        std::vector<UpstreamCapacity> pool;
        for (int n = 1; n <= 3; ++n) {
            if (bits >> n & 1) {
                m_slots[upstream(n)] = unsigned(n);
                pool.push_back({upstream(n), unsigned(n)});
            }
        }
        m_dispatcher.setUpstreams(pool, at(m_now));
    }

    void take(const std::vector<Decision> &decisions)
    {
        for (const Decision &decision : decisions) {
            RC_ASSERT(m_deadlines.count(decision.ticket) == 1U);
            RC_ASSERT(m_decided.insert(decision.ticket).second);
            if (decision.kind == Decision::Kind::Start) {
                RC_ASSERT(m_deadlines[decision.ticket] > m_now);
                RC_ASSERT(m_cancelled.count(decision.ticket) == 0U);
                RC_ASSERT(++m_outstanding[decision.upstream] <= m_slots[decision.upstream]);
                m_running[decision.ticket] = decision.upstream;
            }
        }
    }

    Dispatcher m_dispatcher;
    int m_now = 0;
    std::uint64_t m_next = 0;
    std::map<UpstreamId, unsigned> m_slots;
    std::map<UpstreamId, unsigned> m_outstanding;
    std::map<std::uint64_t, UpstreamId> m_running;
    std::map<std::uint64_t, int> m_deadlines;
    std::set<std::uint64_t> m_decided;
    std::set<std::uint64_t> m_cancelled;
};

} // namespace

namespace rc {

template <>
struct Arbitrary<Operation> {
    static Gen<Operation> arbitrary()
    {
        return gen::build<Operation>(gen::set(&Operation::kind, gen::inRange<std::uint8_t>(0, 255)),
                                     gen::set(&Operation::choice, gen::inRange<std::uint8_t>(0, 255)),
                                     gen::set(&Operation::amount, gen::inRange<std::uint8_t>(0, 255)));
    }
};

} // namespace rc

// Guards against any sequence of calls that starts an item twice, late, after a refusal or beyond the slots, or that
// leaves one without a decision. The dispatcher itself asserts the rules on long work.
BOOST_AUTO_TEST_CASE(everyTicketGetsOneDecision)
{
    const bool held = rc::check([](bool few) {
        Model model(few ? LongPlacement::FewUpstreams : LongPlacement::SharePerUpstream);
        for (const Operation &operation : *rc::gen::resize(400, rc::gen::arbitrary<std::vector<Operation>>())) {
            model.apply(operation);
        }
        model.drain();
    });
    BOOST_TEST(held);
}

// Guards against a long queue that a lasting overload keeps full: it delays every request and serves no more of them.
BOOST_AUTO_TEST_CASE(lastingOverloadKeepsTheQueueShort)
{
    auto dispatcher = Dispatcher::Builder().build();
    dispatcher.setUpstreams(pool(1, 1), at(0));
    teach(dispatcher, shortItem(0, 1000), 5, 20);
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
            for (const Decision &decision : dispatcher.submit(shortItem(next++, now + 1'000), at(now))) {
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
