#pragma once

#include "counters.h"
#include "executioncounts.h"
#include "fault.h"
#include "options.h"
#include "slotsemaphore.h"
#include "upstreamrequest.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <mutex>
#include <random>
#include <set>

namespace laburnumspar::tools {

/// Simulated upstream. It is served by the single thread of its I/O context; counters(), fault() and setFault() may be
/// called from any thread.
class Upstream
{
public:
    Upstream(const UpstreamOptions &options, unsigned index, ExecutionCounts &executions, TimePoint start);

    /// Starts to serve requests on the context. Throws TransportError if the address cannot be bound. The object must
    /// outlive the context.
    void start(boost::asio::io_context &context);

    UpstreamCounters counters() const;
    Fault fault() const;
    void setFault(const Fault &fault);
    const Endpoint &address() const
    {
        return m_address;
    }
    const std::string &zone() const
    {
        return m_zone;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    class Connection;
    class Execution;

    /// Calls `update` with the counters while holding the mutex.
    template <typename Function>
    void updateCounters(Function update);
    void countArrival(const UpstreamRequest &request, TimePoint now);

    /// Accepts connections. While the Refuse fault is active, the listener is closed.
    boost::asio::awaitable<void> acceptConnections(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> acceptUntilRefusing(boost::asio::ip::tcp::acceptor &acceptor);
    boost::asio::awaitable<void> serve(Socket socket);
    /// Handles a request and sends the response. Returns false if the connection is to be closed.
    boost::asio::awaitable<bool> serveRequest(Socket &socket, const HttpRequest &httpRequest);
    boost::asio::awaitable<RequestOutcome> handle(Socket &socket, const UpstreamRequest &request);
    /// Occupies the acquired slot for the execution time, until the deadline or until the caller disconnects.
    boost::asio::awaitable<RequestOutcome> execute(const UpstreamRequest &request, std::shared_ptr<Waiter> waiter);
    /// Sends the response, which the faults Wrong and Truncate alter. Returns false if the connection is to be closed.
    boost::asio::awaitable<bool> send(Socket &socket, const UpstreamRequest &request, HttpResponse &response);
    std::chrono::nanoseconds executionTime(const UpstreamRequest &request, const Fault &fault, TimePoint now);
    /// Closes the listener and all connections if the Refuse fault is active.
    void closeIfRefusing();

    const UpstreamOptions &m_options;
    Endpoint m_address;
    std::string m_zone;
    ExecutionCounts &m_executions;
    TimePoint m_start;
    boost::asio::io_context *m_context = nullptr;
    boost::asio::ip::tcp::acceptor *m_acceptor = nullptr;
    std::set<Socket *> m_sockets; ///< open connections within the limit
    SlotSemaphore m_slots;
    std::mt19937_64 m_random;
    std::string m_previousRequestId;
    std::uint64_t m_wrongAnswers = 0;

    mutable std::mutex m_mutex; ///< protects the members below
    UpstreamCounters m_counters;
    Fault m_fault;
};

} // namespace laburnumspar::tools
