#include "commands.h"

#include "laburnumspar/errors.h"

#include <functional>
#include <iostream>
#include <map>

using namespace laburnumspar;
using namespace laburnumspar::tool;

namespace {

struct Command {
    std::function<ExitCode(const Arguments &)> run;
    const char *summary;
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all{
        {"run", {runCommand, "run an instance until SIGTERM or SIGINT (--settings FILE)"}},
        {"serve", {serveCommand, "forward by route on the operators' platform (settings file in LABURNUMSPAR_CONFIG)"}},
        {"check", {checkCommand, "check a settings file without starting (--settings, --service or --platform FILE)"}},
        {"print", {printCommand, "print the effective settings (--settings, --service or --platform FILE)"}},
        {"dump", {dumpCommand, "print the state of a running instance (--admin IP:PORT)"}},
        {"addresses", {addressesCommand, "print the addresses to call for a service (--at IP:PORT --service NAME)"}},
        {"version", {versionCommand, "print the version"}},
    };
    return all;
}

void printUsage(std::ostream &out)
{
    out << "usage: laburnumspar COMMAND [OPTION...]\n\ncommands:\n";
    for (const auto &[name, command] : commands()) {
        out << "  " << name << std::string(12 - name.size(), ' ') << command.summary << '\n';
    }
    out << "\n'laburnumspar COMMAND --help' lists the options of a command.\n";
}

int runNamed(const std::string &name, const Arguments &arguments)
{
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout);
        return static_cast<int>(ExitCode::Success);
    }
    const auto it = commands().find(name == "--version" ? "version" : name);
    if (it == commands().end()) {
        std::cerr << "laburnumspar: unknown command '" << name << "'\n";
        printUsage(std::cerr);
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(it->second.run(arguments));
}

int fail(ExitCode code, const std::exception &e)
{
    std::cerr << "laburnumspar: " << e.what() << '\n';
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        printUsage(std::cerr);
        return static_cast<int>(ExitCode::Usage);
    }
    try {
        return runNamed(argv[1], Arguments(argv + 2, argv + argc));
    } catch (const UsageError &e) {
        return fail(ExitCode::Usage, e);
    } catch (const SettingsError &e) {
        return fail(ExitCode::InvalidSettings, e);
    } catch (const std::exception &e) {
        return fail(ExitCode::Failure, e);
    }
}
