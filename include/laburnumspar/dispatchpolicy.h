#pragma once

#include "laburnumspar/plugin.h"
#include "laburnumspar/types.h"

#include <cstddef>
#include <random>
#include <span>

namespace laburnumspar {

/// Random number generator of a dispatcher; seeded, so that runs are reproducible.
using RandomEngine = std::mt19937_64;

/// An upstream with at least one free slot.
struct PolicyCandidate {
    const UpstreamId *id = nullptr; ///< never null in a call of DispatchPolicy::choose()
    unsigned slots = 0; ///< at least 1
    unsigned outstanding = 0;
};

/// Chooses the upstream for the next request. Implementations are plug-ins; each dispatcher has its own object.
class DispatchPolicy
{
public:
    virtual ~DispatchPolicy() = default;

    /// Returns the index of the chosen candidate. `candidates` is not empty and is sorted by id.
    virtual std::size_t choose(std::span<const PolicyCandidate> candidates, RandomEngine &random) = 0;
};

} // namespace laburnumspar
