#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace laburnumspar::detail {

/// Stored evidence of one attempt.
struct Sample {
    EvidenceKind kind = EvidenceKind::Success;
    Microseconds runTime{0};
    TimePoint sentAt;
    TimePoint at;
    std::uint64_t attempt = 0;
};

/// The latest evidence about one upstream and request class.
class EvidenceWindow
{
public:
    /// Large enough for the scores of PeerComparison to reach their thresholds, small enough for a change to show after
    /// 64 answers.
    static constexpr std::size_t Capacity = 64;

    /// Adds a sample, or updates the Overdue sample of the same attempt. Returns true if it was added.
    bool add(const Sample &sample);
    void discardBefore(TimePoint at);
    void discardIf(const std::function<bool(const Sample &)> &predicate);
    void clear();

    const std::deque<Sample> &samples() const
    {
        return m_samples;
    }
    /// Number of attempts that were still running when last reported.
    std::size_t overdue() const
    {
        return m_overdue;
    }
    /// Median run time of the latest attempts that succeeded, timed out or are overdue; 0 if there are none.
    Microseconds medianRunTime() const;

private:
    std::deque<Sample> m_samples;
    std::size_t m_overdue = 0;
};

} // namespace laburnumspar::detail
