#pragma once

#include "laburnumspar/plugin.h"
#include "laburnumspar/types.h"

#include <cstddef>
#include <random>
#include <span>

namespace laburnumspar {

/// Source of all random choices of one dispatcher; seeded, so that a run can be repeated.
using RandomEngine = std::mt19937_64;

/// An upstream with at least one free slot.
struct PolicyCandidate {
    const UpstreamId *id = nullptr; ///< never null while a policy chooses
    unsigned slots = 0; ///< at least 1
    unsigned outstanding = 0;
};

/// Chooses the upstream for the next request; plug-in, one object per dispatcher.
class DispatchPolicy
{
public:
    virtual ~DispatchPolicy() = default;

    /// Index of the chosen candidate. The candidates are not empty and are sorted by id.
    virtual std::size_t choose(std::span<const PolicyCandidate> candidates, RandomEngine &random) = 0;
};

} // namespace laburnumspar
