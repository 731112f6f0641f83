// Simulated configuration platform for tests and demonstrations.
#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"
#include "platformserver.h"
#include "valuefiles.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace laburnumspar;
namespace asio = boost::asio;
namespace po = boost::program_options;

constexpr int ExitRuntimeError = 1;
constexpr int ExitUsageError = 2;
constexpr int ExitInvalidSettings = 3;

struct Options {
    std::string listen;
    std::string values;
    std::string instances;
    std::string logLevel;
    bool help = false;
};

po::options_description describeOptions(Options &options)
{
    po::options_description description("lspar-platform: serves settings and the instance list on loopback");
    auto add = description.add_options();
    add("help", po::bool_switch(&options.help), "print this text");
    add("listen",
        po::value(&options.listen)->default_value("127.0.0.1:7500"),
        "loopback IP:PORT to listen on; port 0 selects a free port");
    add("values",
        po::value(&options.values),
        "TOML file (path = text) or directory tree with the values; SIGHUP reloads it");
    add("instances", po::value(&options.instances), "JSON file with the instance list; SIGHUP reloads it");
    add("log-level",
        po::value(&options.logLevel)->default_value("info"),
        "log level: trace, debug, info, warning, error or off");
    return description;
}

// The control endpoints have no authentication, so the server accepts only loopback addresses.
Endpoint parseLoopbackEndpoint(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint || !asio::ip::make_address(endpoint->ip).is_loopback()) {
        throw UsageError("--listen " + text + ": expected a loopback address as IP:PORT");
    }
    return *endpoint;
}

void loadFiles(const Options &options, tools::PlatformService &service)
{
    if (!options.values.empty()) {
        service.loadValues(tools::readValues(options.values));
    }
    if (!options.instances.empty()) {
        service.loadInstances(tools::readInstances(options.instances));
    }
}

asio::awaitable<void> reloadOnSignal(const Options &options, tools::PlatformService &service)
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGHUP);
    for (;;) {
        co_await signals.async_wait(asio::use_awaitable);
        try {
            loadFiles(options, service);
            logEvent(LogLevel::Info, "files reloaded");
        } catch (const std::exception &e) {
            logEvent(LogLevel::Error, "reload failed, keeping the previous values", {{"error", e.what()}});
        }
    }
}

int run(const Options &options)
{
    asio::io_context context(1);
    tools::PlatformService service(context.get_executor());
    loadFiles(options, service);
    tools::PlatformServer server(context, parseLoopbackEndpoint(options.listen), service);
    asio::signal_set stop(context, SIGINT, SIGTERM);
    stop.async_wait([&context](auto, int) { context.stop(); });
    asio::co_spawn(context, reloadOnSignal(options, service), asio::detached);
    server.start();
    logEvent(LogLevel::Info, "listening", {{"address", toString(server.address())}});
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Options options;
        const auto description = describeOptions(options);
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, description), variables);
        po::notify(variables);
        if (options.help) {
            std::cout << description;
            return 0;
        }
        configureLog(options.logLevel, "keyvalue");
        return run(options);
    } catch (const po::error &e) {
        std::cerr << e.what() << '\n';
        return ExitUsageError;
    } catch (const UsageError &e) {
        std::cerr << e.what() << '\n';
        return ExitUsageError;
    } catch (const SettingsError &e) {
        std::cerr << e.what() << '\n';
        return ExitInvalidSettings;
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return ExitRuntimeError;
    }
}
