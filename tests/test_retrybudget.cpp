#include "laburnumspar/retrybudget.h"

#include "fixedseed.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace laburnumspar;

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

namespace {

TimePoint at(int ms)
{
    return TimePoint(Milliseconds(100'000 + ms));
}

int spendAll(RetryBudget &budget, TimePoint now)
{
    int spent = 0;
    while (spent < 1000 && budget.trySpend(now)) {
        ++spent;
    }
    return spent;
}

} // namespace

// Guards against retry storms: even if all requests fail, retries stay a fixed share of the first attempts.
BOOST_AUTO_TEST_CASE(retriesAreAShareOfAttempts)
{
    RetryBudget budget(0.1, Milliseconds(10'000), 2);
    for (int n = 0; n < 100; ++n) {
        budget.recordFirstAttempt(at(n));
    }
    BOOST_TEST(spendAll(budget, at(100)) == 12);
}

// Guards against a service with little traffic that is never allowed a retry.
BOOST_AUTO_TEST_CASE(reserveNeedsNoFirstAttempts)
{
    RetryBudget budget(0.1, Milliseconds(10'000), 3);
    BOOST_TEST(spendAll(budget, at(0)) == 3);
    BOOST_TEST(spendAll(budget, at(5'000)) == 0);
    BOOST_TEST(spendAll(budget, at(10'000)) == 3);
}

// Guards against budget that accumulates over hours, and against counts that survive a pause of the process.
BOOST_AUTO_TEST_CASE(oldAttemptsLeaveTheWindow)
{
    RetryBudget budget(0.5, Milliseconds(10'000), 0);
    for (int n = 0; n < 100; ++n) {
        budget.recordFirstAttempt(at(n));
    }
    BOOST_TEST(!budget.trySpend(at(3'600'000)));
    budget.recordFirstAttempt(at(3'600'000));
    budget.recordFirstAttempt(at(3'600'001));
    BOOST_TEST(spendAll(budget, at(3'600'002)) == 1);
}

// Guards against any sequence of calls, with gaps in time, that is allowed more retries than the share plus the
// reserve.
BOOST_AUTO_TEST_CASE(budgetHoldsForRandomSequences)
{
    const bool held = rc::check([](const std::vector<std::pair<bool, std::uint8_t>> &operations) {
        RetryBudget budget(0.25, Milliseconds(2'000), 1);
        std::vector<int> attempts;
        std::vector<int> retries;
        int now = 0;
        const auto since = [&now](const std::vector<int> &times, int ms) {
            return double(std::count_if(times.begin(), times.end(), [&](int time) { return time > now - ms; }));
        };
        for (const auto &[attempt, gap] : operations) {
            now += gap;
            if (attempt) {
                budget.recordFirstAttempt(at(now));
                attempts.push_back(now);
            } else if (budget.trySpend(at(now))) {
                retries.push_back(now);
                // The window moves in buckets of a twentieth of its length, so retries are counted over 1.9 s.
                RC_ASSERT(since(retries, 1'900) <= 0.25 * since(attempts, 2'000) + 1);
            }
        }
    });
    BOOST_TEST(held);
}
