#pragma once

#include "laburnumspar/types.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Command-line options of lspar-load.
struct LoadOptions {
    std::string scenario; ///< path of the scenario file
    std::uint64_t seed = 1; ///< of the random arrivals and requests
    std::vector<Endpoint> entries; ///< entry instances that callers query for addresses
    bool direct = false; ///< send requests directly to the upstreams, without the fleet
    Endpoint control; ///< control endpoint of the upstreams
    std::string json; ///< path of the JSON report; empty: not written
    unsigned threads = 3; ///< number of worker threads
};

/// Parses the command line; empty after printing the help text for --help. Throws UsageError.
std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv);

} // namespace laburnumspar::tools
