#pragma once

#include "laburnumspar/types.h"

#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Command line of lspar-upstream.
struct UpstreamOptions {
    std::string ip = "127.0.0.1";
    std::uint16_t basePort = 18000;
    unsigned count = 20;
    unsigned slots = 6; ///< per upstream
    unsigned connections = 350; ///< per upstream
    unsigned queue = 12; ///< requests waiting for a slot, per upstream
    std::string service = "orders";
    std::vector<std::string> zones; ///< assigned to the upstreams in rotation
    double runMs = 20; ///< mean execution time of requests that do not name one
    double probeMs = 25;
    std::uint64_t seed = 1;
    Endpoint control{"127.0.0.1", 17999};
    unsigned threads = 2;
};

/// Empty if only the help text was asked for. Throws UsageError.
std::optional<UpstreamOptions> parseUpstreamOptions(int argc, const char *const *argv);

} // namespace laburnumspar::tools
