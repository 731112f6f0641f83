#include "laburnumspar/quotaledger.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

constexpr QuotaTerms Terms{5s, 0.25, 20};
constexpr Milliseconds Step{20};
constexpr Milliseconds ReportInterval{200};
constexpr Milliseconds HeartbeatInterval{300};

struct Report {
    std::size_t from = 0;
    std::size_t to = 0;
    TimePoint arrives;
    std::optional<InstanceStatus> status;
    QuotaReport quota;
};

/// Active instances that exchange statuses and reports in virtual time, and callers of one organisation.
struct Fleet {
    explicit Fleet(std::size_t count, const Quota &quota, std::uint64_t seed = 1)
        : random(seed)
    {
        organisation.name = "acme";
        organisation.quota = quota;
        for (std::size_t n = 0; n < count; ++n) {
            incarnations.push_back(1);
            up.push_back(true);
            demand.push_back(0);
            restart(n);
        }
    }

    static std::string ipOf(std::size_t n)
    {
        return "10.1.0." + std::to_string(n + 1);
    }

    /// Replaces an instance by one without memory.
    void restart(std::size_t n)
    {
        if (ledgers.size() <= n) {
            ledgers.emplace_back();
        }
        ledgers[n] = std::make_unique<QuotaLedger>(ipOf(n), Terms, now);
        ledgers[n]->setActive(true);
        ++incarnations[n];
    }

    void run(Milliseconds time)
    {
        for (const auto end = now + time; now < end; now += Step) {
            exchange();
            for (std::size_t n = 0; n < ledgers.size(); ++n) {
                if (up[n]) {
                    sendRequests(n);
                }
            }
        }
    }

    void sendRequests(std::size_t n)
    {
        std::poisson_distribution<int> arrivals(demand[n] * std::chrono::duration<double>(Step).count());
        for (int left = demand[n] > 0 ? arrivals(random) : 0; left > 0; --left) {
            ledgers[n]->recordArrival(now);
            if (ledgers[n]->trySpend(organisation, now)) {
                ++refused;
            } else {
                granted.push_back(now);
            }
        }
        if (background > 0) {
            std::poisson_distribution<int> others(background * std::chrono::duration<double>(Step).count());
            for (int left = others(random); left > 0; --left) {
                ledgers[n]->recordArrival(now);
            }
        }
    }

    void exchange()
    {
        const auto ticks = (now - TimePoint()) / Step;
        for (std::size_t from = 0; from < ledgers.size(); ++from) {
            if (!up[from]) {
                continue;
            }
            // The instances send at different moments.
            if ((ticks + long(from)) % (HeartbeatInterval / Step) == 0) {
                InstanceStatus status;
                status.ip = ipOf(from);
                status.incarnation = incarnations[from];
                status.role = InstanceRole::Active;
                status.requestRate = std::uint16_t(ledgers[from]->requestRate(now));
                send(from, status, {});
            }
            if ((ticks + long(from)) % (ReportInterval / Step) == 0) {
                for (const auto &it : ledgers[from]->takeReports(32, now)) {
                    send(from, std::nullopt, it);
                }
            }
        }
        for (; !network.empty() && network.front().arrives <= now; network.pop_front()) {
            const auto &it = network.front();
            if (!up[it.to]) {
                continue;
            }
            it.status ? ledgers[it.to]->receiveStatus(*it.status, now)
                      : ledgers[it.to]->receiveReport(ipOf(it.from), it.quota, now);
        }
    }

    void send(std::size_t from, const std::optional<InstanceStatus> &status, const QuotaReport &quota)
    {
        for (std::size_t to = 0; to < ledgers.size(); ++to) {
            if (to != from && isLinked(from, to) && std::bernoulli_distribution(1 - lossShare)(random)) {
                network.push_back({from, to, now + Step, status, quota});
            }
        }
    }

    /// Most requests that ran in any window of the terms.
    std::size_t largestWindow() const
    {
        std::size_t most = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < granted.size(); ++end) {
            while (granted[end] - granted[begin] >= Terms.window) {
                ++begin;
            }
            most = std::max(most, end - begin + 1);
        }
        return most;
    }

    double bound() const
    {
        const double quota = organisation.quota.rate * 5 + organisation.quota.burst;
        return quota * (1 + Terms.excessShare) + Terms.excessRequests;
    }

    void spread(double perSecond)
    {
        std::fill(demand.begin(), demand.end(), perSecond / double(demand.size()));
    }

    TimePoint now{1h};
    std::mt19937_64 random;
    Organisation organisation;
    std::vector<std::unique_ptr<QuotaLedger>> ledgers;
    std::vector<std::uint64_t> incarnations;
    std::vector<bool> up;
    std::vector<double> demand; ///< of the organisation, requests per second by instance
    double background = 20; ///< requests of other organisations per second and instance
    double lossShare = 0;
    std::function<bool(std::size_t, std::size_t)> isLinked = [](std::size_t, std::size_t) { return true; };
    std::deque<Report> network;
    std::vector<TimePoint> granted;
    std::size_t refused = 0;
};

} // namespace

// Load: an organisation sends five times its quota to all instances. Guards against a sum above the bound, and against
// refusing what the quota allows.
BOOST_AUTO_TEST_CASE(aHotOrganisationGetsItsQuota)
{
    for (const std::size_t instances : {1U, 6U, 12U}) {
        Fleet fleet(instances, {429, 429});
        fleet.run(4s);
        fleet.spread(260);
        fleet.run(6s);
        fleet.spread(2000);
        fleet.run(8s);
        BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
        const auto last = std::count_if(
            fleet.granted.begin(), fleet.granted.end(), [&fleet](TimePoint at) { return fleet.now - at < 5s; });
        BOOST_TEST(double(last) >= 0.95 * 5 * 429);
    }
}

// Load: many small organisations, each with fewer requests than instances. Guards against refusing what lies within the
// quota because requests meet at one instance.
BOOST_AUTO_TEST_CASE(aSmallOrganisationIsNotRefusedWithinItsQuota)
{
    std::size_t granted = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(12, {2.4, 2.4}, seed);
        fleet.run(4s);
        fleet.spread(1.5);
        fleet.run(30s);
        granted += fleet.granted.size();
        refused += fleet.refused;
    }
    BOOST_TEST(double(refused) <= 0.01 * double(granted));
}

// Load: all callers of an organisation use one availability zone, that is, two instances of six. Guards against shares
// that stay where there is no demand.
BOOST_AUTO_TEST_CASE(sharesFollowTheDemandOfAnOrganisation)
{
    Fleet fleet(6, {100, 100});
    fleet.run(4s);
    fleet.demand = {40, 40, 0, 0, 0, 0};
    fleet.run(5s);
    fleet.refused = 0;
    fleet.granted.clear();
    fleet.run(10s);
    BOOST_TEST(double(fleet.refused) <= 0.02 * double(fleet.granted.size()));
    fleet.demand = {0, 0, 0, 400, 400, 0};
    fleet.run(6s);
    BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
}

// Failure: two halves of the fleet do not see each other for 10 s while an organisation presses on both. Guards against
// each half spending the whole quota.
BOOST_AUTO_TEST_CASE(halvesThatLoseSightOfEachOtherKeepTheQuota)
{
    Fleet fleet(8, {100, 100});
    fleet.run(4s);
    fleet.spread(60);
    fleet.run(4s);
    fleet.isLinked = [](std::size_t from, std::size_t to) { return (from < 4) == (to < 4); };
    fleet.spread(800);
    fleet.run(10s);
    fleet.isLinked = [](std::size_t, std::size_t) { return true; };
    fleet.run(4s);
    BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
}

// Failure: an instance is frozen for 8 s and wakes. Guards against tokens that it has saved meanwhile.
BOOST_AUTO_TEST_CASE(aFrozenInstanceWakesWithItsShareOfOneBurst)
{
    Fleet fleet(4, {100, 100});
    fleet.run(4s);
    fleet.spread(600);
    fleet.run(4s);
    fleet.up[0] = false;
    fleet.run(8s);
    fleet.up[0] = true;
    fleet.run(6s);
    BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
}

// Failure: all instances are killed and start again without memory, in the middle of a window.
BOOST_AUTO_TEST_CASE(aRestartOfAllInstancesKeepsTheQuota)
{
    for (const double burst : {100.0, 400.0}) {
        Fleet fleet(6, {100, burst});
        fleet.run(6s);
        fleet.spread(800);
        fleet.run(1s);
        for (std::size_t n = 0; n < fleet.ledgers.size(); ++n) {
            fleet.restart(n);
        }
        fleet.run(8s);
        BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
    }
}

// Failure and load: an organisation sends eight times its quota while instances leave the active ones and others
// without memory take their place. Guards against a burst that each set of active instances spends anew.
BOOST_AUTO_TEST_CASE(aBurstDuringAChangeOfTheActiveInstancesKeepsTheQuota)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(8, {100, 100}, seed);
        for (std::size_t n = 4; n < 8; ++n) {
            fleet.up[n] = false;
        }
        fleet.run(4s);
        fleet.demand = {15, 15, 15, 15, 0, 0, 0, 0};
        fleet.run(4s);
        // The callers move with the change, half of them at once.
        fleet.demand = {200, 200, 0, 0, 200, 200, 0, 0};
        for (const std::size_t n : {4U, 5U}) {
            fleet.up[n] = true;
            fleet.restart(n);
        }
        fleet.up[2] = fleet.up[3] = false;
        fleet.run(2s);
        fleet.demand = {0, 0, 0, 0, 200, 200, 200, 200};
        for (const std::size_t n : {6U, 7U}) {
            fleet.up[n] = true;
            fleet.restart(n);
        }
        fleet.up[0] = fleet.up[1] = false;
        fleet.run(6s);
        BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound(), "seed " << seed << ": " << fleet.largestWindow());
    }
}

// Failure: a quota is cut to a tenth while callers press. Guards against the old burst being spent afterwards.
BOOST_AUTO_TEST_CASE(aLowerQuotaTakesForceAtOnce)
{
    Fleet fleet(6, {200, 200});
    fleet.run(4s);
    fleet.spread(100);
    fleet.run(4s);
    fleet.organisation.quota = {20, 20};
    fleet.granted.clear();
    fleet.spread(400);
    fleet.run(8s);
    BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound());
}

// Load and failures at random: instances restart, freeze and lose each other while the demand moves. Guards against a
// sum above the bound in any of these mixes.
BOOST_AUTO_TEST_CASE(theQuotaHoldsUnderRandomFailures)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Fleet fleet(3 + seed % 8, {double(20 + 17 * (seed % 5)), double(20 + 17 * (seed % 5))}, seed);
        fleet.lossShare = 0.05;
        fleet.run(4s);
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::size_t count) { return std::size_t(random() % count); };
        for (int turn = 0; turn < 12; ++turn) {
            const auto n = pick(fleet.ledgers.size());
            fleet.demand[n] = fleet.organisation.quota.rate * double(pick(5));
            const auto action = pick(6);
            if (action == 0) {
                fleet.restart(pick(fleet.ledgers.size()));
            } else if (action == 1) {
                const auto frozen = pick(fleet.ledgers.size());
                std::fill(fleet.up.begin(), fleet.up.end(), true);
                fleet.up[frozen] = false;
            } else {
                std::fill(fleet.up.begin(), fleet.up.end(), true);
            }
            fleet.run(Milliseconds(500 + 100 * pick(20)));
        }
        BOOST_TEST(double(fleet.largestWindow()) <= fleet.bound(), "seed " << seed << ": " << fleet.largestWindow());
    }
}
