#include "controlserver.h"

#include "laburnumspar/errors.h"
#include "query.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>

#include <numeric>
#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Limit of the body of POST /control/runs, which lists request keys, in bytes.
constexpr std::uint64_t MaxLookupBodyBytes = 16 << 20;

std::string_view targetOf(const HttpRequest &request)
{
    return {request.target().data(), request.target().size()};
}

/// Number of requests received in the second before bucket `now`.
std::uint64_t receivedInLastSecond(const std::vector<std::uint32_t> &buckets, std::size_t now)
{
    const std::size_t perSecond = Milliseconds(1000) / BucketWidth;
    const auto end = std::min(now, buckets.size());
    const auto begin = std::min(end, now < perSecond ? 0 : now - perSecond);
    return std::accumulate(buckets.begin() + static_cast<std::ptrdiff_t>(begin),
                           buckets.begin() + static_cast<std::ptrdiff_t>(end),
                           std::uint64_t{0});
}

json::object describeUpstream(const Upstream &upstream, const UpstreamCounters &counters)
{
    return {
        {"address", toString(upstream.address())},
        {"zone", upstream.zone()},
        {"fault", name(upstream.fault().kind)},
        {"received", counters.received},
        {"started", counters.started},
        {"finished", counters.finished},
        {"cancelled", counters.cancelled},
        {"shed", counters.shed},
        {"abandoned", counters.abandoned},
        {"beyond_slots", counters.beyondSlots},
        {"beyond_connections", counters.beyondConnections},
        {"late_after_drain", counters.lateAfterDrain},
        {"probes", counters.probes},
        {"cancelled_probes", counters.cancelledProbes},
        {"running", counters.running},
        {"max_running", counters.maxRunning},
        {"connections", counters.connections},
        {"max_connections", counters.maxConnections},
    };
}

Fault parseFault(std::string_view target)
{
    const auto kind = fromName<FaultKind>(queryValue(target, "kind").value_or(""));
    if (!kind) {
        throw UsageError(
            "parameter 'kind' must be none, slow, blackhole, failwork, flap, wrong, truncate, shed, refuse, "
            "drain, pause, rate or cold");
    }
    const double factor = queryNumber(target, "factor", *kind == FaultKind::Flap ? 1 : 10);
    const double forMs = queryNumber(target, "for_ms", 0);
    if (factor <= 0 || forMs < 0) {
        throw UsageError("parameter 'factor' must be greater than 0 and 'for_ms' must not be negative");
    }
    Fault fault{*kind, factor, Clock::now(), TimePoint::max()};
    if (forMs > 0) {
        fault.until = fault.since + Milliseconds(static_cast<std::int64_t>(forMs));
    }
    return fault;
}

} // namespace

ControlServer::ControlServer(const UpstreamOptions &options,
                             std::vector<std::unique_ptr<Upstream>> &upstreams,
                             const ExecutionCounts &executions,
                             TimePoint start)
    : m_options(options)
    , m_upstreams(upstreams)
    , m_executions(executions)
    , m_start(start)
{
}

void ControlServer::start(asio::io_context &context)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(m_options.control.ip), m_options.control.port);
        asio::co_spawn(context, acceptConnections(tcp::acceptor(context, endpoint)), asio::detached);
    } catch (const boost::system::system_error &error) {
        throw TransportError("cannot listen on " + toString(m_options.control) + ": " + error.code().message());
    }
}

asio::awaitable<void> ControlServer::acceptConnections(tcp::acceptor acceptor)
{
    for (;;) {
        auto [ec, socket] = co_await acceptor.async_accept(Await);
        if (!ec) {
            const auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> ControlServer::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buf;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxLookupBodyBytes);
        auto [readError, read] = co_await http::async_read(socket, buf, parser, Await);
        if (readError) {
            co_return;
        }
        const HttpRequest request = parser.release();
        HttpResponse response = handle(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        auto [writeError, written] = co_await http::async_write(socket, response, Await);
        if (writeError || !request.keep_alive()) {
            co_return;
        }
    }
}

HttpResponse ControlServer::handle(const HttpRequest &request)
{
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    const auto path = targetPath(targetOf(request));
    try {
        if (path == "/control/stats") {
            response.body() = stats(targetOf(request));
        } else if (path == "/control/runs") {
            response.body() = runs(request);
        } else if (path == "/control/fault" && request.method() == http::verb::post) {
            response.body() = setFaults(targetOf(request));
        } else {
            response.result(http::status::not_found);
        }
    } catch (const UsageError &error) {
        response.result(http::status::bad_request);
        response.body() = json::serialize(json::object{{"error", error.what()}});
    }
    return response;
}

std::int64_t ControlServer::elapsedMs() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
}

std::string ControlServer::stats(std::string_view target) const
{
    const bool series = queryNumber(target, "series", 0) != 0;
    const auto now = bucketIndex(m_start, Clock::now());
    json::array upstreams;
    for (const auto &upstream : m_upstreams) {
        const auto counters = upstream->counters();
        auto entry = describeUpstream(*upstream, counters);
        entry["received_last_second"] = receivedInLastSecond(counters.receivedPerBucket, now);
        if (series) {
            entry["received_per_bucket"] = json::value_from(counters.receivedPerBucket);
        }
        upstreams.push_back(std::move(entry));
    }
    return json::serialize(json::object{
        {"service", m_options.service},
        {"clock_ms", elapsedMs()},
        {"bucket_ms", BucketWidth.count()},
        {"slots", m_options.slots},
        {"upstreams", std::move(upstreams)},
    });
}

std::string ControlServer::runs(const HttpRequest &request) const
{
    std::vector<std::string> keys;
    std::istringstream in(request.body());
    for (std::string key; std::getline(in, key);) {
        keys.push_back(key);
    }
    const bool lookup = request.method() == http::verb::post;
    json::object found;
    for (const auto &[key, run] : lookup ? m_executions.lookup(keys) : m_executions.startedRepeatedly()) {
        found[key] = json::object{{"started", run.started}, {"finished", run.finished}};
    }
    return json::serialize(json::object{{"runs", std::move(found)}});
}

std::string ControlServer::setFaults(std::string_view target)
{
    const Fault fault = parseFault(target);
    const auto zone = queryValue(target, "zone");
    const auto selected = queryValue(target, "upstream").value_or(zone ? "all" : "");
    json::array changed;
    for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
        if ((selected == "all" || selected == std::to_string(n)) && (!zone || m_upstreams[n]->zone() == *zone)) {
            m_upstreams[n]->setFault(fault);
            changed.push_back(n);
        }
    }
    if (changed.empty()) {
        throw UsageError(
            "no upstream matches: 'upstream' must be an index below the number of upstreams or 'all', and 'zone' "
            "must be the zone of at least one of them");
    }
    return json::serialize(json::object{{"at_ms", elapsedMs()}, {"upstreams", std::move(changed)}});
}

} // namespace laburnumspar::tools
