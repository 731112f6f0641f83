#include "upstreamcontrol.h"

#include "laburnumspar/errors.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

/// Largest accepted answer. Request series of long runs are the largest answers.
constexpr std::uint64_t MaxAnswerBytes = 256 << 20;

const json::array &upstreamsIn(const json::value &stats)
{
    return stats.at("upstreams").as_array();
}

} // namespace

UpstreamControl::UpstreamControl(Endpoint control)
    : m_control(std::move(control))
{
}

std::string UpstreamControl::call(bool post, const std::string &target, const std::string &body) const
{
    try {
        asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect(asio::ip::tcp::endpoint(asio::ip::make_address(m_control.ip), m_control.port));
        http::request<http::string_body> request(post ? http::verb::post : http::verb::get, target, 11);
        request.set(http::field::host, toString(m_control));
        request.keep_alive(false);
        request.body() = body;
        request.prepare_payload();
        http::write(stream, request);
        boost::beast::flat_buffer buf;
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        http::read(stream, buf, parser);
        if (parser.get().result() != http::status::ok) {
            throw TransportError("control endpoint rejected " + target + ": " + parser.get().body());
        }
        return parser.get().body();
    } catch (const boost::system::system_error &error) {
        throw TransportError("control endpoint " + toString(m_control) + ": " + error.code().message());
    }
}

std::vector<Endpoint> UpstreamControl::addresses() const
{
    std::vector<Endpoint> addresses;
    const auto stats = json::parse(call(false, "/control/stats", ""));
    for (const auto &each : upstreamsIn(stats)) {
        addresses.push_back(parseEndpoint(std::string(each.at("address").as_string())).value());
    }
    return addresses;
}

UpstreamTotals UpstreamControl::totals() const
{
    UpstreamTotals totals;
    const auto stats = json::parse(call(false, "/control/stats", ""));
    for (const auto &each : upstreamsIn(stats)) {
        for (const auto &[key, value] : each.as_object()) {
            if (!value.is_number()) {
                continue;
            }
            const std::string name(key);
            const auto number = value.to_number<std::int64_t>();
            totals[name] = name.starts_with("max") ? std::max(totals[name], number) : totals[name] + number;
        }
    }
    return totals;
}

RequestSeries UpstreamControl::requestSeries() const
{
    const auto stats = json::parse(call(false, "/control/stats?series=1", ""));
    RequestSeries series;
    series.bucketLength = Milliseconds(stats.at("bucket_ms").as_int64());
    for (const auto &each : upstreamsIn(stats)) {
        series.received.push_back(json::value_to<std::vector<std::uint32_t>>(each.at("received_per_bucket")));
    }
    return series;
}

UpstreamControl::PostedFault UpstreamControl::postFault(const ScenarioFault &fault) const
{
    std::ostringstream target;
    target << "/control/fault?kind=" << fault.kind << "&factor=" << fault.factor << "&for_ms=" << fault.duration.count()
           << (fault.zone.empty() ? "&upstream=" + fault.upstream : "&zone=" + fault.zone);
    const auto answer = json::parse(call(true, target.str(), ""));
    return {Milliseconds(answer.at("at_ms").as_int64()),
            json::value_to<std::vector<std::size_t>>(answer.at("upstreams"))};
}

void UpstreamControl::clearFaults() const
{
    call(true, "/control/fault?kind=none&upstream=all", "");
}

std::map<std::string, unsigned> UpstreamControl::executions(const std::vector<std::string> &keys) const
{
    std::string body;
    for (const auto &key : keys) {
        body += key + "\n";
    }
    std::map<std::string, unsigned> executions;
    const auto answer = json::parse(call(true, "/control/runs", body));
    for (const auto &[key, run] : answer.at("runs").as_object()) {
        executions[std::string(key)] = run.at("started").to_number<unsigned>();
    }
    return executions;
}

} // namespace laburnumspar::tools
