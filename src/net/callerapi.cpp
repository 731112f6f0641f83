#include "net/callerapi.h"

#include "laburnumspar/log.h"
#include "net/querystring.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace laburnumspar::detail {

namespace json = boost::json;

namespace {

constexpr std::string_view CallPrefix = "/v1/call/";
// Short enough that callers soon stop using a failed instance, long enough that refreshing the addresses costs little.
constexpr Milliseconds AddressLifetime{5000};
constexpr std::size_t DefaultAddresses = 4;
constexpr std::size_t MaxAddresses = 16;
constexpr std::size_t DefaultIds = 16;
constexpr std::size_t MaxIds = 256;
constexpr Milliseconds MaxDeadline{600000};

std::string_view header(const HttpRequest &request, const char *name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = ec == std::errc() && end == text.data() + text.size();
    return valid && !text.empty() ? std::optional(value) : std::nullopt;
}

std::size_t countParameter(const QueryParameters &query, const char *key, std::size_t defaultValue, std::size_t max)
{
    const auto it = query.find(key);
    const auto value = it == query.end() ? std::nullopt : parseNumber(it->second);
    return std::min<std::size_t>(value.value_or(defaultValue), max);
}

http::status httpStatus(const CallResult &result)
{
    switch (result.reason) {
    case Reason::BadRequest:
    case Reason::IdentifierInvalid:
        return http::status::bad_request;
    case Reason::UnknownService:
        return http::status::not_found;
    case Reason::DuplicateRequest:
        return http::status::conflict;
    default:
        return result.outcome == Outcome::NotRun ? http::status::service_unavailable : http::status::gateway_timeout;
    }
}

std::string joinAddresses(const std::vector<Endpoint> &addresses)
{
    std::string text;
    for (const auto &address : addresses) {
        text += (text.empty() ? "" : ",") + toString(address);
    }
    return text;
}

} // namespace

CallerApi::CallerApi(Context context)
    : m_context(std::move(context))
    , m_requestTime(m_context.metrics.distribution("lspar_request_seconds"))
{
    for (const auto outcome : {Outcome::Answered, Outcome::NotRun, Outcome::MayHaveRun}) {
        m_outcomes[outcome]
            = &m_context.metrics.counter("lspar_requests_total", {{"outcome", std::string(name(outcome))}});
    }
}

awaitable<HttpResponse> CallerApi::handle(HttpRequest request, CancellationPtr cancellation)
{
    const std::string_view target(request.target().data(), request.target().size());
    const auto path = target.substr(0, target.find('?'));
    if (boost::algorithm::starts_with(path, CallPrefix)) {
        co_return co_await handleCall(std::move(request), std::move(cancellation));
    }
    if (path == "/v1/addresses" && request.method() == http::verb::get) {
        co_return handleAddresses(request);
    }
    if (path == "/v1/health" && request.method() == http::verb::get) {
        co_return handleHealth();
    }
    co_return makeResponse(http::status::not_found, "application/json", "{\"error\":\"no such endpoint\"}\n");
}

HttpResponse CallerApi::handleHealth() const
{
    const bool ready = m_context.ready() && !m_context.leaving();
    const char *state = m_context.leaving() ? "leaving" : m_context.ready() ? "ready" : "starting";
    return makeResponse(ready ? http::status::ok : http::status::service_unavailable,
                        "application/json",
                        std::string("{\"state\":\"") + state + "\"}\n");
}

awaitable<HttpResponse> CallerApi::handleCall(HttpRequest request, CancellationPtr cancellation)
{
    const auto startedAt = Clock::now();
    CallRequest call;
    std::string detail;
    CallResult result{Outcome::NotRun, prepare(request, call, detail), 0, {}, {}, {}, {}};
    result.detail = detail;
    if (result.reason == Reason::None) {
        if (!call.idempotent) {
            // Its effect is wanted, and its caller may have closed only its sending side.
            cancellation->keepWithoutCaller();
        }
        call.body = std::move(request.body());
        result = co_await m_context.router.handleCall(call, std::move(cancellation));
    }
    const auto duration = Clock::now() - startedAt;
    m_requestTime.record(std::chrono::duration<double>(duration).count());
    m_outcomes[result.outcome]->add();
    if (logEnabled(LogLevel::Debug)) {
        logEvent(LogLevel::Debug,
                 "request.done",
                 {{"request", call.requestId},
                  {"service", call.service},
                  {"team", call.team},
                  {"outcome", name(result.outcome)},
                  {"reason", name(result.reason)},
                  {"upstream", toString(result.upstream)},
                  {"us", std::chrono::duration_cast<Microseconds>(duration).count()}});
    }
    co_return respond(call, result);
}

Reason CallerApi::prepare(const HttpRequest &request, CallRequest &call, std::string &detail)
{
    auto target = std::string_view(request.target().data(), request.target().size()).substr(CallPrefix.size());
    const auto slash = target.find('/');
    call.service = std::string(target.substr(0, std::min(slash, target.find('?'))));
    call.path = slash == std::string_view::npos ? "/" : std::string(target.substr(slash));
    call.method = std::string(request.method_string());
    call.team = std::string(header(request, "Lspar-Team"));
    call.requestId = std::string(header(request, "Lspar-Request-Id"));
    call.contentType = std::string(header(request, "Content-Type"));
    if (call.team.empty()) {
        call.team = "anonymous";
    }
    if (!m_context.ready()) {
        return Reason::NotReady;
    }
    const auto settings = m_context.services.settings(call.service);
    if (!settings) {
        detail = "no service named " + call.service;
        return Reason::UnknownService;
    }
    const auto *route = findRoute(*settings, call.path);
    auto deadline = route ? route->deadline : settings->deadline;
    if (const auto text = header(request, "Lspar-Deadline-Ms"); !text.empty()) {
        const auto value = parseNumber(text);
        if (!value || *value == 0 || *value > static_cast<std::uint64_t>(MaxDeadline.count())) {
            detail = "Lspar-Deadline-Ms: 1 to 600000";
            return Reason::BadRequest;
        }
        deadline = Milliseconds(*value);
    }
    call.deadline = Clock::now() + deadline;
    call.route = routeStatsKey(*settings, call.path);
    call.requestClass = route && route->requestClass ? *route->requestClass : RequestClass::Short;
    call.idempotent = route && route->idempotent;
    if (const auto text = header(request, "Lspar-Idempotent"); !text.empty()) {
        if (text != "true" && text != "false") {
            detail = "Lspar-Idempotent: true or false";
            return Reason::BadRequest;
        }
        call.idempotent = text == "true";
    }
    if (call.requestId.empty()) {
        // Without an identifier sent by the caller a retry by the caller cannot be recognised. A non-idempotent request
        // still gets an issued identifier, so that this delivery of it runs at most once.
        const auto id = call.idempotent ? nextRequestId() : m_context.router.issueId();
        if (!id) {
            detail = "the instance has issued all identifiers of this second";
            return Reason::TableFull;
        }
        call.requestId = *id;
    }
    return Reason::None;
}

std::string CallerApi::nextRequestId()
{
    return toString(m_context.self) + '-' + std::to_string(m_context.incarnation) + '-' + std::to_string(m_nextId++);
}

HttpResponse CallerApi::respond(const CallRequest &call, const CallResult &result)
{
    HttpResponse response;
    if (result.outcome == Outcome::Answered) {
        const auto type = result.contentType.empty() ? "application/octet-stream" : result.contentType;
        response = makeResponse(http::int_to_status(result.status), type, result.body);
    } else {
        json::object body{{"outcome", name(result.outcome)},
                          {"reason", name(result.reason)},
                          {"request", call.requestId},
                          {"detail", result.detail}};
        response = makeResponse(httpStatus(result), "application/json", json::serialize(body) + '\n');
        response.set("Lspar-Reason", name(result.reason));
    }
    response.set("Lspar-Outcome", name(result.outcome));
    response.set("Lspar-Request-Id", call.requestId);
    response.set("Lspar-Instance", toString(m_context.callerAddress));
    if (!result.upstream.ip.empty()) {
        response.set("Lspar-Upstream", toString(result.upstream));
    }
    if (!call.idempotent && m_context.ready()) {
        if (const auto id = m_context.router.issueId()) {
            response.set("Lspar-Next-Request-Id", *id);
        }
    }
    if (m_context.leaving()) {
        response.set("Lspar-Better", joinAddresses(rankedAddresses(call.service, m_context.zone, DefaultAddresses)));
    }
    return response;
}

std::vector<Endpoint> CallerApi::rankedAddresses(const std::string &service, const std::string &zone, std::size_t count)
{
    auto addresses = m_context.services.callerAddresses(service, zone);
    addresses.resize(std::min(addresses.size(), count));
    return addresses;
}

HttpResponse CallerApi::handleAddresses(const HttpRequest &request)
{
    const auto query = parseQuery({request.target().data(), request.target().size()});
    const auto service = query.find("service");
    if (!m_context.ready()) {
        return makeResponse(http::status::service_unavailable, "application/json", "{\"error\":\"not ready\"}\n");
    }
    if (service == query.end() || !m_context.services.settings(service->second)) {
        return makeResponse(http::status::not_found, "application/json", "{\"error\":\"unknown service\"}\n");
    }
    const auto zone = query.find("zone");
    const auto count = std::max<std::size_t>(1, countParameter(query, "count", DefaultAddresses, MaxAddresses));
    json::array addresses;
    for (const auto &address :
         rankedAddresses(service->second, zone == query.end() ? m_context.zone : zone->second, count)) {
        addresses.emplace_back(toString(address));
    }
    json::array ids;
    if (!m_context.leaving()) {
        for (auto &id : m_context.router.issueIds(countParameter(query, "ids", DefaultIds, MaxIds))) {
            ids.emplace_back(std::move(id));
        }
    }
    json::object body{{"service", service->second},
                      {"addresses", std::move(addresses)},
                      {"lifetime_ms", AddressLifetime.count()},
                      {"request_ids", std::move(ids)},
                      {"request_ids_owner", toString(m_context.callerAddress)}};
    return makeResponse(http::status::ok, "application/json", json::serialize(body) + '\n');
}

} // namespace laburnumspar::detail
