#include "upstreamstandin.h"

#include "platform/names.h"

#include <boost/json.hpp>

#include <array>

namespace laburnumspar::soak {

namespace names = platform::names;
namespace http = detail::http;
using detail::NoThrowAwaitable;

namespace {

constexpr unsigned Slots = 4;
constexpr double FaultyShare = 0.7;
constexpr double MedianSeconds = 0.03;
constexpr double Spread = 0.4;
/// A hanging request is dropped in the end, so that the run ends.
constexpr Milliseconds HangTime{5000};
constexpr std::size_t PaddingBytes = 1500;

std::string textOf(boost::beast::string_view view)
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

std::string answerBody(std::string_view requestId, std::string_view target, std::string_view body)
{
    auto text = std::string(requestId) + ' ' + std::string(target) + ' ' + std::string(body) + ' ';
    return text + std::string(PaddingBytes, 'x') + " end";
}

UpstreamStandIn::UpstreamStandIn(asio::io_context &context, Identity identity, Promises &promises, std::uint64_t seed)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_promises(promises)
    , m_random(seed)
    , m_listener(context, m_identity.address, [this](tcp::socket socket) {
        asio::co_spawn(m_context, serve(std::move(socket)), [](std::exception_ptr error) {
            detail::handleTaskException(std::move(error), "upstream");
        });
    })
{
    m_listener.start();
}

void UpstreamStandIn::setFault(UpstreamFault fault)
{
    m_fault = fault;
}

std::string UpstreamStandIn::entry(const Endpoint &published, bool draining, unsigned sequence) const
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

bool UpstreamStandIn::faulty()
{
    return m_fault != UpstreamFault::None && std::uniform_real_distribution<>(0, 1)(m_random) < FaultyShare;
}

awaitable<void> UpstreamStandIn::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buf;
    for (;;) {
        http::request_parser<http::string_body> parser;
        auto [ec, n] = co_await http::async_read(socket, buf, parser, NoThrowAwaitable);
        if (ec || !co_await answer(socket, parser.get())) {
            co_return;
        }
    }
}

awaitable<bool> UpstreamStandIn::refuse(tcp::socket &socket, http::status status, const std::string &requestId)
{
    http::response<http::string_body> response{status, 11};
    response.set(names::RequestId, requestId);
    response.set(names::NotExecuted, "1");
    response.prepare_payload();
    auto [ec, n] = co_await http::async_write(socket, response, NoThrowAwaitable);
    co_return !ec;
}

awaitable<bool> UpstreamStandIn::answer(tcp::socket &socket, const Request &request)
{
    const auto id = textOf(request[names::RequestId]);
    if (textOf(request[names::ExpectInstance]) != m_identity.id) {
        co_return co_await refuse(socket, http::status::misdirected_request, id);
    }
    const bool failing = faulty();
    if ((failing && m_fault == UpstreamFault::Shed) || m_running >= 3 * Slots) {
        co_return co_await refuse(socket, http::status::service_unavailable, id);
    }
    m_promises.ran(id, m_identity.id, Clock::now());
    ++m_running;
    const double seconds = std::lognormal_distribution<>(std::log(MedianSeconds), Spread)(m_random);
    const auto workTime = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    co_await detail::sleepFor(failing && m_fault == UpstreamFault::Hang ? Clock::duration(HangTime) : workTime);
    --m_running;
    if (failing && (m_fault == UpstreamFault::Hang || m_fault == UpstreamFault::LoseAnswer)) {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        co_return false;
    }
    const bool error = failing && m_fault == UpstreamFault::Errors;
    http::response<http::string_body> response{error ? http::status::internal_server_error : http::status::ok, 11};
    response.set(names::RequestId, id);
    response.set(names::ResponseSig, "sig-" + id);
    response.set(names::ServerLoad, std::to_string(m_running) + ",0," + std::to_string(Slots));
    response.body() = answerBody(id, textOf(request.target()), request.body());
    response.prepare_payload();
    if (failing && m_fault == UpstreamFault::Truncate) {
        response.content_length(response.body().size() + 100);
    }
    auto [ec, n] = co_await http::async_write(socket, response, NoThrowAwaitable);
    if (failing && m_fault == UpstreamFault::Extra) {
        co_await http::async_write(socket, response, NoThrowAwaitable);
    }
    co_return !ec && !(failing && m_fault == UpstreamFault::Truncate);
}

} // namespace laburnumspar::soak
