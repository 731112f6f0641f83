#pragma once

#include <cstdlib>

/// Global fixture: rapidcheck properties run with one seed, unless RC_PARAMS names another.
struct SeededProperties {
    SeededProperties()
    {
        constexpr int KeepExisting = 0;
        setenv("RC_PARAMS", "seed=1", KeepExisting);
    }
};
