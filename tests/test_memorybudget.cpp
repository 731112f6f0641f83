#include "gateway/messagebody.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MiB = 1 << 20;
constexpr std::size_t KiB = 1 << 10;

MemoryReservation reserve(MemoryBudget &budget, MemoryUse use, std::size_t bytes)
{
    MemoryReservation reservation(budget, use);
    BOOST_TEST(reservation.resize(bytes));
    return reservation;
}

} // namespace

// Guards against memory that is counted twice, or never released, when a reservation is passed on.
BOOST_AUTO_TEST_CASE(reservationsAreReleasedOnce)
{
    MemoryBudget budget(16 * MiB);
    {
        auto first = reserve(budget, MemoryUse::Request, MiB);
        auto second = reserve(budget, MemoryUse::Answer, 2 * MiB);
        BOOST_TEST(budget.held() == 3 * MiB);
        first = std::move(second);
        BOOST_TEST(budget.held() == 2 * MiB);
        const MemoryReservation third(std::move(first));
        BOOST_TEST(budget.held() == 2 * MiB);
    }
    BOOST_TEST(budget.held() == 0U);
}

// Guards against a reservation that grows without room, and against one that can't shrink in a full budget.
BOOST_AUTO_TEST_CASE(aFullBudgetRefuses)
{
    MemoryBudget budget(16 * MiB);
    auto answer = reserve(budget, MemoryUse::Answer, 15 * MiB);
    auto other = reserve(budget, MemoryUse::Answer, MiB);
    BOOST_TEST(!other.resize(MiB + 1));
    BOOST_TEST(other.bytes() == MiB);
    BOOST_TEST(budget.refused(MemoryUse::Answer) == 1U);
    BOOST_TEST(!answer.resize(std::numeric_limits<std::size_t>::max()));
    // Bytes that are there already are counted in any case.
    auto early = MemoryReservation(budget, MemoryUse::EarlyBytes);
    early.hold(KiB);
    BOOST_TEST(budget.held() == 16 * MiB + KiB);
    BOOST_TEST(answer.resize(MiB));
    BOOST_TEST(budget.held() == 2 * MiB + KiB);
}

// Guards against answers of requests that have run, and small requests, that fail because large requests wait.
BOOST_AUTO_TEST_CASE(largeRequestsLeaveRoomForAnswersAndSmallRequests)
{
    MemoryBudget budget(16 * MiB);
    auto large = reserve(budget, MemoryUse::Request, 13 * MiB);
    BOOST_TEST(!MemoryReservation(budget, MemoryUse::Request).resize(65 * KiB));
    std::vector<MemoryReservation> small;
    for (int n = 0; n < 16; ++n) {
        small.push_back(reserve(budget, MemoryUse::Request, 64 * KiB));
    }
    BOOST_TEST(!MemoryReservation(budget, MemoryUse::Request).resize(1));
    reserve(budget, MemoryUse::Answer, 2 * MiB);
}

// Guards against a Retry-After after which a request can't fit, or that is much longer than the wait.
BOOST_AUTO_TEST_CASE(expectedWaitFollowsTheReleaseRate)
{
    MemoryBudget budget(160 * MiB);
    TimePoint now{1s};
    budget.tick(now);
    // 40 MiB a second are released.
    for (int n = 0; n < 50; ++n) {
        reserve(budget, MemoryUse::Answer, 4 * MiB);
        budget.tick(now += 100ms);
    }
    const auto held = reserve(budget, MemoryUse::Answer, 130 * MiB);
    const auto wait = budget.expectedWait(40 * MiB);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() > 900);
    BOOST_TEST(wait->count() < 1100);
    BOOST_TEST(budget.expectedWait(MiB)->count() <= 100);
    // A request that is larger than requests may ever be fits at no time.
    BOOST_TEST(!budget.expectedWait(150 * MiB).has_value());
}

// Guards against bodies that change in their pieces, and against memory that is not released with them.
BOOST_AUTO_TEST_CASE(bodiesGrowInPieces)
{
    MemoryBudget budget(16 * MiB);
    std::string expected;
    {
        MessageBody body(budget, MemoryUse::Answer);
        body.announce(100);
        for (int n = 1; n < 1000; ++n) {
            const std::string part(std::size_t(n), char('a' + n % 26));
            BOOST_REQUIRE(body.append(part));
            expected += part;
            BOOST_REQUIRE(budget.held() == expected.size());
        }
        BOOST_TEST((body.text() == expected));
        std::vector<asio::const_buffer> bufs;
        body.appendTo(bufs);
        BOOST_TEST(asio::buffer_size(bufs) == expected.size());
        BOOST_TEST(!body.append(std::string(16 * MiB, 'x')));
        BOOST_TEST((body.text() == expected));
        const MessageBody moved(std::move(body));
        BOOST_TEST(budget.held() == expected.size());
    }
    BOOST_TEST(budget.held() == 0U);
}
