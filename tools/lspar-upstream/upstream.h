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

/// One simulated upstream. Served by the single thread of its I/O context; counters and fault may be reached
/// from any thread.
class Upstream
{
public:
    Upstream(const UpstreamOptions &options, unsigned index, RunLedger &ledger, TimePoint start);

    /// Listens; throws TransportError if the port is taken. Must outlive the context.
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

    template <typename Function>
    void count(Function function);
    void countArrival(const Work &work, TimePoint now);

    boost::asio::awaitable<void> listen(boost::asio::ip::tcp::acceptor acceptor);
    boost::asio::awaitable<void> acceptFrom(boost::asio::ip::tcp::acceptor &acceptor);
    boost::asio::awaitable<void> serve(Socket socket);
    boost::asio::awaitable<bool> answerOne(Socket &socket, const HttpRequest &request);
    boost::asio::awaitable<WorkEnd> handle(Socket &socket, const Work &work);
    boost::asio::awaitable<WorkEnd> execute(const Work &work, std::shared_ptr<Waiter> waiter);
    boost::asio::awaitable<bool> send(Socket &socket, const Work &work, HttpResponse &answer);
    std::chrono::nanoseconds runTime(const Work &work, const Fault &fault, TimePoint now);
    void applyRefusal();

    const UpstreamOptions &m_options;
    Endpoint m_address;
    std::string m_zone;
    RunLedger &m_ledger;
    TimePoint m_start;
    boost::asio::io_context *m_context = nullptr;
    boost::asio::ip::tcp::acceptor *m_acceptor = nullptr;
    std::set<Socket *> m_sockets;
    SlotGate m_gate;
    std::mt19937_64 m_random;
    std::string m_previousId;
    std::uint64_t m_wrongAnswers = 0;

    mutable std::mutex m_mutex;
    UpstreamCounters m_counters;
    Fault m_fault;
};

} // namespace laburnumspar::tools
