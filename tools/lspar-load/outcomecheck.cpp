#include "outcomecheck.h"

#include "detail/bodydigest.h"

#include <boost/json.hpp>

namespace laburnumspar::tools {

namespace {

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusDuplicate = 409;
constexpr unsigned StatusNotRun = 503;
constexpr unsigned StatusMayHaveRun = 504;
constexpr unsigned StatusUpstreamError = 500;
constexpr std::size_t ExamplesMax = 20;

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

json::object parseObject(const std::string &text)
{
    boost::system::error_code ec;
    const auto value = json::parse(text, ec);
    return !ec && value.is_object() ? value.get_object() : json::object();
}

CallerOutcome judgeFailure(const CallerAnswer &answer)
{
    const auto outcome = answer.outcome.empty() ? textOf(parseObject(answer.body), "outcome") : answer.outcome;
    const bool notRun = outcome == name(Outcome::NotRun) || !answer.notRun.empty();
    if (answer.status == StatusNotRun && notRun) {
        return CallerOutcome::NotRun;
    }
    if (answer.status == StatusDuplicate) {
        return CallerOutcome::Duplicate;
    }
    if (answer.status == StatusMayHaveRun || answer.status == StatusUpstreamError) {
        return CallerOutcome::MayHaveRun;
    }
    return CallerOutcome::Error;
}

} // namespace

CallerOutcome judgeAnswer(const CallerAnswer &answer, const ExpectedAnswer &expected)
{
    if (answer.status != StatusOk) {
        return answer.complete ? judgeFailure(answer) : CallerOutcome::NoAnswer;
    }
    const bool damaged = !answer.digest.empty() && answer.digest != detail::bodyDigest(answer.body);
    const auto body = parseObject(answer.body);
    if (!answer.complete || damaged || body.empty() || textOf(body, "pad").size() != expected.padding) {
        return CallerOutcome::Partial;
    }
    const bool otherId = !expected.requestId.empty() && answer.requestId != expected.requestId;
    const bool otherWork = textOf(body, "key") != expected.key || textOf(body, "body_hash") != expected.bodyHash;
    const bool mixedUp = !answer.requestId.empty() && textOf(body, "request") != answer.requestId;
    return otherId || otherWork || mixedUp ? CallerOutcome::Foreign : CallerOutcome::Answered;
}

Violations checkOutcomes(const std::vector<RequestRecord> &records,
                         const std::function<unsigned(const RequestRecord &)> &executions)
{
    Violations found;
    for (const auto &record : records) {
        const auto before = found.sum();
        const auto runs = executions(record);
        const auto outcome = record.outcome;
        const bool toldNotRun = outcome == CallerOutcome::NotRun || outcome == CallerOutcome::Unreachable;
        found.notRunRan += toldNotRun && runs > 0 ? 1 : 0;
        found.ranTwice += !record.idempotent && runs > 1 ? 1 : 0;
        found.answeredNotRun += outcome == CallerOutcome::Answered && runs == 0 ? 1 : 0;
        found.foreign += outcome == CallerOutcome::Foreign ? 1 : 0;
        found.partial += outcome == CallerOutcome::Partial ? 1 : 0;
        if (found.sum() > before && found.examples.size() < ExamplesMax) {
            found.examples.push_back({record, runs});
        }
    }
    return found;
}

} // namespace laburnumspar::tools
