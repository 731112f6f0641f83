#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace laburnumspar::detail {

/// Evidence of one attempt as it is kept.
struct Sample {
    EvidenceKind kind = EvidenceKind::Success;
    Microseconds runTime{0};
    TimePoint sentAt;
    TimePoint at;
    std::uint64_t attempt = 0;
};

/// The latest evidence about one upstream and work class.
class EvidenceWindow
{
public:
    /// Enough for the tests of PeerComparison to reach their limits, and for a change to show after 64 answers.
    static constexpr std::size_t Capacity = 64;

    /// Adds a sample, or replaces the Overdue one of the same attempt. Returns true if it was added.
    bool add(const Sample &sample);
    void discardBefore(TimePoint at);
    void discardIf(const std::function<bool(const Sample &)> &predicate);
    void clear();

    const std::deque<Sample> &samples() const
    {
        return m_samples;
    }
    /// Attempts that were still running when last reported.
    std::size_t overdue() const
    {
        return m_overdue;
    }
    /// Median of the latest run times, of attempts that ended or are overdue; 0 if there are none.
    Microseconds medianRunTime() const;

private:
    std::deque<Sample> m_samples;
    std::size_t m_overdue = 0;
};

} // namespace laburnumspar::detail
