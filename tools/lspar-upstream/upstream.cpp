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

/// Interval at which an upstream with the Refuse fault checks whether the fault has ended.
constexpr Milliseconds RefusalCheckInterval{10};

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

/// Counts a connection as open during the lifetime of the object, unless the limit of connections is reached.
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
        m_upstream.updateCounters([this](UpstreamCounters &counters) {
            counters.beyondConnections += m_admitted ? 0 : 1;
            counters.connections = static_cast<unsigned>(m_upstream.m_sockets.size());
            counters.maxConnections = std::max(counters.maxConnections, counters.connections);
        });
    }
    ~Connection()
    {
        if (m_admitted) {
            m_upstream.m_sockets.erase(&m_socket);
            m_upstream.updateCounters([this](UpstreamCounters &counters) {
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

/// Owns an acquired slot, which it releases, and counts the execution.
class Upstream::Execution
{
public:
    Execution(Upstream &upstream, const UpstreamRequest &request)
        : m_upstream(upstream)
        , m_request(request)
    {
        m_upstream.updateCounters([&](UpstreamCounters &counters) {
            counters.started += request.probe ? 0 : 1;
            counters.running = m_upstream.m_slots.used();
            counters.maxRunning = std::max(counters.maxRunning, counters.running);
        });
        if (!request.probe) {
            m_upstream.m_executions.recordStart(request.key);
        }
    }
    ~Execution()
    {
        m_upstream.m_slots.release();
        m_upstream.updateCounters([this](UpstreamCounters &counters) {
            counters.running = m_upstream.m_slots.used();
            if (m_request.probe) {
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
        if (!m_request.probe) {
            m_upstream.m_executions.recordFinish(m_request.key);
        }
    }

private:
    Upstream &m_upstream;
    const UpstreamRequest &m_request;
    bool m_finished = false;
};

Upstream::Upstream(const UpstreamOptions &options, unsigned index, ExecutionCounts &executions, TimePoint start)
    : m_options(options)
    , m_address{options.ip, static_cast<std::uint16_t>(options.basePort + index)}
    , m_zone(options.zones[index % options.zones.size()])
    , m_executions(executions)
    , m_start(start)
    , m_slots(options.slots, options.queue)
    , m_random(options.seed + index)
{
}

void Upstream::start(asio::io_context &context)
{
    m_context = &context;
    try {
        asio::co_spawn(context, acceptConnections(openAcceptor(context, m_address)), asio::detached);
    } catch (const boost::system::system_error &error) {
        throw TransportError("cannot listen on " + toString(m_address) + ": " + error.code().message());
    }
}

template <typename Function>
void Upstream::updateCounters(Function update)
{
    std::lock_guard lock(m_mutex);
    update(m_counters);
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
    asio::post(*m_context, [this] { closeIfRefusing(); });
}

void Upstream::closeIfRefusing()
{
    if (activeFaultKind(fault(), Clock::now()) != FaultKind::Refuse) {
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

asio::awaitable<void> Upstream::acceptConnections(tcp::acceptor acceptor)
{
    for (;;) {
        m_acceptor = &acceptor;
        co_await acceptUntilRefusing(acceptor);
        m_acceptor = nullptr;
        acceptor.close();
        asio::steady_timer timer(*m_context);
        while (activeFaultKind(fault(), Clock::now()) == FaultKind::Refuse) {
            timer.expires_after(RefusalCheckInterval);
            co_await timer.async_wait(Await);
        }
        acceptor = openAcceptor(*m_context, m_address);
    }
}

asio::awaitable<void> Upstream::acceptUntilRefusing(tcp::acceptor &acceptor)
{
    while (activeFaultKind(fault(), Clock::now()) != FaultKind::Refuse) {
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
        parser.body_limit(MaxBodyBytes); // limit of the bodies that the fleet forwards
        auto [ec, n] = co_await http::async_read(socket, buf, parser, Await);
        if (ec) {
            break;
        }
        const HttpRequest request = parser.release();
        const bool sent = co_await serveRequest(socket, request);
        if (!sent || !request.keep_alive()) {
            break;
        }
    }
    socket.close(ignored);
}

asio::awaitable<bool> Upstream::serveRequest(Socket &socket, const HttpRequest &httpRequest)
{
    const auto now = Clock::now();
    const UpstreamRequest request = parseRequest(httpRequest, now);
    countArrival(request, now);
    const RequestOutcome outcome = co_await handle(socket, request);
    if (outcome == RequestOutcome::CallerGone) {
        co_return false;
    }
    const auto currentFault = fault();
    const auto kind = activeFaultKind(currentFault, Clock::now());
    UpstreamState state{
        toString(m_address), m_slots.inFlight(), m_options.slots, announcedPhase(currentFault, Clock::now())};
    if (kind == FaultKind::Pause) {
        state.pauseSeconds = currentFault.factor;
    } else if (kind == FaultKind::Rate) {
        state.requestRate = currentFault.factor;
    }
    HttpResponse response = makeResponse(request, outcome, state);
    response.keep_alive(httpRequest.keep_alive());
    const bool sent = co_await send(socket, request, response);
    co_return sent;
}

void Upstream::countArrival(const UpstreamRequest &request, TimePoint now)
{
    const auto currentFault = fault();
    const bool late = activeFaultKind(currentFault, now) == FaultKind::Drain && now - currentFault.since > DrainGrace;
    updateCounters([&](UpstreamCounters &counters) {
        if (request.probe) {
            ++counters.probes;
            return;
        }
        ++counters.received;
        counters.beyondSlots += m_slots.isFull() ? 1 : 0;
        counters.lateAfterDrain += late ? 1 : 0;
        const auto bucket = bucketIndex(m_start, now);
        if (counters.receivedPerBucket.size() <= bucket) {
            counters.receivedPerBucket.resize(bucket + 1);
        }
        ++counters.receivedPerBucket[bucket];
    });
}

asio::awaitable<RequestOutcome> Upstream::handle(Socket &socket, const UpstreamRequest &request)
{
    const auto now = Clock::now();
    const auto currentFault = fault();
    const auto kind = request.probe ? FaultKind::None : activeFaultKind(currentFault, now);
    const bool drained = kind == FaultKind::Drain && now - currentFault.since > DrainGrace;
    if (kind == FaultKind::Shed || kind == FaultKind::Pause || drained) {
        updateCounters([](UpstreamCounters &counters) { ++counters.shed; });
        co_return drained ? RequestOutcome::Draining : RequestOutcome::Shed;
    }
    auto waiter = std::make_shared<Waiter>(m_context->get_executor());
    // A readable connection without data has been closed by the caller, which cancels the request.
    socket.async_wait(tcp::socket::wait_read, [waiter, &socket](boost::system::error_code ec) {
        if (!ec && socket.available(ec) == 0) {
            waiter->disconnect();
        }
    });
    const auto slot = co_await m_slots.acquire(waiter, request.deadline);
    RequestOutcome outcome = RequestOutcome::CallerGone;
    if (slot == SlotSemaphore::Result::Acquired) {
        outcome = co_await execute(request, waiter);
    } else if (slot == SlotSemaphore::Result::CallerGone) {
        updateCounters([](UpstreamCounters &counters) { ++counters.abandoned; });
    } else {
        updateCounters([](UpstreamCounters &counters) { ++counters.shed; });
        outcome = slot == SlotSemaphore::Result::QueueFull ? RequestOutcome::Shed : RequestOutcome::DeadlineBeforeStart;
    }
    boost::system::error_code ignored;
    socket.cancel(ignored);
    co_return outcome;
}

asio::awaitable<RequestOutcome> Upstream::execute(const UpstreamRequest &request, std::shared_ptr<Waiter> waiter)
{
    const auto now = Clock::now();
    if (now >= request.deadline) {
        m_slots.release();
        updateCounters([](UpstreamCounters &counters) { ++counters.shed; });
        co_return RequestOutcome::DeadlineBeforeStart;
    }
    Execution execution(*this, request);
    const auto currentFault = fault();
    const auto kind = request.probe ? FaultKind::None : activeFaultKind(currentFault, now);
    if (kind == FaultKind::Errors) {
        co_return RequestOutcome::Failed;
    }
    const bool blackhole = kind == FaultKind::Blackhole;
    const auto end = blackhole ? TimePoint::max() : now + executionTime(request, currentFault, now);
    // With the Blackhole fault, the deadline is ignored too; the slot is released when the caller disconnects.
    const auto wakeUp = blackhole ? end : std::min(end, request.deadline);
    waiter->timer.expires_at(wakeUp);
    co_await waiter->timer.async_wait(Await);
    if (waiter->disconnected) {
        co_return RequestOutcome::CallerGone;
    }
    if (wakeUp < end) {
        co_return RequestOutcome::DeadlineDuringExecution;
    }
    execution.finish();
    co_return RequestOutcome::Finished;
}

std::chrono::nanoseconds Upstream::executionTime(const UpstreamRequest &request, const Fault &fault, TimePoint now)
{
    // Uniform from 0.5 to 1.5 times the mean, unless the request specifies the time.
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    double ms = request.probe ? m_options.probeMs : request.runMs ? *request.runMs : m_options.runMs * jitter(m_random);
    if (!request.probe) {
        ms *= executionTimeFactor(fault, now);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double, std::milli>(ms));
}

asio::awaitable<bool> Upstream::send(Socket &socket, const UpstreamRequest &request, HttpResponse &response)
{
    const auto kind = request.probe || response.result() != http::status::ok ? FaultKind::None
                                                                             : activeFaultKind(fault(), Clock::now());
    if (kind == FaultKind::Wrong) {
        if (m_wrongAnswers++ % 2 == 0 && !m_previousRequestId.empty()) {
            replaceIdentity(response, request, m_previousRequestId);
        } else {
            corruptBody(response);
        }
    }
    m_previousRequestId = request.requestId;
    if (kind == FaultKind::Truncate) {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(socket, serializer, Await);
        const auto half = asio::buffer(response.body().data(), response.body().size() / 2);
        co_await asio::async_write(socket, half, Await);
        co_return false;
    }
    auto [ec, n] = co_await http::async_write(socket, response, Await);
    co_return !ec;
}

} // namespace laburnumspar::tools
