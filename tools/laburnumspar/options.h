#pragma once

#include "commands.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/types.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>

namespace laburnumspar::tool {

namespace po = boost::program_options;

/// Parses the arguments. Prints the help and returns an empty value if --help is given. Throws UsageError.
inline std::optional<po::variables_map> parseOptions(po::options_description options, const Arguments &arguments)
{
    options.add_options()("help,h", "print this help");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(options).positional({}).run(), values);
        if (values.count("help") > 0) {
            std::cout << options;
            return std::nullopt;
        }
        po::notify(values);
    } catch (const po::error &e) {
        throw UsageError(e.what());
    }
    return values;
}

/// Value of an option of the form IP:PORT. Throws UsageError if it is not valid.
inline Endpoint endpointOption(const po::variables_map &values, const char *name)
{
    const auto text = values[name].as<std::string>();
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        throw UsageError(std::string("--") + name + ": '" + text + "' is not of the form IP:PORT");
    }
    return *endpoint;
}

} // namespace laburnumspar::tool
