#include "options.h"

#include "laburnumspar/errors.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace po = boost::program_options;

Endpoint readEndpoint(const std::string &option, const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw UsageError(option + ": " + text + " is not IP:PORT");
    }
    return *endpoint;
}

std::vector<Endpoint> readEndpoints(const std::string &option, const std::string &text)
{
    std::vector<Endpoint> endpoints;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        endpoints.push_back(readEndpoint(option, part));
    }
    return endpoints;
}

} // namespace

std::optional<LoadOptions> parseLoadOptions(int argc, const char *const *argv)
{
    LoadOptions options;
    std::string entries;
    std::string control = "127.0.0.1:17999";
    po::options_description description("lspar-load: open-loop load from a scenario file\n"
                                        "exit 0: all promises and bounds kept; 1: one was broken; 2: usage; 3: failed");
    auto add = description.add_options();
    add("help", "print this text");
    add("scenario", po::value(&options.scenario), "scenario file (TOML)");
    add("seed", po::value(&options.seed), "seed of arrivals and requests");
    add("entries", po::value(&entries), "caller addresses of entry instances, separated by commas");
    add("direct", po::bool_switch(&options.direct), "send straight to the upstreams, as a baseline");
    add("control", po::value(&control), "control endpoint of lspar-upstream");
    add("json", po::value(&options.json), "write the report to this file as JSON");
    add("threads", po::value(&options.threads), "sending threads");
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
    options.entries = readEndpoints("--entries", entries);
    options.control = readEndpoint("--control", control);
    if (options.scenario.empty() || options.threads == 0 || options.entries.empty() != options.direct) {
        throw UsageError("--scenario, at least one thread, and exactly one of --entries and --direct are needed");
    }
    return options;
}

} // namespace laburnumspar::tools
