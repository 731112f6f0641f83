#include "laburnumspar/upstreamassignment.h"
#include "laburnumspar/upstreampool.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 4;
const TimePoint begin{1000s};

UpstreamNotice limitedTo(double rate)
{
    UpstreamNotice notice;
    notice.requestRate = rate;
    return notice;
}

/// Instances that each have more requests than the upstreams take, and upstreams of which some name a request rate. All
/// in virtual time; the instances exchange observations.
struct OverloadedGroup {
    struct Instance {
        InstanceStatus status;
        std::unique_ptr<UpstreamAssignment> assignment;
        std::unique_ptr<UpstreamPool> pool;
    };
    struct Running {
        std::size_t instance = 0;
        UpstreamPool::Choice choice;
        TimePoint end;
    };

    static constexpr Milliseconds RunTime{100};
    static constexpr Milliseconds Step{10};
    static constexpr Milliseconds ObservationInterval{200};

    OverloadedGroup(std::vector<std::string> zones, const std::vector<std::string> &upstreamZones)
    {
        for (std::size_t n = 0; n < zones.size(); ++n) {
            Instance instance;
            instance.status.ip = "10.0.0." + std::to_string(n + 1);
            instance.status.zone = zones[n];
            instance.status.role = InstanceRole::Active;
            instance.assignment = std::make_unique<UpstreamAssignment>(instance.status.ip);
            instance.pool = std::make_unique<UpstreamPool>(zones[n], n + 1);
            instances.push_back(std::move(instance));
        }
        setActive(instances.size());
        for (auto &instance : instances) {
            instance.pool->setRateShare(
                [&assignment = *instance.assignment](const auto &it) { return assignment.rateShare(it); });
            for (std::size_t n = 0; n < upstreamZones.size(); ++n) {
                RegisteredUpstream upstream;
                upstream.id = "u" + std::to_string(n);
                upstream.zone = upstreamZones[n];
                upstream.slots = 8;
                instance.pool->put(upstream, now);
            }
        }
    }

    /// Makes the first instances active and the others not. Those still have requests.
    void setActive(std::size_t count)
    {
        std::vector<InstanceStatus> active;
        for (std::size_t n = 0; n < count; ++n) {
            active.push_back(instances[n].status);
        }
        for (auto &instance : instances) {
            instance.assignment->update(active);
        }
    }

    void runFor(Milliseconds time)
    {
        for (const auto end = now + time; now < end; now += Step) {
            finishDue();
            for (std::size_t n = 0; n < instances.size(); ++n) {
                if (const auto choice = instances[n].pool->startAttempt({&latency, true, true, {}}, now)) {
                    running.push_back({n, *choice, now + RunTime});
                    arrivals[choice->upstream.id].push_back(now);
                }
            }
            if ((now - begin) % ObservationInterval == 0ms) {
                exchangeObservations();
            }
        }
    }

    void finishDue()
    {
        while (!running.empty() && running.front().end <= now) {
            auto &pool = *instances[running.front().instance].pool;
            const auto &choice = running.front().choice;
            pool.receiveNotice(choice.upstream, limitedTo(rates[choice.upstream.id]), now);
            pool.finishAttempt(choice.attempt, AttemptOutcome::Success, std::nullopt, now);
            running.pop_front();
        }
    }

    void exchangeObservations()
    {
        for (auto &from : instances) {
            for (const auto &observation : from.pool->takeObservations(now)) {
                for (auto &to : instances) {
                    if (&to != &from) {
                        to.pool->addRemoteObservation(observation, now);
                    }
                }
            }
        }
    }

    /// Largest number of requests that reached the upstream in 4 s, in windows that begin at `from` or later.
    std::size_t mostIn4s(const std::string &id, TimePoint from)
    {
        std::size_t most = 0;
        std::deque<TimePoint> window;
        for (const auto at : arrivals[id]) {
            if (at < from) {
                continue;
            }
            window.push_back(at);
            while (window.front() <= at - 4s) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    std::size_t countSince(const std::string &id, TimePoint from)
    {
        return std::size_t(
            std::count_if(arrivals[id].begin(), arrivals[id].end(), [from](TimePoint at) { return at >= from; }));
    }

    void limit(const std::vector<std::string> &ids, double rate)
    {
        for (const auto &id : ids) {
            rates[id] = rate;
        }
    }

    LatencyModel latency{100ms};
    TimePoint now = begin;
    std::vector<Instance> instances;
    std::deque<Running> running;
    std::map<std::string, std::vector<TimePoint>> arrivals;
    std::map<std::string, double> rates{{"u0", UpstreamNotice::Unlimited},
                                        {"u1", UpstreamNotice::Unlimited},
                                        {"u2", UpstreamNotice::Unlimited},
                                        {"u3", UpstreamNotice::Unlimited}};
};

/// What an upstream with the rate may get in 4 s.
constexpr double maxIn4s(double rate)
{
    return 1.5 * rate * 4 + 5;
}

} // namespace

// Guards against instances that each send an upstream as much as it takes from all of them together, and against
// leaving most of its rate unused.
BOOST_AUTO_TEST_CASE(requestRateIsOneForAllInstances)
{
    OverloadedGroup group({"palermo", "catania", "messina"}, {"palermo", "palermo", "catania", "messina"});
    group.limit({"u0", "u1", "u2"}, Rate);
    group.runFor(20s);
    for (const auto *id : {"u0", "u1", "u2"}) {
        BOOST_TEST(double(group.mostIn4s(id, begin + 3s)) <= maxIn4s(Rate));
        BOOST_TEST(double(group.countSince(id, begin + 10s)) >= 0.7 * Rate * 10);
    }
    BOOST_TEST(group.countSince("u3", begin + 10s) > 500U);
}

// Guards against an excess while the active instances change, as when they are stopped and started in turn.
BOOST_AUTO_TEST_CASE(requestRateHoldsWhileTheActiveInstancesChange)
{
    OverloadedGroup group({"palermo", "palermo", "palermo", "palermo"}, {"palermo", "palermo", "palermo", "palermo"});
    group.limit({"u0", "u1", "u2", "u3"}, Rate);
    group.runFor(3s);
    for (const std::size_t active : {2U, 4U, 1U, 3U, 1U, 4U}) {
        group.setActive(active);
        group.runFor(2s);
    }
    for (const auto *id : {"u0", "u1", "u2", "u3"}) {
        BOOST_TEST(double(group.mostIn4s(id, begin + 3s)) <= maxIn4s(Rate));
    }
}

// Guards against an upstream that stays limited after it has stopped naming a rate.
BOOST_AUTO_TEST_CASE(requestRateEndsWhenTheUpstreamNamesNone)
{
    OverloadedGroup group({"palermo", "catania"}, {"palermo", "palermo", "catania", "catania"});
    group.limit({"u0", "u1", "u2", "u3"}, Rate);
    group.runFor(5s);
    group.limit({"u0", "u1", "u2", "u3"}, UpstreamNotice::Unlimited);
    group.runFor(5s);
    for (const auto *id : {"u0", "u1", "u2", "u3"}) {
        BOOST_TEST(group.countSince(id, begin + 7s) > 100U);
    }
}

// Guards against a burst after a time without requests.
BOOST_AUTO_TEST_CASE(unusedRateIsNotSaved)
{
    UpstreamConstraints constraints;
    constraints.apply("u", 0, limitedTo(10), begin);
    int sent = 0;
    for (const auto now = begin + 60s; sent < 100 && constraints.allows("u", 1, now); ++sent) {
        constraints.recordRequest("u", 1, now);
    }
    BOOST_TEST(sent == 5);
}

// Guards against a division by zero, and against requests to an upstream that takes none.
BOOST_AUTO_TEST_CASE(rateOfZeroAllowsNothing)
{
    UpstreamConstraints constraints;
    constraints.apply("u", 0, limitedTo(0), begin);
    BOOST_TEST(!constraints.allowedFrom("u", 1, begin + 60s));
    constraints.apply("u", 0, limitedTo(2), begin);
    BOOST_TEST(!constraints.allowedFrom("u", 0, begin + 60s));
    BOOST_REQUIRE(constraints.allowedFrom("u", 1, begin));
    BOOST_TEST((*constraints.allowedFrom("u", 1, begin) == begin + 500ms));
    constraints.apply("u", 0, {}, begin);
    BOOST_TEST(constraints.allows("u", 0, begin));
}
