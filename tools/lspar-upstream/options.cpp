#include "options.h"

#include "laburnumspar/errors.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace po = boost::program_options;

std::vector<std::string> splitCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

void validateOptions(const UpstreamOptions &options)
{
    if (options.count == 0 || options.slots == 0 || options.connections == 0 || options.threads == 0) {
        throw UsageError("--count, --slots, --connections and --threads must be at least 1");
    }
    if (options.basePort == 0 || options.basePort + options.count > 65536U) {
        throw UsageError("--base-port must be at least 1, and --base-port plus --count at most 65536");
    }
    if (options.zones.empty() || options.runMs < 0 || options.probeMs < 0) {
        throw UsageError("--zones must name at least one zone; --run-time-ms and --probe-ms must not be negative");
    }
}

} // namespace

std::optional<UpstreamOptions> parseUpstreamOptions(int argc, const char *const *argv)
{
    UpstreamOptions options;
    std::string zones = "a";
    std::string control = toString(options.control);
    po::options_description description("lspar-upstream: simulated upstreams on loopback ports");
    auto add = description.add_options();
    add("help", "print this text");
    add("listen", po::value(&options.ip), "IP address to listen on");
    add("base-port", po::value(&options.basePort), "port of the first upstream");
    add("count", po::value(&options.count), "number of upstreams");
    add("slots", po::value(&options.slots), "maximum number of concurrent executions per upstream");
    add("connections", po::value(&options.connections), "maximum number of connections per upstream");
    add("queue",
        po::value(&options.queue),
        "maximum number of requests waiting for a slot per upstream; others are shed");
    add("service", po::value(&options.service), "service name");
    add("zones", po::value(&zones), "comma-separated zones, assigned to the upstreams in rotation");
    add("run-time-ms", po::value(&options.runMs), "mean execution time in milliseconds");
    add("probe-ms", po::value(&options.probeMs), "time for which GET /health occupies a slot, in milliseconds");
    add("seed", po::value(&options.seed), "random seed of the execution times");
    add("control", po::value(&control), "IP:PORT of the control endpoint");
    add("threads", po::value(&options.threads), "threads that serve the upstreams");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &error) {
        throw UsageError(error.what());
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    const auto endpoint = parseEndpoint(control);
    if (!endpoint) {
        throw UsageError("--control must be IP:PORT");
    }
    options.control = *endpoint;
    options.zones = splitCommas(zones);
    validateOptions(options);
    return options;
}

} // namespace laburnumspar::tools
