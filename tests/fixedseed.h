#pragma once

#include <cstdlib>

namespace laburnumspar {

/// Global fixture: rapidcheck draws the same cases in each run, unless RC_PARAMS says otherwise.
struct FixedSeed {
    FixedSeed()
    {
        ::setenv("RC_PARAMS", "seed=7", 0);
    }
};

} // namespace laburnumspar
