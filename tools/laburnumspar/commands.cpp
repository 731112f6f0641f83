#include "commands.h"

#include "laburnumspar/gateway.h"
#include "laburnumspar/instance.h"
#include "laburnumspar/log.h"
#include "laburnumspar/settings.h"
#include "laburnumspar/version.h"
#include "net/io.h"
#include "options.h"
#include "platform/adapter.h"
#include "platform/names.h"
#include "platform/settingsfile.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace laburnumspar::tool {

namespace {

using detail::http::status;

std::string readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        throw UsageError("cannot read " + file);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

ProcessSettings readSettings(const std::string &file)
{
    return parseProcessSettings(readFile(file), file);
}

/// Returns the effective settings of the file named in the arguments as TOML; empty if only the help was requested.
std::optional<std::string> effectiveSettings(const std::string &command, const Arguments &arguments)
{
    po::options_description options("options of " + command);
    options.add_options()("settings", po::value<std::string>(), "settings file of a process")(
        "service", po::value<std::string>(), "file with the settings value of a service")(
        "platform", po::value<std::string>(), "settings file of the operators' platform, as for serve");
    const auto values = parseOptions(options, arguments);
    if (!values) {
        return std::nullopt;
    }
    if (values->count("settings") + values->count("service") + values->count("platform") != 1) {
        throw UsageError(command + ": exactly one of --settings, --service and --platform is required");
    }
    if (values->count("platform") > 0) {
        const auto file = (*values)["platform"].as<std::string>();
        return toToml(platform::parseSettings(readFile(file), file));
    }
    if (values->count("settings") > 0) {
        return toToml(readSettings((*values)["settings"].as<std::string>()));
    }
    const auto file = (*values)["service"].as<std::string>();
    return toToml(parseServiceSettings(readFile(file), file));
}

/// Handles signals on a thread of its own, so that they are processed even while all workers are busy.
class SignalThread
{
public:
    SignalThread(Instance &instance, const std::string &file)
        : m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    {
        wait(instance, file);
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~SignalThread()
    {
        m_context.stop();
        m_thread.join();
    }
    SignalThread(const SignalThread &) = delete;
    SignalThread &operator=(const SignalThread &) = delete;

private:
    void wait(Instance &instance, const std::string &file)
    {
        m_signals.async_wait([this, &instance, file](detail::error_code ec, int signal) {
            if (ec) {
                return;
            }
            // First, so that an exception does not end the wait.
            wait(instance, file);
            signal == SIGHUP ? reload(instance, file) : instance.requestStop();
        });
    }

    static void reload(Instance &instance, const std::string &file)
    {
        try {
            instance.reload(readSettings(file));
        } catch (const InvariantError &) {
            throw;
        } catch (const std::exception &e) {
            logEvent(LogLevel::Error, "settings.reload-failed", {{"error", e.what()}});
        }
    }

    detail::asio::io_context m_context;
    detail::asio::signal_set m_signals;
    std::thread m_thread;
};

/// Returns the body of a response with status 200. Throws TransportError for any other status and on network errors.
std::string httpGet(const Endpoint &server, const std::string &target)
{
    constexpr std::chrono::seconds Timeout{5};
    detail::asio::io_context context;
    detail::beast::tcp_stream stream(context);
    detail::http::response<detail::http::string_body> response;
    std::optional<std::string> failure = "no response from " + toString(server);
    detail::asio::co_spawn(
        context,
        [&]() -> detail::awaitable<void> {
            stream.expires_after(Timeout);
            co_await stream.async_connect(detail::toAsio<detail::tcp>(server), detail::asio::use_awaitable);
            detail::http::request<detail::http::empty_body> request{detail::http::verb::get, target, 11};
            request.set(detail::http::field::host, toString(server));
            co_await detail::http::async_write(stream, request, detail::asio::use_awaitable);
            detail::beast::flat_buffer buf;
            co_await detail::http::async_read(stream, buf, response, detail::asio::use_awaitable);
            failure.reset();
        },
        [&](std::exception_ptr error) {
            try {
                if (error) {
                    std::rethrow_exception(error);
                }
            } catch (const std::exception &e) {
                failure = toString(server) + ": " + e.what();
            }
        });
    context.run();
    if (failure) {
        throw TransportError(*failure);
    }
    if (response.result() != status::ok) {
        throw TransportError(toString(server) + ": status " + std::to_string(response.result_int()) + ": "
                             + response.body());
    }
    return response.body();
}

} // namespace

ExitCode runCommand(const Arguments &arguments)
{
    po::options_description options("options of run");
    options.add_options()("settings", po::value<std::string>()->required(), "settings file of the process")(
        "seed",
        po::value<std::uint64_t>()->default_value(0),
        "seed of the random number generators; 0: from the operating system");
    const auto values = parseOptions(options, arguments);
    if (!values) {
        return ExitCode::Success;
    }
    const auto file = (*values)["settings"].as<std::string>();
    const auto settings = readSettings(file);
    configureLog(settings.logLevel, settings.logFormat);
    const auto instance = Instance::Builder().settings(settings).seed((*values)["seed"].as<std::uint64_t>()).build();
    int code = 0;
    {
        SignalThread signals(*instance, file);
        code = instance->run();
    }
    // Suspended coroutines still refer to parts of the instance, so the process ends without destroying it.
    std::cout.flush();
    std::quick_exit(code);
}

ExitCode serveCommand(const Arguments &arguments)
{
    po::options_description options("options of serve");
    options.add_options()("settings", po::value<std::string>(), "settings file of the operators' platform (TOML)")(
        "metrics-port", po::value<std::uint16_t>()->default_value(0), "port for metrics and state dumps; 0: none")(
        "log-level", po::value<std::string>()->default_value("info"), "trace, debug, info, warning, error or off");
    const auto values = parseOptions(options, arguments);
    if (!values) {
        return ExitCode::Success;
    }
    const char *variable = std::getenv(platform::names::SettingsVariable);
    if (values->count("settings") == 0 && variable == nullptr) {
        throw UsageError(std::string("serve: --settings or ") + platform::names::SettingsVariable + " is required");
    }
    const auto file = values->count("settings") > 0 ? (*values)["settings"].as<std::string>() : std::string(variable);
    const auto read = [&] {
        auto settings = platform::parseSettings(readFile(file), file);
        settings.logLevel = (*values)["log-level"].as<std::string>();
        if (const auto port = (*values)["metrics-port"].as<std::uint16_t>(); port != 0) {
            settings.metrics = Endpoint{settings.ip, port};
        }
        return settings;
    };
    auto settings = read();
    configureLog(settings.logLevel, "json", LogFlush::Buffered);
    std::signal(SIGPIPE, SIG_IGN);
    Gateway gateway(std::move(settings), platform::makeAdapter());
    gateway.run(read);
    flushLog();
    // The log has been flushed. A regular exit could hang, because the log library waits for its thread, which may no
    // longer run.
    std::quick_exit(static_cast<int>(ExitCode::Success));
}

ExitCode checkCommand(const Arguments &arguments)
{
    const auto settings = effectiveSettings("check", arguments);
    if (settings) {
        std::cout << "valid\n";
    }
    return ExitCode::Success;
}

ExitCode printCommand(const Arguments &arguments)
{
    const auto settings = effectiveSettings("print", arguments);
    if (settings) {
        std::cout << *settings;
    }
    return ExitCode::Success;
}

ExitCode dumpCommand(const Arguments &arguments)
{
    po::options_description options("options of dump");
    options.add_options()("admin", po::value<std::string>()->required(), "administration address, IP:PORT")(
        "metrics", po::bool_switch(), "print the metrics instead of the tables");
    const auto values = parseOptions(options, arguments);
    if (!values) {
        return ExitCode::Success;
    }
    std::cout << httpGet(endpointOption(*values, "admin"), (*values)["metrics"].as<bool>() ? "/metrics" : "/dump");
    return ExitCode::Success;
}

ExitCode addressesCommand(const Arguments &arguments)
{
    po::options_description options("options of addresses");
    options.add_options()("at", po::value<std::string>()->required(), "caller address of an instance, IP:PORT")(
        "service", po::value<std::string>()->required(), "name of the service")(
        "zone", po::value<std::string>()->default_value(""), "availability zone of the caller");
    const auto values = parseOptions(options, arguments);
    if (!values) {
        return ExitCode::Success;
    }
    auto target = "/v1/addresses?ids=0&service=" + (*values)["service"].as<std::string>();
    if (const auto zone = (*values)["zone"].as<std::string>(); !zone.empty()) {
        target += "&zone=" + zone;
    }
    std::cout << httpGet(endpointOption(*values, "at"), target);
    return ExitCode::Success;
}

ExitCode versionCommand(const Arguments &arguments)
{
    if (!arguments.empty()) {
        throw UsageError("version: takes no options");
    }
    std::cout << "laburnumspar " << Version << '\n';
    return ExitCode::Success;
}

} // namespace laburnumspar::tool
