#include "callers.h"

#include "platform/names.h"
#include "upstreamstandin.h"

#include <boost/json.hpp>

namespace laburnumspar::soak {

namespace names = platform::names;
namespace http = detail::http;
using detail::NoThrowAwaitable;

namespace {

constexpr Milliseconds Deadline{2000};
/// An answer that comes later than the deadline by more than this is none.
constexpr Milliseconds LateAnswer{1500};
constexpr Milliseconds ConnectTime{1000};
constexpr Milliseconds PauseBetween{60};
constexpr Milliseconds AddressLifetime{1500};

std::string textOf(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

/// A connection that is kept between requests, until the process behind it is gone.
struct Callers::Link {
    explicit Link(boost::asio::io_context &context)
        : stream(context)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf;
    unsigned instance = 0;
    bool open = false;
};

struct Callers::Exchange {
    std::string id;
    std::string target;
    std::string body;
    TimePoint sent;
    boost::system::error_code error;
    http::response<http::string_body> response;
};

Callers::Callers(
    boost::asio::io_context &context, Layout layout, Instances &instances, Promises &promises, std::uint64_t seed)
    : m_context(context)
    , m_layout(layout)
    , m_instances(instances)
    , m_promises(promises)
    , m_random(seed)
{
}

void Callers::start(unsigned count)
{
    for (unsigned n = 0; n < count; ++n) {
        boost::asio::co_spawn(m_context, run(n), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "caller");
        });
    }
}

void Callers::stop()
{
    m_stopped = true;
}

void Callers::setVersions(std::uint64_t newest, std::uint64_t required)
{
    m_newest = newest;
    m_required = required;
}

detail::awaitable<std::optional<Endpoint>> Callers::resolve(unsigned zone)
{
    for (int n = 0; n < 3; ++n) {
        const auto instance = unsigned(m_random() % m_instances.count());
        boost::beast::tcp_stream stream(m_context);
        stream.expires_after(ConnectTime);
        auto [connectError] = co_await stream.async_connect(detail::toAsio<detail::tcp>(m_layout.addresses(instance)),
                                                            NoThrowAwaitable);
        http::request<http::empty_body> request{
            http::verb::get, std::string(names::ResolveTarget) + "?name=soak.example&zone=" + Layout::zone(zone), 11};
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

detail::awaitable<void> Callers::run(unsigned number)
{
    // One caller in three keeps its connection as long as the process lives, whatever the addresses say.
    const bool keepsConnection = number % 3 == 0;
    Link link(m_context);
    TimePoint resolvedAt;
    while (!m_stopped) {
        const bool stale = Clock::now() - resolvedAt > AddressLifetime && !keepsConnection;
        if (!link.open || stale) {
            const auto address = co_await resolve(number);
            resolvedAt = Clock::now();
            if (!address) {
                co_await detail::sleepFor(PauseBetween);
                continue;
            }
            link.stream.close();
            link.buf.clear();
            link.stream.expires_after(ConnectTime);
            auto [ec] = co_await link.stream.async_connect(detail::toAsio<detail::tcp>(*address), NoThrowAwaitable);
            link.open = !ec;
            link.instance = unsigned(std::stoul(address->ip.substr(address->ip.rfind('.') + 1)));
        }
        if (link.open) {
            co_await request(link, m_random() % 2 == 0);
        }
        co_await detail::sleepFor(PauseBetween);
    }
}

detail::awaitable<void> Callers::request(Link &link, bool idempotent)
{
    Exchange exchange;
    exchange.id = "q" + std::to_string(m_nextRequest++);
    exchange.target = (idempotent ? "/safe/" : "/unsafe/") + exchange.id;
    exchange.body = idempotent ? "" : "body of " + exchange.id;
    http::request<http::string_body> request{
        idempotent ? http::verb::get : http::verb::post, exchange.target, 11, exchange.body};
    request.set(http::field::host, "soak.example");
    request.set(names::RequestId, exchange.id);
    request.set(names::DeadlineMs, std::to_string(Deadline.count()));
    request.prepare_payload();
    m_promises.sent(exchange.id, idempotent);
    exchange.sent = Clock::now();
    link.stream.expires_after(Deadline + LateAnswer);
    auto [writeError, written] = co_await http::async_write(link.stream, request, NoThrowAwaitable);
    exchange.error = writeError;
    if (!writeError) {
        auto [readError, read] = co_await http::async_read(link.stream, link.buf, exchange.response, NoThrowAwaitable);
        exchange.error = readError;
    }
    judge(exchange, link);
    if (exchange.error || !exchange.response.keep_alive()) {
        link.stream.close();
        link.open = false;
    }
}

void Callers::judge(const Exchange &exchange, const Link &link)
{
    const auto &response = exchange.response;
    if (exchange.error) {
        m_promises.failed(exchange.id);
        const bool sound = m_instances.isRunning(link.instance) && !m_instances.wasBroken(link.instance, exchange.sent);
        if (sound && m_promises.hasRun(exchange.id)) {
            m_promises.broken("a sound instance closed the connection of a request that ran: " + exchange.id + " at "
                              + m_instances.incarnation(link.instance) + ": " + exchange.error.message());
        }
        return;
    }
    switch (response.result_int()) {
    case 200:
        m_promises.answered(exchange.id,
                            response.body() == answerBody(exchange.id, exchange.target, exchange.body)
                                && textOf(response[names::ResponseSig]) == "sig-" + exchange.id);
        return;
    case 408:
    case 421:
    case 429:
    case 503:
        m_promises.toldNotRun(exchange.id);
        if (response.result_int() == 503 && response.find(http::field::retry_after) == response.end()) {
            m_promises.broken("refused without the time to come back: " + exchange.id);
        }
        return;
    case 500:
    case 502:
    case 504:
        m_promises.failed(exchange.id);
        return;
    default:
        m_promises.broken("unexpected status " + std::to_string(response.result_int()) + ": " + exchange.id);
    }
}

void Callers::probeVersion(unsigned instance)
{
    if (m_instances.isRunning(instance) && !m_instances.isPaused(instance)) {
        boost::asio::co_spawn(m_context, probe(instance), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "version-probe");
        });
    }
}

detail::awaitable<void> Callers::probe(unsigned instance)
{
    const auto version = m_newest;
    const auto required = m_instances.isCalm(instance) ? m_required : 0;
    const auto incarnation = m_instances.incarnation(instance);
    const auto seenBefore = m_promises.newestSeen(incarnation);
    boost::beast::tcp_stream stream(m_context);
    stream.expires_after(Deadline + LateAnswer);
    auto [connectError]
        = co_await stream.async_connect(detail::toAsio<detail::tcp>(m_layout.callers(instance)), NoThrowAwaitable);
    const auto id = "q" + std::to_string(m_nextRequest++);
    http::request<http::empty_body> request{http::verb::get, "/v" + std::to_string(version) + "/x", 11};
    request.set(http::field::host, "soak.example");
    request.set(names::RequestId, id);
    request.set(names::DeadlineMs, std::to_string(Deadline.count()));
    m_promises.sent(id, true);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    auto [writeError, written] = co_await http::async_write(stream, request, NoThrowAwaitable);
    auto [readError, read] = co_await http::async_read(stream, buf, response, NoThrowAwaitable);
    const bool noRoutes = response.result_int() == 503;
    if (!connectError && !writeError && !readError && !noRoutes && m_instances.incarnation(instance) == incarnation) {
        response.result_int() == 404 ? m_promises.missedVersion(incarnation, version, seenBefore, required)
                                     : m_promises.sawVersion(incarnation, version);
    }
}

} // namespace laburnumspar::soak
