#pragma once

#include <cstdlib>

/// Global fixture that runs rapidcheck properties with a fixed seed, unless RC_PARAMS is already set.
struct SeededProperties {
    SeededProperties()
    {
        constexpr int KeepExisting = 0;
        setenv("RC_PARAMS", "seed=1", KeepExisting);
    }
};
