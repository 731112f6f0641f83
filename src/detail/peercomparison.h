#pragma once

#include "detail/evidencewindow.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// Evidence against an upstream, as natural logarithms of the odds that it is faulty and not like its peers.
struct FaultScores {
    double slow = 0; ///< from run times
    double failure = 0; ///< from failed attempts
};

/// Numbers of samples by their result.
struct EvidenceCounts {
    double timed = 0; ///< samples that show whether the attempt was slow
    double slow = 0; ///< including very slow ones
    double verySlow = 0;
    double ended = 0; ///< samples that show whether the attempt failed
    double failed = 0;
    std::array<double, EnumNames<EvidenceKind>::Names.size()> failedBy{}; ///< by EvidenceKind
};

/// Compares the evidence about the upstreams of one pool and request class.
///
/// Uses a sequential likelihood ratio test: each sample adds the logarithm of the ratio between its likelihood at a
/// faulty upstream and at an upstream like the peers. The rates of the peers are taken over the same period, so that
/// changes common to all upstreams cancel out.
class PeerComparison
{
public:
    struct Entry {
        const EvidenceWindow *window = nullptr;
        bool reference = true; ///< the other upstreams are compared with this one
    };

    explicit PeerComparison(std::vector<Entry> entries);

    /// Run time above which an attempt at upstream `n` counts as slow; empty without evidence from peers.
    std::optional<Microseconds> slowThreshold(std::size_t n) const;
    /// The same for any upstream, with all references as peers.
    std::optional<Microseconds> slowThreshold() const;
    /// Maximum of the scores over all possible starts of a fault.
    FaultScores scores(std::size_t n) const;
    /// Scores from the samples of attempts sent since `from`; negative scores are evidence for a healthy upstream.
    FaultScores scoresSince(std::size_t n, TimePoint from) const;

private:
    /// Like scores(), but with the rates of the peers over their whole windows.
    FaultScores
    approximateScores(std::size_t n, const EvidenceCounts &all, std::optional<Microseconds> slowThreshold) const;
    EvidenceCounts
    peerCounts(std::size_t n, std::optional<TimePoint> from, std::optional<Microseconds> slowThreshold) const;

    std::vector<Entry> m_entries;
    std::vector<Microseconds> m_medians;
};

} // namespace laburnumspar::detail
