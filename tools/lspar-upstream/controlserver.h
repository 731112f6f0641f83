#pragma once

#include "executioncounts.h"
#include "upstream.h"

#include <memory>
#include <vector>

namespace laburnumspar::tools {

/// HTTP endpoint that reports the counters of all upstreams and sets their faults.
class Control
{
public:
    Control(const UpstreamOptions &options,
            std::vector<std::unique_ptr<Upstream>> &upstreams,
            const RunLedger &ledger,
            TimePoint start);

    /// Listens on the context; throws TransportError if the address is taken. Must outlive the context.
    void start(boost::asio::io_context &context);

private:
    boost::asio::awaitable<void> listen(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    HttpResponse answer(const HttpRequest &request);
    std::string stats(std::string_view target) const;
    std::string runs(const HttpRequest &request) const;
    std::string setFaults(std::string_view target);
    std::int64_t clockMs() const;

    const UpstreamOptions &m_options;
    std::vector<std::unique_ptr<Upstream>> &m_upstreams;
    const RunLedger &m_ledger;
    TimePoint m_start;
};

} // namespace laburnumspar::tools
