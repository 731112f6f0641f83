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

void check(const UpstreamOptions &options)
{
    if (options.count == 0 || options.slots == 0 || options.connections == 0 || options.threads == 0) {
        throw UsageError("--count, --slots, --connections and --threads must be at least 1");
    }
    if (options.basePort == 0 || options.basePort + options.count > 65536U) {
        throw UsageError("--base-port and --count exceed the range of port numbers");
    }
    if (options.zones.empty() || options.runMs < 0 || options.probeMs < 0) {
        throw UsageError("--zones must name a zone, and times must not be negative");
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
    add("slots", po::value(&options.slots), "concurrent executions per upstream");
    add("connections", po::value(&options.connections), "connections per upstream");
    add("queue", po::value(&options.queue), "requests waiting for a slot per upstream; more are shed");
    add("service", po::value(&options.service), "service name");
    add("zones", po::value(&zones), "zones, separated by commas, assigned in rotation");
    add("run-time-ms", po::value(&options.runMs), "mean execution time");
    add("probe-ms", po::value(&options.probeMs), "slot time of GET /health");
    add("seed", po::value(&options.seed), "seed of the execution times");
    add("control", po::value(&control), "address of the control endpoint");
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
    check(options);
    return options;
}

} // namespace laburnumspar::tools
