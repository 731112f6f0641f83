#pragma once

#include <string>
#include <vector>

namespace laburnumspar::tool {

enum class ExitCode : int {
    Success = 0,
    Failure = 1, ///< at run time, such as an address in use or a server that does not respond
    Usage = 2, ///< wrong arguments or an unreadable file
    InvalidSettings = 3,
};

using Arguments = std::vector<std::string>;

/// Functions of the commands. They take the arguments after the command name and throw UsageError, SettingsError or
/// TransportError.
ExitCode runCommand(const Arguments &arguments);
ExitCode serveCommand(const Arguments &arguments);
ExitCode checkCommand(const Arguments &arguments);
ExitCode printCommand(const Arguments &arguments);
ExitCode dumpCommand(const Arguments &arguments);
ExitCode addressesCommand(const Arguments &arguments);
ExitCode versionCommand(const Arguments &arguments);

} // namespace laburnumspar::tool
