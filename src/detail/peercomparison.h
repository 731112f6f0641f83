#pragma once

#include "detail/evidencewindow.h"

#include <array>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

/// Evidence against an upstream, in natural logarithms of the odds that it is worse than its peers.
struct Suspicion {
    double slow = 0;
    double failure = 0;
};

/// Counts of samples by what they show.
struct EvidenceCounts {
    double timed = 0; ///< samples that tell whether the attempt was slow
    double slow = 0; ///< with very slow ones
    double verySlow = 0;
    double ended = 0; ///< samples that tell whether the attempt failed
    double failed = 0;
    std::array<double, EnumNames<EvidenceKind>::Names.size()> failedBy{};
};

/// Compares the evidence about the upstreams of one pool and work class.
///
/// The test is a sequential likelihood ratio: each sample of an upstream adds the logarithm of how much likelier it is
/// if the upstream is faulty than if it is like its peers. The rates of the peers are taken over the same time, so
/// that a change that all upstreams share cancels out.
class PeerComparison
{
public:
    struct Entry {
        const EvidenceWindow *window = nullptr;
        bool reference = true; ///< its evidence is a measure for others
    };

    explicit PeerComparison(std::vector<Entry> entries);

    /// Run time above which an attempt at upstream `n` counts as slow; empty without evidence of peers.
    std::optional<Microseconds> slowAfter(std::size_t n) const;
    /// Run time above which an attempt at any upstream counts as slow.
    std::optional<Microseconds> slowAfter() const;
    /// Strongest evidence over all possible beginnings of a fault.
    Suspicion suspicion(std::size_t n) const;
    /// Sum over the samples of attempts sent since `from`; negative sums speak for the upstream.
    Suspicion sumSince(std::size_t n, TimePoint from) const;

private:
    /// As suspicion(), but with the rates of the peers over their whole windows.
    Suspicion roughSuspicion(std::size_t n, const EvidenceCounts &all, std::optional<Microseconds> slowAfter) const;
    EvidenceCounts
    peerCounts(std::size_t n, std::optional<TimePoint> from, std::optional<Microseconds> slowAfter) const;

    std::vector<Entry> m_entries;
    std::vector<Microseconds> m_medians;
};

} // namespace laburnumspar::detail
