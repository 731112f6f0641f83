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

constexpr std::string_view CallRoot = "/v1/";
constexpr std::string_view ControlRoot = "/control/";
constexpr std::array<std::string_view, 4> CallKinds{"list", "read", "watch", "instances"};
// A watch that never ends would hide a reader that is gone.
constexpr std::uint64_t MaxWaitMs = 60000;

Response reply(http::status status, const boost::json::object &body)
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body);
    return response;
}

Response failure(http::status status, std::string_view detail)
{
    return reply(status, {{"error", detail}});
}

/// Throws UsageError if the parameter is missing.
std::string parameter(boost::urls::url_view url, std::string_view key)
{
    const auto params = url.params();
    const auto it = params.find(key);
    if (it == params.end()) {
        throw UsageError("parameter " + std::string(key) + " is missing");
    }
    return (*it).value;
}

std::uint64_t numberParameter(boost::urls::url_view url, std::string_view key)
{
    const auto text = parameter(url, key);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size()) {
        throw UsageError("parameter " + std::string(key) + " is not a whole number of at least 0");
    }
    return number;
}

bool flagParameter(boost::urls::url_view url)
{
    const auto number = numberParameter(url, "on");
    if (number > 1) {
        throw UsageError("parameter on is neither 0 nor 1");
    }
    return number == 1;
}

} // namespace

/// Counts a watch as pending as long as it lives.
class PlatformService::PendingWatch
{
public:
    explicit PendingWatch(CallCounter &counter)
        : m_counter(counter)
    {
        m_counter.watchPending(Clock::now());
    }
    ~PendingWatch()
    {
        m_counter.watchEnded(Clock::now());
    }
    PendingWatch(const PendingWatch &) = delete;
    PendingWatch &operator=(const PendingWatch &) = delete;

private:
    CallCounter &m_counter;
};

PlatformService::PlatformService(const asio::any_io_executor &executor)
    : m_counter(Clock::now())
    , m_changed(executor, TimePoint::max())
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
    m_changed.cancel();
}

void PlatformService::loadInstances(const boost::json::array &instances)
{
    if (instances != m_loadedInstances) {
        m_state.setInstances(instances);
        m_loadedInstances = instances;
        m_changed.cancel();
    }
}

asio::awaitable<std::optional<Response>> PlatformService::handle(const Request &request, Socket &socket)
{
    const auto url = boost::urls::parse_origin_form(request.target());
    if (!url) {
        co_return failure(http::status::bad_request, "the target cannot be parsed");
    }
    const std::string path = url->path();
    try {
        if (path.starts_with(ControlRoot)) {
            co_return control(path.substr(ControlRoot.size()), request, *url);
        }
        if (path.starts_with(CallRoot) && request.method() == http::verb::get) {
            co_return co_await call(path.substr(CallRoot.size()), *url, socket);
        }
    } catch (const Error &e) {
        co_return failure(http::status::bad_request, e.what());
    }
    co_return failure(http::status::not_found, "no such endpoint");
}

asio::awaitable<std::optional<Response>>
PlatformService::call(const std::string &kind, boost::urls::url_view url, Socket &socket)
{
    if (std::find(CallKinds.begin(), CallKinds.end(), kind) == CallKinds.end()) {
        co_return failure(http::status::not_found, "no such endpoint");
    }
    m_counter.started(kind, Clock::now());
    if (m_away == Away::Hang) {
        co_return co_await hang(socket);
    }
    if (m_away == Away::Refuse) {
        co_return failure(http::status::service_unavailable, "the platform is away");
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
    co_return reply(http::status::ok, served().instances());
}

asio::awaitable<std::optional<Response>> PlatformService::watch(boost::urls::url_view url, Socket &socket)
{
    const auto prefix = parameter(url, "prefix");
    const auto after = numberParameter(url, "after");
    const auto until = Clock::now() + Milliseconds(std::min(numberParameter(url, "wait_ms"), MaxWaitMs));
    const PendingWatch pending(m_counter);
    for (auto wake = Wake::Changed; wake != Wake::Disconnected; wake = co_await wait(until, socket)) {
        if (m_away == Away::Hang) {
            co_return co_await hang(socket);
        }
        if (m_away == Away::Refuse) {
            co_return failure(http::status::service_unavailable, "the platform is away");
        }
        auto changes = served().versions(prefix, after);
        if (!changes.empty() || wake == Wake::TimedOut) {
            co_return reply(http::status::ok, {{"version", served().version()}, {"values", std::move(changes)}});
        }
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Response>> PlatformService::hang(Socket &socket)
{
    auto wake = Wake::Changed;
    while (m_away == Away::Hang && wake != Wake::Disconnected) {
        wake = co_await wait(std::nullopt, socket);
    }
    co_return std::nullopt;
}

asio::awaitable<PlatformService::Wake> PlatformService::wait(std::optional<TimePoint> until, Socket &socket)
{
    using namespace asio::experimental::awaitable_operators;
    constexpr auto Token = asio::as_tuple(asio::use_awaitable);
    asio::steady_timer timer(socket.get_executor(), until.value_or(TimePoint::max()));
    // Nothing is due to arrive before the answer, so a readable socket is a disconnect.
    const auto first = co_await (m_changed.async_wait(Token) || timer.async_wait(Token)
                                 || socket.async_wait(Socket::wait_read, Token));
    co_return static_cast<Wake>(first.index());
}

Response PlatformService::read(boost::urls::url_view url) const
{
    const auto path = parameter(url, "path");
    const auto *value = served().find(path);
    if (!value) {
        return failure(http::status::not_found, "the path has no value");
    }
    return reply(http::status::ok, {{"path", path}, {"version", value->version}, {"value", value->text}});
}

Response PlatformService::list(boost::urls::url_view url) const
{
    auto values = served().versions(parameter(url, "prefix"), 0);
    return reply(http::status::ok, {{"version", served().version()}, {"values", std::move(values)}});
}

Response PlatformService::control(const std::string &name, const Request &request, boost::urls::url_view url)
{
    if (request.method() == http::verb::get && name == "calls") {
        return reply(http::status::ok, m_counter.report(Clock::now()));
    }
    if (request.method() != http::verb::post) {
        return failure(http::status::not_found, "no such endpoint");
    }
    if (name == "put") {
        return put(request, url);
    }
    if (name == "instances") {
        const auto version = m_state.setInstances(parseInstances(request.body()));
        m_changed.cancel();
        return reply(http::status::ok, {{"version", version}});
    }
    if (name == "away") {
        return setAway(url);
    }
    if (name == "stale") {
        return setStale(url);
    }
    return failure(http::status::not_found, "no such endpoint");
}

Response PlatformService::put(const Request &request, boost::urls::url_view url)
{
    const auto path = parameter(url, "path");
    if (!path.starts_with('/')) {
        throw UsageError("parameter path does not begin with '/'");
    }
    if (request.body().size() > MaxValueBytes) {
        return failure(http::status::payload_too_large, "a value has at most 1 MB");
    }
    const auto version = m_state.put(path, request.body());
    m_changed.cancel();
    return reply(http::status::ok, {{"version", version}});
}

Response PlatformService::setAway(boost::urls::url_view url)
{
    const bool on = flagParameter(url);
    const auto params = url.params();
    const auto mode = params.contains("mode") ? parameter(url, "mode") : "refuse";
    if (mode != "refuse" && mode != "hang") {
        throw UsageError("parameter mode is neither refuse nor hang");
    }
    m_away = !on ? Away::No : mode == "hang" ? Away::Hang : Away::Refuse;
    m_changed.cancel();
    return reply(http::status::ok, {{"away", on}});
}

Response PlatformService::setStale(boost::urls::url_view url)
{
    const bool on = flagParameter(url);
    if (!on) {
        m_frozen.reset();
        m_changed.cancel();
    } else if (!m_frozen) {
        m_frozen = m_state;
    }
    return reply(http::status::ok, {{"stale", on}});
}

const PlatformState &PlatformService::served() const
{
    return m_frozen ? *m_frozen : m_state;
}

} // namespace laburnumspar::tools
