#include "simulatedupstream.h"

#include "platform/names.h"

#include <boost/json.hpp>

#include <array>

namespace laburnumspar::soak {

namespace names = platform::names;
namespace http = detail::http;
using detail::NoThrowAwaitable;

namespace {

constexpr unsigned Slots = 4;
/// Share of the requests that a fault affects.
constexpr double AffectedShare = 0.7;
/// Parameters of the log-normal distribution of execution times.
constexpr double MedianExecutionSeconds = 0.03;
constexpr double ExecutionTimeSigma = 0.4;
/// Time after which a hanging request is dropped, so that the test run can end.
constexpr Milliseconds HangDuration{5000};
constexpr std::size_t PaddingBytes = 1500;

std::string toStdString(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

std::string_view nameOf(UpstreamFault fault)
{
    constexpr std::array<std::string_view, 7> Names{
        "none", "hang", "errors", "lose-answer", "truncate", "extra", "shed"};
    return Names.at(static_cast<std::size_t>(fault));
}

std::string makeResponseBody(std::string_view requestId, std::string_view target, std::string_view body)
{
    auto text = std::string(requestId) + ' ' + std::string(target) + ' ' + std::string(body) + ' ';
    return text + std::string(PaddingBytes, 'x') + " end";
}

SimulatedUpstream::SimulatedUpstream(asio::io_context &context,
                                     Identity identity,
                                     GuaranteeChecker &checker,
                                     std::uint64_t seed)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_checker(checker)
    , m_random(seed)
    , m_listener(context, m_identity.address, [this](tcp::socket socket) {
        asio::co_spawn(m_context, serve(std::move(socket)), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "upstream");
        });
    })
{
    m_listener.start();
}

void SimulatedUpstream::setFault(UpstreamFault fault)
{
    m_fault = fault;
}

std::string SimulatedUpstream::storeEntry(const Endpoint &published, bool draining, unsigned sequence) const
{
    return boost::json::serialize(boost::json::object{{"service", m_identity.service},
                                                      {"addr", toString(published)},
                                                      {"zone", m_identity.zone},
                                                      {"version", "v1"},
                                                      {"slots", Slots},
                                                      {"state", draining ? "draining" : "ready"},
                                                      {"warmup_left_s", 0},
                                                      {"seq", sequence},
                                                      {"born", 1}});
}

bool SimulatedUpstream::drawAffected()
{
    return m_fault != UpstreamFault::None && std::uniform_real_distribution<>(0, 1)(m_random) < AffectedShare;
}

Clock::duration SimulatedUpstream::executionTime(std::string_view target)
{
    constexpr std::string_view WorkParameter = "?work_ms=";
    if (const auto at = target.find(WorkParameter); at != std::string_view::npos) {
        return Milliseconds(std::stoi(std::string(target.substr(at + WorkParameter.size()))));
    }
    const double seconds
        = std::lognormal_distribution<>(std::log(MedianExecutionSeconds), ExecutionTimeSigma)(m_random);
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

awaitable<void> SimulatedUpstream::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buf;
    for (;;) {
        http::request_parser<http::string_body> parser;
        auto [ec, n] = co_await http::async_read(socket, buf, parser, NoThrowAwaitable);
        if (ec || !co_await handle(socket, parser.get())) {
            co_return;
        }
    }
}

awaitable<bool>
SimulatedUpstream::sendNotExecuted(tcp::socket &socket, http::status status, const std::string &requestId)
{
    http::response<http::string_body> response{status, 11};
    response.set(names::RequestId, requestId);
    response.set(names::NotExecuted, "1");
    response.prepare_payload();
    auto [ec, n] = co_await http::async_write(socket, response, NoThrowAwaitable);
    co_return !ec;
}

awaitable<bool> SimulatedUpstream::handle(tcp::socket &socket, const Request &request)
{
    const auto id = toStdString(request[names::RequestId]);
    if (toStdString(request[names::ExpectInstance]) != m_identity.id) {
        co_return co_await sendNotExecuted(socket, http::status::misdirected_request, id);
    }
    const bool affected = drawAffected();
    if ((affected && m_fault == UpstreamFault::Shed) || m_running >= 3 * Slots) {
        co_return co_await sendNotExecuted(socket, http::status::service_unavailable, id);
    }
    m_checker.recordExecution(id, m_identity.id, Clock::now());
    ++m_running;
    const auto time = executionTime(toStdString(request.target()));
    co_await detail::sleepFor(affected && m_fault == UpstreamFault::Hang ? Clock::duration(HangDuration) : time);
    --m_running;
    if (affected && (m_fault == UpstreamFault::Hang || m_fault == UpstreamFault::DropResponse)) {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        co_return false;
    }
    const bool error = affected && m_fault == UpstreamFault::Errors;
    http::response<http::string_body> response{error ? http::status::internal_server_error : http::status::ok, 11};
    response.set(names::RequestId, id);
    response.set(names::ResponseSig, "sig-" + id);
    response.set(names::ServerLoad, std::to_string(m_running) + ",0," + std::to_string(Slots));
    response.body() = makeResponseBody(id, toStdString(request.target()), request.body());
    response.prepare_payload();
    if (affected && m_fault == UpstreamFault::Truncate) {
        response.content_length(response.body().size() + 100);
    }
    auto [ec, n] = co_await http::async_write(socket, response, NoThrowAwaitable);
    if (affected && m_fault == UpstreamFault::DuplicateResponse) {
        co_await http::async_write(socket, response, NoThrowAwaitable);
    }
    co_return !ec && !(affected && m_fault == UpstreamFault::Truncate);
}

} // namespace laburnumspar::soak
