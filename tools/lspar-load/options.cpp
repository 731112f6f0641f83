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
        throw UsageError(option + ": '" + text + "' must be IP:PORT");
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
    po::options_description description("lspar-load: generates open-loop load from a scenario file\n"
                                        "exit codes: 0: no violations and all bounds met; 1: violations or missed "
                                        "bounds; 2: invalid arguments or scenario; 3: other errors\n"
                                        "options");
    auto add = description.add_options();
    add("help", "print this text");
    add("scenario", po::value(&options.scenario), "scenario file (TOML)");
    add("seed", po::value(&options.seed), "seed of the random arrivals and requests");
    add("entries", po::value(&entries), "caller addresses (IP:PORT) of entry instances, separated by commas");
    add("direct", po::bool_switch(&options.direct), "send directly to the upstreams, as a baseline without the fleet");
    add("control", po::value(&control), "control endpoint (IP:PORT) of lspar-upstream");
    add("json", po::value(&options.json), "write the report to this file as JSON");
    add("threads", po::value(&options.threads), "number of worker threads");
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
        throw UsageError("--scenario, --threads of at least 1, and exactly one of --entries and --direct are required");
    }
    return options;
}

} // namespace laburnumspar::tools
