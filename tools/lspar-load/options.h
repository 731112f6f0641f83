#pragma once

#include "laburnumspar/types.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Command line of lspar-load.
struct LoadOptions {
    std::string scenario;
    std::uint64_t seed = 1;
    std::vector<Endpoint> entries; ///< entry instances that callers ask for addresses
    bool direct = false; ///< straight to the upstreams, without the fleet
    Endpoint control; ///< control endpoint of the upstreams
    std::string json; ///< file for the report; empty: none
    unsigned threads = 3;
};

/// Empty if only the help text was asked for. Throws UsageError.
std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv);

} // namespace laburnumspar::tools
