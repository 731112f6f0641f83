#include "laburnumspar/plugin.h"
#include "laburnumspar/upstreamdialect.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace laburnumspar {

namespace {

constexpr unsigned HttpServerError = 500;
constexpr unsigned HttpUnavailable = 503;

const std::string *findHeader(const HttpHeaders &headers, std::string_view key)
{
    for (const auto &[name, value] : headers) {
        if (boost::algorithm::iequals(name, key)) {
            return &value;
        }
    }
    return nullptr;
}

std::optional<unsigned> parseInFlight(const HttpHeaders &headers)
{
    const auto *load = findHeader(headers, "X-Load");
    if (!load) {
        return std::nullopt;
    }
    unsigned inFlight = 0;
    const auto [end, ec] = std::from_chars(load->data(), load->data() + load->size(), inFlight);
    return ec == std::errc() ? std::optional(inFlight) : std::nullopt;
}

std::string_view headerOrEmpty(const HttpHeaders &headers, std::string_view key)
{
    const auto *value = findHeader(headers, key);
    return value ? std::string_view(*value) : std::string_view();
}

UpstreamNotice parseNotice(const HttpMessage &answer)
{
    UpstreamNotice notice;
    notice.requestRate = parseRequestRate(headerOrEmpty(answer.headers, "X-Request-Rate"));
    if (answer.status == HttpUnavailable) {
        notice.pause = parsePause(headerOrEmpty(answer.headers, "Retry-After"));
    }
    return notice;
}

std::string bodyDigest(const std::string &body)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
    return buf;
}

// True if the answer belongs to the request and the body matches its digest. A different digest means that the body was
// damaged in transit or that the upstream confused two answers.
bool isValidAnswer(const HttpMessage &answer, const std::string &requestId)
{
    const auto *id = findHeader(answer.headers, "X-Request-Id");
    if (!requestId.empty() && (!id || *id != requestId)) {
        return false;
    }
    const auto *digest = findHeader(answer.headers, "X-Body-Digest");
    return !digest || boost::algorithm::iequals(*digest, bodyDigest(answer.body));
}

class LsparV1Upstream : public UpstreamDialect
{
public:
    HttpMessage encode(const UpstreamRequest &request) const override
    {
        HttpMessage message;
        message.method = request.method;
        message.target = request.path;
        message.headers = {{"X-Request-Id", request.requestId},
                           {"X-Deadline-Ms", std::to_string(request.remaining.count())},
                           {"X-Team", request.team}};
        if (!request.contentType.empty()) {
            message.headers.emplace_back("Content-Type", request.contentType);
        }
        message.body = request.body;
        return message;
    }

    HttpMessage probe() const override
    {
        HttpMessage message;
        message.method = "GET";
        message.target = "/health";
        return message;
    }

    UpstreamAnswer decode(const HttpMessage &answer, const std::string &requestId) const override
    {
        UpstreamAnswer result;
        result.status = answer.status;
        result.inFlight = parseInFlight(answer.headers);
        if (const auto *phase = findHeader(answer.headers, "X-Phase")) {
            result.phase = fromName<UpstreamPhase>(*phase);
        }
        if (const auto *type = findHeader(answer.headers, "Content-Type")) {
            result.contentType = *type;
        }
        if (!isValidAnswer(answer, requestId)) {
            result.fault = Reason::WrongAnswer;
            return result;
        }
        result.body = answer.body;
        result.notice = parseNotice(answer);
        if (const auto *notRun = findHeader(answer.headers, "X-Not-Run")) {
            result.notRun = true;
            result.fault = *notRun == "draining" ? Reason::Leaving
                : *notRun == "deadline"          ? Reason::DeadlineTooShort
                                                 : Reason::Shed;
        } else if (answer.status >= HttpServerError) {
            result.fault = Reason::UpstreamError;
        }
        return result;
    }
};

const Registration<UpstreamDialect, LsparV1Upstream> registration("lspar-v1");

} // namespace

} // namespace laburnumspar
