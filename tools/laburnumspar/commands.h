#pragma once

#include <string>
#include <vector>

namespace laburnumspar::tool {

enum class ExitCode : int {
    Success = 0,
    Failure = 1, ///< at run time, such as an address that is taken or a server that does not answer
    Usage = 2,
    InvalidSettings = 3,
};

using Arguments = std::vector<std::string>;

/// Each takes the arguments after its name. They throw UsageError, SettingsError or TransportError.
ExitCode runCommand(const Arguments &arguments);
ExitCode serveCommand(const Arguments &arguments);
ExitCode checkCommand(const Arguments &arguments);
ExitCode printCommand(const Arguments &arguments);
ExitCode dumpCommand(const Arguments &arguments);
ExitCode addressesCommand(const Arguments &arguments);
ExitCode versionCommand(const Arguments &arguments);

} // namespace laburnumspar::tool
