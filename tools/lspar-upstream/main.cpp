#include "controlserver.h"
#include "executioncounts.h"
#include "options.h"
#include "upstream.h"

#include "laburnumspar/errors.h"

#include <boost/asio.hpp>

#include <iostream>
#include <thread>

using namespace laburnumspar;
using namespace laburnumspar::tools;

namespace {

namespace asio = boost::asio;

/// Serves until SIGINT or SIGTERM. The contexts are declared after the upstreams, so that the coroutines, which use the
/// upstreams, are destroyed first.
void serve(const UpstreamOptions &options)
{
    const auto start = Clock::now();
    ExecutionCounts executions;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    ControlServer control(options, upstreams, executions, start);
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (unsigned n = 0; n < options.threads; ++n) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
    }
    for (unsigned n = 0; n < options.count; ++n) {
        upstreams.push_back(std::make_unique<Upstream>(options, n, executions, start));
        upstreams.back()->start(*contexts[n % contexts.size()]);
    }
    asio::io_context controlContext(1);
    control.start(controlContext);
    asio::signal_set signals(controlContext, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { controlContext.stop(); });
    std::vector<std::jthread> threads;
    for (auto &context : contexts) {
        threads.emplace_back([&context] { context->run(); });
    }
    std::cout << "serving " << options.count << " upstreams of " << options.service << " from " << options.ip << ':'
              << options.basePort << ", control on " << toString(options.control) << std::endl;
    controlContext.run();
    for (auto &context : contexts) {
        context->stop();
    }
    threads.clear();
}

} // namespace

int main(int argc, char **argv)
{
    try {
        if (const auto options = parseUpstreamOptions(argc, argv)) {
            serve(*options);
        }
        return 0;
    } catch (const UsageError &error) {
        std::cerr << "lspar-upstream: " << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "lspar-upstream: " << error.what() << '\n';
        return 1;
    }
}
