#include "laburnumspar/dispatchpolicy.h"

#include <cstdint>
#include <tuple>

namespace laburnumspar {

namespace {

/// Compares the ratios of outstanding requests to slots without division.
bool lessLoaded(const PolicyCandidate &a, const PolicyCandidate &b)
{
    return std::uint64_t(a.outstanding) * b.slots < std::uint64_t(b.outstanding) * a.slots;
}

bool idLess(const UpstreamId &a, const UpstreamId &b)
{
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
}

std::size_t randomBelow(std::size_t limit, RandomEngine &random)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

/// Chooses the lowest ratio of outstanding requests to slots; ties are broken at random.
class LeastLoadedPolicy : public DispatchPolicy
{
public:
    std::size_t choose(std::span<const PolicyCandidate> candidates, RandomEngine &random) override
    {
        std::size_t best = 0;
        std::size_t ties = 1;
        for (std::size_t n = 1; n < candidates.size(); ++n) {
            if (lessLoaded(candidates[n], candidates[best])) {
                best = n;
                ties = 1;
            } else if (!lessLoaded(candidates[best], candidates[n]) && randomBelow(++ties, random) == 0) {
                best = n;
            }
        }
        return best;
    }
};

/// Chooses the less loaded of two random candidates; a baseline for comparisons.
class TwoChoicesPolicy : public DispatchPolicy
{
public:
    std::size_t choose(std::span<const PolicyCandidate> candidates, RandomEngine &random) override
    {
        const std::size_t a = randomBelow(candidates.size(), random);
        const std::size_t b = randomBelow(candidates.size(), random);
        return lessLoaded(candidates[b], candidates[a]) ? b : a;
    }
};

/// Chooses candidates in the order of their ids, regardless of load; a baseline for comparisons.
class RoundRobinPolicy : public DispatchPolicy
{
public:
    std::size_t choose(std::span<const PolicyCandidate> candidates, RandomEngine &) override
    {
        std::size_t next = 0;
        while (next < candidates.size() && !idLess(m_last, *candidates[next].id)) {
            ++next;
        }
        if (next == candidates.size()) {
            next = 0;
        }
        m_last = *candidates[next].id;
        return next;
    }

private:
    UpstreamId m_last;
};

const Registration<DispatchPolicy, LeastLoadedPolicy> leastLoaded("least-loaded");
const Registration<DispatchPolicy, TwoChoicesPolicy> twoChoices("two-choices");
const Registration<DispatchPolicy, RoundRobinPolicy> roundRobin("round-robin");

} // namespace

} // namespace laburnumspar
