#include "gateway/httptext.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace laburnumspar::detail {

namespace {

/// Whether the header is hop-by-hop or generated anew, and thus not forwarded.
bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
    case http::field::host:
        return true;
    default:
        return false;
    }
}

bool isListedInConnection(beast::string_view connection, beast::string_view name)
{
    return !connection.empty() && http::token_list(connection).exists(name);
}

/// Returns the lines of the end-to-end headers that `select` accepts.
template <typename Fields, typename Select>
std::string endToEndHeaders(const Fields &fields, Select &&select)
{
    const auto connection = fields[http::field::connection];
    std::string lines;
    for (const auto &field : fields) {
        if (isHopByHop(field.name()) || isListedInConnection(connection, field.name_string())
            || !select(field.name_string())) {
            continue;
        }
        lines.append(field.name_string().data(), field.name_string().size());
        lines += ": ";
        lines.append(field.value().data(), field.value().size());
        lines += "\r\n";
    }
    return lines;
}

bool equals(beast::string_view a, const std::string &b)
{
    return beast::iequals(a, b);
}

std::string text(beast::string_view view)
{
    return {view.data(), view.size()};
}

/// Digest of the key in the headers, unless they contain several or one of an invalid length.
std::optional<KeyDigest> callerKey(const CallerMessage &message, const std::string &name)
{
    const auto [begin, end] = message.equal_range(name);
    if (begin == end || std::next(begin) != end) {
        return std::nullopt;
    }
    const auto key = begin->value();
    if (key.empty() || key.size() > OrganisationTable::MaxKeyBytes) {
        return std::nullopt;
    }
    return digestOfKey({key.data(), key.size()});
}

Milliseconds parseDeadline(beast::string_view value)
{
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), ms);
    if (ec != std::errc() || end == value.data() || ms < 0) {
        return DefaultDeadline;
    }
    constexpr Milliseconds MaxDeadline{3'600'000};
    return std::min(Milliseconds(ms), MaxDeadline);
}

} // namespace

ForwardedRequest makeForwardedRequest(CallerMessage message, const ForwardingHeaders &names, TimePoint now)
{
    ForwardedRequest request;
    request.id = text(message[names.requestId]);
    request.method = text(message.method_string());
    request.target = text(message.target());
    request.host = text(message[http::field::host]);
    const auto isIdentity = [&names](beast::string_view name) {
        return equals(name, names.organisationKey) || equals(name, names.organisation);
    };
    request.headers = endToEndHeaders(message, [&](auto name) {
        return !equals(name, names.deadline) && !equals(name, names.expectedIdentity) && !isIdentity(name);
    });
    request.identityHeaders = endToEndHeaders(message, isIdentity);
    request.key = callerKey(message, names.organisationKey);
    request.hasBody = message.has_content_length() || message.chunked();
    request.body = std::make_shared<const MessageBody>(std::move(message.body()));
    request.arrived = now;
    request.deadline = now + parseDeadline(message[names.deadline]);
    return request;
}

void identify(ForwardedRequest &request, const RouteTable &table, const Access &access)
{
    if (table.organisations() == nullptr) {
        return;
    }
    request.identityHeaders.clear();
    request.organisation = access.organisation != nullptr ? access.organisation->name : std::string();
}

std::string upstreamHead(const ForwardedRequest &request,
                         const ForwardingHeaders &names,
                         const std::string &identity,
                         Milliseconds timeLeft)
{
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n";
    head += request.headers + request.identityHeaders;
    head += names.deadline + ": " + std::to_string(std::max<std::int64_t>(timeLeft.count(), 1)) + "\r\n";
    head += names.expectedIdentity + ": " + identity + "\r\n";
    if (!request.organisation.empty()) {
        head += names.organisation + ": " + request.organisation + "\r\n";
    }
    if (request.hasBody || !request.body->empty()) {
        head += "Content-Length: " + std::to_string(request.body->size()) + "\r\n";
    }
    return head + "\r\n";
}

CallerAnswer makeCallerAnswer(UpstreamMessage message, bool headOnly, const ForwardingHeaders &names)
{
    CallerAnswer answer;
    answer.status = message.result_int();
    answer.reason = text(message.reason());
    answer.headers
        = endToEndHeaders(message, [&](auto name) { return !equals(name, names.load) && !equals(name, names.notRun); });
    if (headOnly) {
        answer.contentLength = text(message[http::field::content_length]);
    }
    answer.body = std::move(message.body());
    return answer;
}

CallerAnswer makeLocalAnswer(http::status status,
                             std::string_view detail,
                             std::string_view requestId,
                             const ForwardingHeaders &names,
                             Milliseconds retryAfter)
{
    CallerAnswer answer;
    answer.status = static_cast<unsigned>(status);
    answer.reason = text(http::obsolete_reason(status));
    if (!requestId.empty()) {
        answer.headers += names.requestId + ": " + std::string(requestId) + "\r\n";
    }
    if (retryAfter.count() > 0) {
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.3f", std::chrono::duration<double>(retryAfter).count());
        answer.headers += std::string("Retry-After: ") + buf + "\r\n";
    }
    answer.headers += "Content-Type: text/plain\r\n";
    answer.body = std::string(detail) + '\n';
    return answer;
}

std::string callerHead(const CallerAnswer &answer, bool close)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + ' ' + answer.reason + "\r\n" + answer.headers;
    const bool hasNoBody = answer.status == 204 || answer.status == 304;
    if (!hasNoBody) {
        head += "Content-Length: "
            + (answer.contentLength.empty() ? std::to_string(answer.body.size()) : answer.contentLength) + "\r\n";
    }
    head += close ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

} // namespace laburnumspar::detail
