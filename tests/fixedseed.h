#pragma once

#include <cstdlib>

namespace laburnumspar {

/// Global fixture: rapidcheck generates the same cases in each run, unless RC_PARAMS is set.
struct FixedSeed {
    FixedSeed()
    {
        ::setenv("RC_PARAMS", "seed=7", 0);
    }
};

} // namespace laburnumspar
