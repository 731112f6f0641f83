#pragma once

#include "laburnumspar/types.h"

#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Command line options of lspar-upstream.
struct UpstreamOptions {
    std::string ip = "127.0.0.1";
    std::uint16_t basePort = 18000;
    unsigned count = 20;
    unsigned slots = 6; ///< concurrent executions per upstream
    unsigned connections = 350; ///< maximum number of connections per upstream
    unsigned queue = 12; ///< maximum number of requests waiting for a slot per upstream
    std::string service = "orders";
    std::vector<std::string> zones; ///< assigned to the upstreams in rotation
    double runMs = 20; ///< mean execution time of requests without the parameter `run_ms`
    double probeMs = 25; ///< time for which a health probe occupies a slot
    std::uint64_t seed = 1;
    Endpoint control{"127.0.0.1", 17999}; ///< address of the control server
    unsigned threads = 2; ///< threads that serve the upstreams
};

/// Parses the command line. Returns nothing after printing the help text. Throws UsageError.
std::optional<UpstreamOptions> parseUpstreamOptions(int argc, const char *const *argv);

} // namespace laburnumspar::tools
