#pragma once

#include "laburnumspar/dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace laburnumspar {

/// Time `ms` milliseconds after the start of a test.
inline TimePoint at(int ms)
{
    return TimePoint(Milliseconds(1'000'000 + ms));
}

inline UpstreamId upstream(int n)
{
    return {"10.0.0." + std::to_string(n), 80};
}

/// Upstreams 1 to `upstreams` with `slots` slots each.
inline std::vector<UpstreamCapacity> pool(int upstreams, unsigned slots)
{
    std::vector<UpstreamCapacity> pool;
    for (int n = 1; n <= upstreams; ++n) {
        pool.push_back({upstream(n), slots});
    }
    return pool;
}

/// An idempotent short request; `deadline` is in milliseconds after the start of a test.
inline DispatchRequest shortRequest(std::uint64_t ticket, int deadline, const std::string &team = "a")
{
    return {ticket, team, "/short", RequestClass::Short, at(deadline), true, {}};
}

/// As shortRequest(), but declared as long.
inline DispatchRequest longRequest(std::uint64_t ticket, int deadline, const std::string &team = "a")
{
    return {ticket, team, "/long", RequestClass::Long, at(deadline), true, {}};
}

/// Result of an answered request that ran for `ms` milliseconds.
inline Completion done(int ms)
{
    return {Milliseconds(ms), Outcome::Answered, Reason::None, {}};
}

/// Submits and finishes the request `count` times, each with an execution time of `ms`.
inline void runRequests(Dispatcher &dispatcher, DispatchRequest request, int ms, int count)
{
    for (int n = 0; n < count; ++n) {
        request.ticket = 1'000'000 + std::uint64_t(n);
        dispatcher.submit(request, at(0));
        dispatcher.finish(request.ticket, done(ms), at(0));
    }
}

/// Number of Start decisions.
inline std::size_t countStarts(const std::vector<Decision> &decisions)
{
    return std::size_t(std::count_if(decisions.begin(), decisions.end(), [](const Decision &decision) {
        return decision.kind == Decision::Kind::Start;
    }));
}

/// Checks that the only decision refuses the ticket for this reason.
inline void requireRefusal(const std::vector<Decision> &decisions, std::uint64_t ticket, Reason reason)
{
    BOOST_TEST_REQUIRE(decisions.size() == 1);
    BOOST_CHECK(decisions[0].kind == Decision::Kind::Refuse);
    BOOST_TEST(decisions[0].ticket == ticket);
    BOOST_TEST(name(decisions[0].reason) == name(reason));
}

} // namespace laburnumspar
