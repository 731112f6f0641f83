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

constexpr int Broken = 1;
constexpr int Usage = 2;

} // namespace

int main(int argc, char **argv)
{
    soak::Options options;
    po::options_description description("lspar-soak: runs a fleet of real processes under random faults");
    description.add_options()("help,h", "print this help")(
        "program", po::value(&options.program)->required(), "the laburnumspar program")(
        "directory", po::value(&options.directory)->required(), "for settings and logs")(
        "seed", po::value(&options.seed), "draws the faults")(
        "seconds", po::value(&options.seconds), "time with faults")(
        "instances", po::value(&options.instances), "processes of the fleet")(
        "upstreams", po::value(&options.upstreams), "upstreams at first")(
        "callers", po::value(&options.callers), "callers")(
        "base-port", po::value(&options.basePort), "first of six ports on 127.0.2.0 to 127.0.6.255");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
        std::signal(SIGPIPE, SIG_IGN);
        configureLog("warning", "keyvalue");
        std::filesystem::create_directories(options.directory);
        return soak::Plan(options).run() ? 0 : Broken;
    } catch (const po::error &e) {
        std::cerr << "lspar-soak: " << e.what() << '\n';
        return Usage;
    } catch (const std::exception &e) {
        std::cerr << "lspar-soak: " << e.what() << '\n';
        return Broken;
    }
}
