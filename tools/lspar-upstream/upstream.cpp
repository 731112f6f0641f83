#include "upstream.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/messages.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Interval at which a refusing upstream checks whether it may listen again.
constexpr Milliseconds RefusalCheck{10};

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

tcp::acceptor openAcceptor(asio::io_context &context, const Endpoint &address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    tcp::acceptor acceptor(context, endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(asio::socket_base::max_listen_connections);
    return acceptor;
}

} // namespace

/// Counts a connection for its lifetime.
class Upstream::Connection
{
public:
    Connection(Upstream &upstream, Socket &socket)
        : m_upstream(upstream)
        , m_socket(socket)
        , m_admitted(upstream.m_sockets.size() < upstream.m_options.connections)
    {
        if (m_admitted) {
            upstream.m_sockets.insert(&socket);
        }
        m_upstream.count([this](UpstreamCounters &counters) {
            counters.beyondConnections += m_admitted ? 0 : 1;
            counters.connections = static_cast<unsigned>(m_upstream.m_sockets.size());
            counters.maxConnections = std::max(counters.maxConnections, counters.connections);
        });
    }
    ~Connection()
    {
        if (m_admitted) {
            m_upstream.m_sockets.erase(&m_socket);
            m_upstream.count([this](UpstreamCounters &counters) {
                counters.connections = static_cast<unsigned>(m_upstream.m_sockets.size());
            });
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool admitted() const
    {
        return m_admitted;
    }

private:
    Upstream &m_upstream;
    Socket &m_socket;
    bool m_admitted;
};

/// Holds a taken slot and counts the execution.
class Upstream::Execution
{
public:
    Execution(Upstream &upstream, const Work &work)
        : m_upstream(upstream)
        , m_work(work)
    {
        m_upstream.count([&](UpstreamCounters &counters) {
            counters.started += work.probe ? 0 : 1;
            counters.running = m_upstream.m_gate.taken();
            counters.maxRunning = std::max(counters.maxRunning, counters.running);
        });
        if (!work.probe) {
            m_upstream.m_ledger.noteStart(work.key);
        }
    }
    ~Execution()
    {
        m_upstream.m_gate.release();
        m_upstream.count([this](UpstreamCounters &counters) {
            counters.running = m_upstream.m_gate.taken();
            if (m_work.probe) {
                counters.cancelledProbes += m_finished ? 0 : 1;
            } else {
                ++(m_finished ? counters.finished : counters.cancelled);
            }
        });
    }
    Execution(const Execution &) = delete;
    Execution &operator=(const Execution &) = delete;

    void finish()
    {
        m_finished = true;
        if (!m_work.probe) {
            m_upstream.m_ledger.noteFinish(m_work.key);
        }
    }

private:
    Upstream &m_upstream;
    const Work &m_work;
    bool m_finished = false;
};

Upstream::Upstream(const UpstreamOptions &options, unsigned index, RunLedger &ledger, TimePoint start)
    : m_options(options)
    , m_address{options.ip, static_cast<std::uint16_t>(options.basePort + index)}
    , m_zone(options.zones[index % options.zones.size()])
    , m_ledger(ledger)
    , m_start(start)
    , m_gate(options.slots, options.queue)
    , m_random(options.seed + index)
{
}

void Upstream::start(asio::io_context &context)
{
    m_context = &context;
    try {
        asio::co_spawn(context, listen(openAcceptor(context, m_address)), asio::detached);
    } catch (const boost::system::system_error &error) {
        throw TransportError("cannot listen on " + toString(m_address) + ": " + error.code().message());
    }
}

template <typename Function>
void Upstream::count(Function function)
{
    std::lock_guard lock(m_mutex);
    function(m_counters);
}

UpstreamCounters Upstream::counters() const
{
    std::lock_guard lock(m_mutex);
    return m_counters;
}

Fault Upstream::fault() const
{
    std::lock_guard lock(m_mutex);
    return m_fault;
}

void Upstream::setFault(const Fault &fault)
{
    {
        std::lock_guard lock(m_mutex);
        m_fault = fault;
    }
    asio::post(*m_context, [this] { applyRefusal(); });
}

void Upstream::applyRefusal()
{
    if (behaviour(fault(), Clock::now()) != FaultKind::Refuse) {
        return;
    }
    if (m_acceptor) {
        m_acceptor->cancel();
    }
    for (auto *socket : m_sockets) {
        boost::system::error_code ec;
        socket->shutdown(tcp::socket::shutdown_both, ec);
    }
}

asio::awaitable<void> Upstream::listen(tcp::acceptor acceptor)
{
    for (;;) {
        m_acceptor = &acceptor;
        co_await acceptFrom(acceptor);
        m_acceptor = nullptr;
        acceptor.close();
        asio::steady_timer timer(*m_context);
        while (behaviour(fault(), Clock::now()) == FaultKind::Refuse) {
            timer.expires_after(RefusalCheck);
            co_await timer.async_wait(Await);
        }
        acceptor = openAcceptor(*m_context, m_address);
    }
}

asio::awaitable<void> Upstream::acceptFrom(tcp::acceptor &acceptor)
{
    while (behaviour(fault(), Clock::now()) != FaultKind::Refuse) {
        auto [ec, socket] = co_await acceptor.async_accept(Await);
        if (!ec) {
            asio::co_spawn(*m_context, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> Upstream::serve(Socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const Connection connection(*this, socket);
    boost::beast::flat_buffer buf;
    while (connection.admitted()) {
        http::request_parser<HttpRequest::body_type> parser;
        parser.body_limit(MaxBodyBytes); // what the fleet forwards
        auto [ec, n] = co_await http::async_read(socket, buf, parser, Await);
        if (ec) {
            break;
        }
        const HttpRequest request = parser.release();
        const bool sent = co_await answerOne(socket, request);
        if (!sent || !request.keep_alive()) {
            break;
        }
    }
    socket.close(ignored);
}

asio::awaitable<bool> Upstream::answerOne(Socket &socket, const HttpRequest &request)
{
    const auto now = Clock::now();
    const Work work = readWork(request, now);
    countArrival(work, now);
    const WorkEnd end = co_await handle(socket, work);
    if (end == WorkEnd::Closed) {
        co_return false;
    }
    const UpstreamState state{
        toString(m_address), m_gate.inFlight(), m_options.slots, announcedPhase(fault(), Clock::now())};
    HttpResponse answer = makeAnswer(work, end, state);
    answer.keep_alive(request.keep_alive());
    const bool sent = co_await send(socket, work, answer);
    co_return sent;
}

void Upstream::countArrival(const Work &work, TimePoint now)
{
    const auto known = fault();
    const bool late = behaviour(known, now) == FaultKind::Drain && now - known.since > DrainGrace;
    count([&](UpstreamCounters &counters) {
        if (work.probe) {
            ++counters.probes;
            return;
        }
        ++counters.received;
        counters.beyondSlots += m_gate.busy() ? 1 : 0;
        counters.lateAfterDrain += late ? 1 : 0;
        const auto bucket = bucketOf(m_start, now);
        if (counters.receivedPerBucket.size() <= bucket) {
            counters.receivedPerBucket.resize(bucket + 1);
        }
        ++counters.receivedPerBucket[bucket];
    });
}

asio::awaitable<WorkEnd> Upstream::handle(Socket &socket, const Work &work)
{
    const auto now = Clock::now();
    const auto known = fault();
    const auto kind = work.probe ? FaultKind::None : behaviour(known, now);
    const bool drained = kind == FaultKind::Drain && now - known.since > DrainGrace;
    if (kind == FaultKind::Shed || drained) {
        count([](UpstreamCounters &counters) { ++counters.shed; });
        co_return drained ? WorkEnd::Draining : WorkEnd::Shed;
    }
    auto waiter = std::make_shared<Waiter>(m_context->get_executor());
    // A readable connection without data has been closed by the caller, which cancels the work.
    socket.async_wait(tcp::socket::wait_read, [waiter, &socket](boost::system::error_code ec) {
        if (!ec && socket.available(ec) == 0) {
            waiter->close();
        }
    });
    const auto taken = co_await m_gate.take(waiter, work.deadline);
    WorkEnd end = WorkEnd::Closed;
    if (taken == SlotGate::Result::Taken) {
        end = co_await execute(work, waiter);
    } else if (taken == SlotGate::Result::Closed) {
        count([](UpstreamCounters &counters) { ++counters.abandoned; });
    } else {
        count([](UpstreamCounters &counters) { ++counters.shed; });
        end = taken == SlotGate::Result::Full ? WorkEnd::Shed : WorkEnd::DeadlineBefore;
    }
    boost::system::error_code ignored;
    socket.cancel(ignored);
    co_return end;
}

asio::awaitable<WorkEnd> Upstream::execute(const Work &work, std::shared_ptr<Waiter> waiter)
{
    const auto now = Clock::now();
    if (now >= work.deadline) {
        m_gate.release();
        count([](UpstreamCounters &counters) { ++counters.shed; });
        co_return WorkEnd::DeadlineBefore;
    }
    Execution execution(*this, work);
    const auto known = fault();
    const auto kind = work.probe ? FaultKind::None : behaviour(known, now);
    if (kind == FaultKind::FailWork) {
        co_return WorkEnd::Failed;
    }
    const bool blackhole = kind == FaultKind::Blackhole;
    const auto end = blackhole ? TimePoint::max() : now + runTime(work, known, now);
    // A black-holing upstream ignores the deadline too; only the closed connection frees its slot.
    const auto wakeUp = blackhole ? end : std::min(end, work.deadline);
    waiter->timer.expires_at(wakeUp);
    co_await waiter->timer.async_wait(Await);
    if (waiter->closed) {
        co_return WorkEnd::Closed;
    }
    if (wakeUp < end) {
        co_return WorkEnd::DeadlineDuring;
    }
    execution.finish();
    co_return WorkEnd::Finished;
}

std::chrono::nanoseconds Upstream::runTime(const Work &work, const Fault &fault, TimePoint now)
{
    // Half of the mean to one and a half times the mean, unless the caller names the time.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    double ms = work.probe ? m_options.probeMs : work.runMs ? *work.runMs : m_options.runMs * jitter(m_random);
    if (!work.probe) {
        ms *= runTimeFactor(fault, now);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double, std::milli>(ms));
}

asio::awaitable<bool> Upstream::send(Socket &socket, const Work &work, HttpResponse &answer)
{
    const auto kind
        = work.probe || answer.result() != http::status::ok ? FaultKind::None : behaviour(fault(), Clock::now());
    if (kind == FaultKind::Wrong) {
        if (m_wrongAnswers++ % 2 == 0 && !m_previousId.empty()) {
            swapIdentity(answer, work, m_previousId);
        } else {
            corruptBody(answer);
        }
    }
    m_previousId = work.requestId;
    if (kind == FaultKind::Truncate) {
        http::response_serializer<http::string_body> serializer(answer);
        co_await http::async_write_header(socket, serializer, Await);
        const auto half = asio::buffer(answer.body().data(), answer.body().size() / 2);
        co_await asio::async_write(socket, half, Await);
        co_return false;
    }
    auto [ec, n] = co_await http::async_write(socket, answer, Await);
    co_return !ec;
}

} // namespace laburnumspar::tools
