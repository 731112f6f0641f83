#include "gateway/crashsuspects.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

constexpr RequestDigest Deadly = 7;
constexpr RequestDigest Other = 8;
const TimePoint start = TimePoint() + 1h;

/// Passes on what one instance has learned since its last report.
void exchange(CrashSuspects &from, CrashSuspects &to, TimePoint now)
{
    for (const auto &it : from.takeReports(now)) {
        to.merge(it, now + 2ms);
    }
}

} // namespace

// Guards against two requests that are taken for one because their texts join to the same.
BOOST_AUTO_TEST_CASE(digestsDifferInEachPart)
{
    const auto digest = requestDigest("orders", "GET", "a.example", "/x", MessageBody());
    BOOST_TEST(digest == requestDigest("orders", "GET", "a.example", "/x", MessageBody()));
    BOOST_TEST(digest != requestDigest("orders", "GET", "a.example/", "x", MessageBody()));
    BOOST_TEST(digest != requestDigest("orders", "GET", "a.example", "", std::string("/x")));
    BOOST_TEST(digest != requestDigest("quotes", "GET", "a.example", "/x", MessageBody()));
}

// Guards against the loss of requests that merely ran on an upstream when it crashed.
BOOST_AUTO_TEST_CASE(oneCrashDoesNotBlock)
{
    CrashSuspects suspects;
    suspects.recordCrash(Other, 1, start);
    suspects.recordCrash(Other, 1, start + 1ms);
    BOOST_TEST(!suspects.blockedUntil(Other, start + 2ms));
    // An answer shows that the request was not the cause.
    suspects.recordAnswer(Other, start + 50ms);
    suspects.recordCrash(Other, 2, start + 1s);
    BOOST_TEST(!suspects.blockedUntil(Other, start + 1s));
    BOOST_TEST(suspects.crashes(Other, start + 1s) == 1U);
}

// Guards against a request that is never tried again after its upstreams have been repaired, and against many trials at
// a time.
BOOST_AUTO_TEST_CASE(blockedRequestsGetOneTrialAtATime)
{
    CrashSuspects suspects;
    suspects.recordCrash(Deadly, 1, start);
    suspects.recordCrash(Deadly, 2, start + 1s);
    BOOST_REQUIRE(suspects.blockedUntil(Deadly, start + 1s).has_value());
    BOOST_TEST((*suspects.blockedUntil(Deadly, start + 1s) == start + 1s + CrashSuspects::BlockTime));
    const auto trial = start + 1s + CrashSuspects::BlockTime;
    BOOST_TEST(!suspects.blockedUntil(Deadly, trial));
    suspects.recordStart(Deadly, trial);
    BOOST_TEST(suspects.blockedUntil(Deadly, trial + 1ms).has_value());
    suspects.recordCrash(Deadly, 3, trial + 100ms);
    BOOST_TEST((*suspects.blockedUntil(Deadly, trial + 100ms) == trial + 100ms + CrashSuspects::BlockTime));
    const auto second = trial + 100ms + CrashSuspects::BlockTime;
    suspects.recordStart(Deadly, second);
    suspects.recordAnswer(Deadly, second + 100ms);
    BOOST_TEST(!suspects.blockedUntil(Deadly, second + 100ms));
}

// Guards against requests that are blocked because live upstreams close connections, for example for lack of room.
BOOST_AUTO_TEST_CASE(closedConnectionsOfLiveUpstreamsAreNoCrashes)
{
    CrashSuspects suspects;
    suspects.recordCrash(Other, 1, start);
    suspects.recordCrash(Other, 2, start + 10ms);
    // Sent before the connection was closed, so the upstream may have crashed since.
    suspects.recordAlive(1, start - 1ms, start + 20ms);
    BOOST_TEST(suspects.crashes(Other, start + 20ms) == 2U);
    suspects.recordAlive(1, start + 1ms, start + 30ms);
    BOOST_TEST(!suspects.blockedUntil(Other, start + 30ms));
}

// Guards against callers that end further upstreams through instances that have not seen the first ones crash.
BOOST_AUTO_TEST_CASE(crashesAreSharedByInstances)
{
    CrashSuspects first;
    CrashSuspects second;
    first.recordCrash(Deadly, 1, start);
    exchange(first, second, start + 100ms);
    BOOST_TEST(!second.blockedUntil(Deadly, start + 200ms));
    second.recordCrash(Deadly, 2, start + 1s);
    exchange(second, first, start + 1100ms);
    BOOST_TEST(first.blockedUntil(Deadly, start + 1200ms).has_value());
    BOOST_TEST(second.blockedUntil(Deadly, start + 1200ms).has_value());
    // An instance that starts later learns it too.
    CrashSuspects third;
    exchange(first, third, start + 3s);
    BOOST_TEST(third.blockedUntil(Deadly, start + 3s).has_value());
    // So does one of what shows that the request is harmless.
    third.recordAnswer(Deadly, start + 4s);
    exchange(third, first, start + 4s);
    BOOST_TEST(!first.blockedUntil(Deadly, start + 5s));
}

// Guards against crashes that are remembered for ever because instances tell one another of them.
BOOST_AUTO_TEST_CASE(passedOnCrashesDoNotGetYounger)
{
    CrashSuspects first;
    CrashSuspects second;
    first.recordCrash(Deadly, 1, start);
    first.recordCrash(Deadly, 2, start);
    auto now = start;
    for (; now < start + CrashSuspects::MemoryTime + 1s; now += 1s) {
        exchange(first, second, now);
        exchange(second, first, now);
    }
    BOOST_TEST(first.crashes(Deadly, now) == 0U);
    BOOST_TEST(second.crashes(Deadly, now) == 0U);
}

// Guards against memory that grows with each request that was lost.
BOOST_AUTO_TEST_CASE(rememberedRequestsAreBounded)
{
    CrashSuspects suspects;
    suspects.recordCrash(Deadly, 1, start);
    suspects.recordCrash(Deadly, 2, start);
    for (RequestDigest n = 0; n < 10 * CrashSuspects::MaxSuspects; ++n) {
        suspects.recordCrash(1000 + n, 3, start + Milliseconds(n));
    }
    const auto reports = suspects.takeReports(start + 5s);
    BOOST_TEST(reports.size() <= CrashSuspects::MaxSuspects);
    // Single losses do not displace a request that is known to crash upstreams.
    BOOST_TEST(suspects.blockedUntil(Deadly, start + 5s).has_value());
}
