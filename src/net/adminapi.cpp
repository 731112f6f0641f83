#include "net/adminapi.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"
#include "laburnumspar/version.h"
#include "net/querystring.h"

#include <boost/json.hpp>

namespace laburnumspar::detail {

namespace json = boost::json;

namespace {

HttpResponse jsonResponse(http::status status, const json::value &body)
{
    return makeResponse(status, "application/json", json::serialize(body) + '\n');
}

HttpResponse errorResponse(http::status status, std::string_view error)
{
    return jsonResponse(status, {{"error", error}});
}

} // namespace

AdminApi::AdminApi(Context context)
    : m_context(std::move(context))
{
}

awaitable<HttpResponse> AdminApi::handle(HttpRequest request, CancellationPtr)
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = target.substr(0, target.find('?'));
    const bool get = request.method() == http::verb::get;
    const bool post = request.method() == http::verb::post;
    if (get && path == "/dump") {
        co_return dump();
    }
    if (get && path == "/metrics") {
        co_return makeResponse(http::status::ok, "text/plain; version=0.0.4", m_context.metrics.prometheus());
    }
    if (get && path == "/state") {
        co_return jsonResponse(http::status::ok, {{"state", m_context.state()}});
    }
    if (post && path == "/check") {
        co_return check(request);
    }
    if (post && path == "/faults") {
        co_return faults(request);
    }
    co_return errorResponse(http::status::not_found, "no such endpoint");
}

json::object AdminApi::processDump()
{
    const auto &settings = m_context.settings;
    return {{"version", Version},
            {"instance", toString(settings.peers)},
            {"callers", toString(settings.callers)},
            {"zone", settings.zone},
            {"incarnation", m_context.incarnation},
            {"state", m_context.state()},
            {"settings_reader", m_context.isSettingsReader()},
            {"claims", m_context.claims.with([](ClaimTable &claims) { return claims.size(); })}};
}

HttpResponse AdminApi::dump()
{
    const auto now = Clock::now();
    json::object body{{"process", processDump()}};
    body["settings"] = toJson(m_context.store.with([](SettingsStore &store) { return store.dump(); }));
    body["members"] = toJson(m_context.membership.with([&](Membership &members) { return members.view(now); }), now);
    body["dispatcher_loads"] = toJson(m_context.loads(now), now);
    json::object services;
    for (const auto &service : m_context.services.services()) {
        const auto runtime = m_context.services.runtime(service);
        if (!runtime) {
            continue;
        }
        json::array dispatchers;
        for (const auto &dispatcher : m_context.services.dispatchers(service)) {
            dispatchers.push_back(
                {{"instance", toString(dispatcher.id)}, {"zone", dispatcher.zone}, {"self", dispatcher.self}});
        }
        services[service] = {{"dispatchers", std::move(dispatchers)},
                             {"queue", toJson(runtime->dispatcherDump(), now)},
                             {"health", toJson(runtime->healthDump(now), now)}};
    }
    body["services"] = std::move(services);
    return jsonResponse(http::status::ok, body);
}

HttpResponse AdminApi::check(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = queryValue(parseQuery(target), "path");
    try {
        const auto settings = parseServiceSettings(request.body(), path.empty() ? "value" : path);
        return jsonResponse(http::status::ok, {{"valid", true}, {"effective", toToml(settings)}});
    } catch (const SettingsError &e) {
        return jsonResponse(
            http::status::unprocessable_entity,
            {{"valid", false}, {"key", e.key()}, {"line", e.line()}, {"allowed", e.expected()}, {"error", e.what()}});
    }
}

HttpResponse AdminApi::faults(const HttpRequest &request)
{
    if (!m_context.faults.isEnabled()) {
        return errorResponse(http::status::forbidden, "fault injection is not enabled in the settings");
    }
    error_code ec;
    const auto body = json::parse(request.body(), ec);
    if (ec || !body.is_object()) {
        return errorResponse(http::status::bad_request, "a JSON object is expected");
    }
    m_context.faults.clear();
    const auto apply = [&](const char *key, auto block) {
        const auto *list = body.as_object().if_contains(key);
        for (const auto &item : list && list->is_array() ? list->as_array() : json::array()) {
            const auto endpoint = item.is_string() ? parseEndpoint(std::string(item.as_string())) : std::nullopt;
            if (endpoint) {
                block(*endpoint);
            }
        }
    };
    apply("outgoing", [&](const Endpoint &endpoint) { m_context.faults.blockOutgoing(endpoint); });
    apply("incoming", [&](const Endpoint &endpoint) { m_context.faults.blockIncoming(endpoint); });
    return jsonResponse(http::status::ok, {{"applied", true}});
}

} // namespace laburnumspar::detail
