#pragma once

#include "executioncounts.h"
#include "upstream.h"

#include <memory>
#include <vector>

namespace laburnumspar::tools {

/// HTTP server that reports the counters of all upstreams and sets their faults. Not thread-safe.
class ControlServer
{
public:
    ControlServer(const UpstreamOptions &options,
                  std::vector<std::unique_ptr<Upstream>> &upstreams,
                  const ExecutionCounts &executions,
                  TimePoint start);

    /// Starts to serve requests on the context. Throws TransportError if the address cannot be bound. The object must
    /// outlive the context.
    void start(boost::asio::io_context &context);

private:
    boost::asio::awaitable<void> acceptConnections(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    HttpResponse handle(const HttpRequest &request);
    /// Body of the response to /control/stats.
    std::string stats(std::string_view target) const;
    /// Body of the response to /control/runs: executions of the keys in the body of a POST, otherwise of all requests
    /// that were executed more than once.
    std::string runs(const HttpRequest &request) const;
    /// Applies POST /control/fault and returns the body of the response. Throws UsageError.
    std::string setFaults(std::string_view target);
    /// Time since the start of the process.
    std::int64_t elapsedMs() const;

    const UpstreamOptions &m_options;
    std::vector<std::unique_ptr<Upstream>> &m_upstreams;
    const ExecutionCounts &m_executions;
    TimePoint m_start;
};

} // namespace laburnumspar::tools
