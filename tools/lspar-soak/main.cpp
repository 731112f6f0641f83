#include "soaktest.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

using namespace laburnumspar;
namespace po = boost::program_options;

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

} // namespace

int main(int argc, char **argv)
{
    soak::Options options;
    po::options_description description("lspar-soak: runs a fleet of processes under random faults");
    description.add_options()("help,h", "print this help")(
        "program", po::value(&options.program)->required(), "path of the laburnumspar program")(
        "directory", po::value(&options.directory)->required(), "directory for settings and logs")(
        "seed", po::value(&options.seed), "random seed of the faults")(
        "stops", po::bool_switch(), "stop instances in calm instead of injecting faults")(
        "seconds", po::value(&options.seconds), "duration of the phase with faults or stops, in seconds")(
        "grace", po::value(&options.graceSeconds), "time from SIGTERM until an instance must have exited, in seconds")(
        "instances", po::value(&options.instances), "number of instances")(
        "upstreams", po::value(&options.upstreams), "initial number of upstreams")(
        "callers", po::value(&options.callers), "number of callers")(
        "base-port", po::value(&options.basePort), "first of six consecutive ports, used on 127.0.2.0 to 127.0.6.255");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        options.scenario = values["stops"].as<bool>() ? soak::Scenario::Stops : soak::Scenario::Faults;
        std::signal(SIGPIPE, SIG_IGN);
        configureLog("warning", "keyvalue");
        std::filesystem::create_directories(options.directory);
        return soak::SoakTest(options).run() ? 0 : ExitFailure;
    } catch (const po::error &e) {
        std::cerr << "lspar-soak: " << e.what() << '\n';
        return ExitUsageError;
    } catch (const std::exception &e) {
        std::cerr << "lspar-soak: " << e.what() << '\n';
        return ExitFailure;
    }
}
