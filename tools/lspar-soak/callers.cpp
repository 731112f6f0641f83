#include "callers.h"

#include "callerrequest.h"
#include "platform/names.h"
#include "simulatedupstream.h"

#include <boost/json.hpp>

namespace laburnumspar::soak {

namespace names = platform::names;
namespace http = detail::http;
using detail::NoThrowAwaitable;

namespace {

constexpr Milliseconds RequestDeadline{2000};
/// A request fails if its response has not arrived this long after the deadline.
constexpr Milliseconds DeadlineTolerance{1500};
constexpr Milliseconds ConnectTimeout{1000};
constexpr Milliseconds RequestInterval{60};
constexpr Milliseconds AddressLifetime{1500};

std::string toStdString(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

/// Connection that is reused for further requests until an error occurs, it is closed or its address expires.
struct Callers::Connection {
    explicit Connection(boost::asio::io_context &context)
        : stream(context)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf;
    unsigned instance = 0;
    bool open = false;
};

/// A request and its response, or the error that ended it.
struct Callers::Exchange {
    std::string id;
    std::string target;
    std::string body;
    TimePoint sent;
    boost::system::error_code error;
    http::response<http::string_body> response;
};

Callers::Callers(boost::asio::io_context &context,
                 AddressLayout layout,
                 InstanceProcesses &instances,
                 GuaranteeChecker &checker,
                 std::uint64_t seed)
    : m_context(context)
    , m_layout(layout)
    , m_instances(instances)
    , m_checker(checker)
    , m_random(seed)
{
}

void Callers::start(unsigned count)
{
    for (unsigned n = 0; n < count; ++n) {
        boost::asio::co_spawn(m_context, runCaller(n), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "caller");
        });
    }
}

void Callers::stop()
{
    m_stopped = true;
}

void Callers::setRouteVersions(std::uint64_t newest, std::uint64_t required)
{
    m_newestVersion = newest;
    m_requiredVersion = required;
}

detail::awaitable<std::optional<Endpoint>> Callers::resolve(unsigned zone)
{
    for (int n = 0; n < 3; ++n) {
        const auto instance = unsigned(m_random() % m_instances.count());
        boost::beast::tcp_stream stream(m_context);
        stream.expires_after(ConnectTimeout);
        auto [connectError] = co_await stream.async_connect(detail::toAsio<detail::tcp>(m_layout.addresses(instance)),
                                                            NoThrowAwaitable);
        http::request<http::empty_body> request{http::verb::get,
                                                std::string(names::ResolveTarget)
                                                    + "?name=soak.example&zone=" + AddressLayout::zone(zone),
                                                11};
        request.set(http::field::host, "soak.example");
        boost::beast::flat_buffer buf;
        http::response<http::string_body> response;
        auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
        auto [readError, read] = co_await http::async_read(stream, buf, response, NoThrowAwaitable);
        if (connectError || writeError || readError || response.result() != http::status::ok) {
            continue;
        }
        const auto root = boost::json::parse(response.body());
        const auto &list = root.as_object().at("addrs").as_array();
        co_return parseEndpoint(std::string(list[m_random() % list.size()].as_string()));
    }
    co_return std::nullopt;
}

detail::awaitable<void> Callers::runCaller(unsigned callerIndex)
{
    // Every third caller ignores the lifetime of addresses and keeps its connection until the instance closes it.
    const bool keepsConnection = callerIndex % 3 == 0;
    Connection connection(m_context);
    TimePoint resolvedAt;
    while (!m_stopped) {
        const bool addressExpired = Clock::now() - resolvedAt > AddressLifetime && !keepsConnection;
        if (!connection.open || addressExpired) {
            const auto address = co_await resolve(callerIndex);
            resolvedAt = Clock::now();
            if (!address) {
                co_await detail::sleepFor(RequestInterval);
                continue;
            }
            connection.stream.close();
            connection.buf.clear();
            connection.stream.expires_after(ConnectTimeout);
            auto [ec]
                = co_await connection.stream.async_connect(detail::toAsio<detail::tcp>(*address), NoThrowAwaitable);
            connection.open = !ec;
            connection.instance = unsigned(std::stoul(address->ip.substr(address->ip.rfind('.') + 1)));
        }
        if (connection.open) {
            co_await sendRequest(connection, m_random() % 2 == 0);
        }
        co_await detail::sleepFor(RequestInterval);
    }
}

detail::awaitable<void> Callers::sendRequest(Connection &connection, bool idempotent)
{
    Exchange exchange;
    exchange.id = "q" + std::to_string(m_nextRequest++);
    exchange.target = (idempotent ? "/safe/" : "/unsafe/") + exchange.id;
    exchange.body = idempotent ? "" : "body of " + exchange.id;
    auto request
        = makeRequest(idempotent ? http::verb::get : http::verb::post, exchange.target, exchange.id, RequestDeadline);
    request.body() = exchange.body;
    request.prepare_payload();
    m_checker.recordSent(exchange.id, idempotent);
    exchange.sent = Clock::now();
    connection.stream.expires_after(RequestDeadline + DeadlineTolerance);
    auto [writeError, written] = co_await http::async_write(connection.stream, request, NoThrowAwaitable);
    exchange.error = writeError;
    if (!writeError) {
        auto [readError, read]
            = co_await http::async_read(connection.stream, connection.buf, exchange.response, NoThrowAwaitable);
        exchange.error = readError;
    }
    checkResult(exchange, connection);
    if (exchange.error || !exchange.response.keep_alive()) {
        connection.stream.close();
        connection.open = false;
    }
}

void Callers::checkResult(const Exchange &exchange, const Connection &connection)
{
    const auto &response = exchange.response;
    if (exchange.error) {
        m_checker.recordFailure(exchange.id);
        const bool healthy = m_instances.isRunning(connection.instance)
            && !m_instances.wasInterrupted(connection.instance, exchange.sent);
        if (healthy && m_checker.wasExecuted(exchange.id)) {
            m_checker.recordViolation("healthy instance closed the connection of an executed request: " + exchange.id
                                      + " at " + m_instances.incarnation(connection.instance) + ": "
                                      + exchange.error.message());
        }
        return;
    }
    if (impliesNotRun(response.result_int())) {
        m_checker.recordNotRun(exchange.id);
        if (response.result_int() == 503 && response.find(http::field::retry_after) == response.end()) {
            m_checker.recordViolation("response 503 without Retry-After: " + exchange.id);
        }
        return;
    }
    switch (response.result_int()) {
    case 200:
        m_checker.recordAnswer(exchange.id,
                               response.body() == makeResponseBody(exchange.id, exchange.target, exchange.body)
                                   && toStdString(response[names::ResponseSig]) == "sig-" + exchange.id);
        return;
    case 500:
    case 502:
    case 504:
        m_checker.recordFailure(exchange.id);
        return;
    default:
        m_checker.recordViolation("unexpected status " + std::to_string(response.result_int()) + ": " + exchange.id);
    }
}

void Callers::probeVersion(unsigned instance)
{
    if (m_instances.isRunning(instance) && !m_instances.isPaused(instance)) {
        boost::asio::co_spawn(m_context, runVersionProbe(instance), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "version-probe");
        });
    }
}

detail::awaitable<void> Callers::runVersionProbe(unsigned instance)
{
    const auto version = m_newestVersion;
    const auto required = m_instances.isSettled(instance) ? m_requiredVersion : 0;
    const auto incarnation = m_instances.incarnation(instance);
    const auto activeBefore = m_checker.newestVersion(incarnation);
    boost::beast::tcp_stream stream(m_context);
    stream.expires_after(RequestDeadline + DeadlineTolerance);
    auto [connectError]
        = co_await stream.async_connect(detail::toAsio<detail::tcp>(m_layout.callers(instance)), NoThrowAwaitable);
    const auto id = "q" + std::to_string(m_nextRequest++);
    const auto request = makeRequest(http::verb::get, "/v" + std::to_string(version) + "/x", id, RequestDeadline);
    m_checker.recordSent(id, true);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    auto [readError, read] = co_await http::async_read(stream, buf, response, NoThrowAwaitable);
    const bool noRoutes = response.result_int() == 503;
    if (!connectError && !writeError && !readError && !noRoutes && m_instances.incarnation(instance) == incarnation) {
        response.result_int() == 404 ? m_checker.recordMissingVersion(incarnation, version, activeBefore, required)
                                     : m_checker.recordVersion(incarnation, version);
    }
}

} // namespace laburnumspar::soak
