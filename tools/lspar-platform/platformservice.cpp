#include "platformservice.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"
#include "valuefiles.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>
#include <charconv>

namespace laburnumspar::tools {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view CallPrefix = "/v1/";
constexpr std::string_view ControlPrefix = "/control/";
constexpr std::array<std::string_view, 4> CallKinds{"list", "read", "watch", "instances"};
// Bounds each watch, so that a reader that has disappeared is detected.
constexpr std::uint64_t MaxWaitMs = 60000;

Response jsonResponse(http::status status, const boost::json::object &body)
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body);
    return response;
}

Response errorResponse(http::status status, std::string_view detail)
{
    return jsonResponse(status, {{"error", detail}});
}

/// Value of a required query parameter. Throws UsageError if it is missing.
std::string parameter(boost::urls::url_view url, std::string_view key)
{
    const auto params = url.params();
    const auto it = params.find(key);
    if (it == params.end()) {
        throw UsageError("query parameter '" + std::string(key) + "' is missing");
    }
    return (*it).value;
}

std::uint64_t numberParameter(boost::urls::url_view url, std::string_view key)
{
    const auto text = parameter(url, key);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size()) {
        throw UsageError("query parameter '" + std::string(key) + "' must be a non-negative integer");
    }
    return number;
}

/// Value of the query parameter `on`, which switches a simulated fault.
bool onParameter(boost::urls::url_view url)
{
    const auto number = numberParameter(url, "on");
    if (number > 1) {
        throw UsageError("query parameter 'on' must be 0 or 1");
    }
    return number == 1;
}

} // namespace

/// Counts a watch as pending during the lifetime of the object.
class PlatformService::PendingWatch
{
public:
    explicit PendingWatch(CallCounter &counter)
        : m_counter(counter)
    {
        m_counter.beginWatch(Clock::now());
    }
    ~PendingWatch()
    {
        m_counter.endWatch(Clock::now());
    }
    PendingWatch(const PendingWatch &) = delete;
    PendingWatch &operator=(const PendingWatch &) = delete;

private:
    CallCounter &m_counter;
};

PlatformService::PlatformService(const asio::any_io_executor &executor)
    : m_counter(Clock::now())
    , m_changeSignal(executor, TimePoint::max())
{
}

void PlatformService::loadValues(const std::map<std::string, std::string> &values)
{
    for (const auto &[path, text] : values) {
        const auto it = m_loadedValues.find(path);
        if (it == m_loadedValues.end() || it->second != text) {
            m_state.put(path, text);
        }
    }
    m_loadedValues = values;
    m_changeSignal.cancel();
}

void PlatformService::loadInstances(const boost::json::array &instances)
{
    if (instances != m_loadedInstances) {
        m_state.setInstances(instances);
        m_loadedInstances = instances;
        m_changeSignal.cancel();
    }
}

asio::awaitable<std::optional<Response>> PlatformService::handle(const Request &request, Socket &socket)
{
    const auto url = boost::urls::parse_origin_form(request.target());
    if (!url) {
        co_return errorResponse(http::status::bad_request, "invalid request target");
    }
    const std::string path = url->path();
    try {
        if (path.starts_with(ControlPrefix)) {
            co_return control(path.substr(ControlPrefix.size()), request, *url);
        }
        if (path.starts_with(CallPrefix) && request.method() == http::verb::get) {
            co_return co_await call(path.substr(CallPrefix.size()), *url, socket);
        }
    } catch (const Error &e) {
        co_return errorResponse(http::status::bad_request, e.what());
    }
    co_return errorResponse(http::status::not_found, "unknown endpoint");
}

asio::awaitable<std::optional<Response>>
PlatformService::call(const std::string &kind, boost::urls::url_view url, Socket &socket)
{
    if (std::find(CallKinds.begin(), CallKinds.end(), kind) == CallKinds.end()) {
        co_return errorResponse(http::status::not_found, "unknown endpoint");
    }
    m_counter.recordCall(kind, Clock::now());
    if (m_outage == Outage::Hang) {
        co_return co_await hang(socket);
    }
    if (m_outage == Outage::Refuse) {
        co_return errorResponse(http::status::service_unavailable, "platform is unavailable");
    }
    if (kind == "read") {
        co_return read(url);
    }
    if (kind == "list") {
        co_return list(url);
    }
    if (kind == "watch") {
        co_return co_await watch(url, socket);
    }
    co_return jsonResponse(http::status::ok, visibleState().instances());
}

asio::awaitable<std::optional<Response>> PlatformService::watch(boost::urls::url_view url, Socket &socket)
{
    const auto prefix = parameter(url, "prefix");
    const auto after = numberParameter(url, "after");
    const auto era = url.params().contains("era") ? numberParameter(url, "era") : 0;
    const auto deadline = Clock::now() + Milliseconds(std::min(numberParameter(url, "wait_ms"), MaxWaitMs));
    const PendingWatch pending(m_counter);
    for (auto result = WaitResult::Changed; result != WaitResult::Disconnected;
         result = co_await wait(deadline, socket)) {
        if (m_outage == Outage::Hang) {
            co_return co_await hang(socket);
        }
        if (m_outage == Outage::Refuse) {
            co_return errorResponse(http::status::service_unavailable, "platform is unavailable");
        }
        auto changes = visibleState().changedVersions(prefix, after, era);
        if (!changes.empty() || result == WaitResult::TimedOut) {
            co_return jsonResponse(
                http::status::ok,
                {{"version", visibleState().version()}, {"era", visibleState().era()}, {"values", std::move(changes)}});
        }
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Response>> PlatformService::hang(Socket &socket)
{
    auto result = WaitResult::Changed;
    while (m_outage == Outage::Hang && result != WaitResult::Disconnected) {
        result = co_await wait(std::nullopt, socket);
    }
    co_return std::nullopt;
}

asio::awaitable<PlatformService::WaitResult> PlatformService::wait(std::optional<TimePoint> deadline, Socket &socket)
{
    using namespace asio::experimental::awaitable_operators;
    constexpr auto Token = asio::as_tuple(asio::use_awaitable);
    asio::steady_timer timer(socket.get_executor(), deadline.value_or(TimePoint::max()));
    // The client sends nothing before it has the response, so a readable socket means that it disconnected.
    const auto first = co_await (m_changeSignal.async_wait(Token) || timer.async_wait(Token)
                                 || socket.async_wait(Socket::wait_read, Token));
    co_return static_cast<WaitResult>(first.index());
}

Response PlatformService::read(boost::urls::url_view url) const
{
    const auto path = parameter(url, "path");
    const auto *value = visibleState().find(path);
    if (!value) {
        return errorResponse(http::status::not_found, "no value at this path");
    }
    return jsonResponse(http::status::ok,
                        {{"path", path}, {"version", value->version}, {"era", value->era}, {"value", value->text}});
}

Response PlatformService::list(boost::urls::url_view url) const
{
    auto values = visibleState().changedVersions(parameter(url, "prefix"), 0);
    return jsonResponse(
        http::status::ok,
        {{"version", visibleState().version()}, {"era", visibleState().era()}, {"values", std::move(values)}});
}

Response PlatformService::control(const std::string &name, const Request &request, boost::urls::url_view url)
{
    if (request.method() == http::verb::get && name == "calls") {
        return jsonResponse(http::status::ok, m_counter.report(Clock::now()));
    }
    if (request.method() != http::verb::post) {
        return errorResponse(http::status::not_found, "unknown endpoint");
    }
    if (name == "put") {
        return put(request, url);
    }
    if (name == "instances") {
        const auto version = m_state.setInstances(parseInstances(request.body()));
        m_changeSignal.cancel();
        return jsonResponse(http::status::ok, {{"version", version}});
    }
    if (name == "away") {
        return setOutage(url);
    }
    if (name == "stale") {
        return setStale(url);
    }
    if (name == "keep") {
        m_copy = m_state;
        return jsonResponse(http::status::ok, {{"version", m_copy.version()}});
    }
    if (name == "restore") {
        return restoreCopy();
    }
    return errorResponse(http::status::not_found, "unknown endpoint");
}

Response PlatformService::put(const Request &request, boost::urls::url_view url)
{
    const auto path = parameter(url, "path");
    if (!path.starts_with('/')) {
        throw UsageError("query parameter 'path' must begin with '/'");
    }
    if (request.body().size() > MaxValueBytes) {
        return errorResponse(http::status::payload_too_large, "value is larger than 1 MB");
    }
    const auto version = m_state.put(path, request.body());
    m_changeSignal.cancel();
    return jsonResponse(http::status::ok, {{"version", version}});
}

Response PlatformService::setOutage(boost::urls::url_view url)
{
    const bool on = onParameter(url);
    const auto params = url.params();
    const auto mode = params.contains("mode") ? parameter(url, "mode") : "refuse";
    if (mode != "refuse" && mode != "hang") {
        throw UsageError("query parameter 'mode' must be 'refuse' or 'hang'");
    }
    m_outage = !on ? Outage::None : mode == "hang" ? Outage::Hang : Outage::Refuse;
    m_changeSignal.cancel();
    return jsonResponse(http::status::ok, {{"away", on}});
}

Response PlatformService::setStale(boost::urls::url_view url)
{
    const bool on = onParameter(url);
    if (!on) {
        m_staleState.reset();
        m_changeSignal.cancel();
    } else if (!m_staleState) {
        m_staleState = m_state;
    }
    return jsonResponse(http::status::ok, {{"stale", on}});
}

/// Returns to the kept copy. Changes since then are lost, and their versions are given out again.
Response PlatformService::restoreCopy()
{
    auto state = m_copy;
    state.replace(m_state);
    m_state = std::move(state);
    m_changeSignal.cancel();
    return jsonResponse(http::status::ok, {{"version", m_state.version()}, {"era", m_state.era()}});
}

const PlatformState &PlatformService::visibleState() const
{
    return m_staleState ? *m_staleState : m_state;
}

} // namespace laburnumspar::tools
