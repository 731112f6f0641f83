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
constexpr std::size_t MaxExamples = 20;

std::string stringField(const json::object &object, std::string_view key)
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

CallerOutcome classifyFailure(const CallerAnswer &answer)
{
    const auto outcome = answer.outcome.empty() ? stringField(parseObject(answer.body), "outcome") : answer.outcome;
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

CallerOutcome classifyAnswer(const CallerAnswer &answer, const ExpectedAnswer &expected)
{
    if (answer.status != StatusOk) {
        return answer.complete ? classifyFailure(answer) : CallerOutcome::NoAnswer;
    }
    const bool damaged = !answer.digest.empty() && answer.digest != detail::bodyDigest(answer.body);
    const auto body = parseObject(answer.body);
    if (!answer.complete || damaged || body.empty() || stringField(body, "pad").size() != expected.padding) {
        return CallerOutcome::Partial;
    }
    const bool otherId = !expected.requestId.empty() && answer.requestId != expected.requestId;
    const bool otherContent
        = stringField(body, "key") != expected.key || stringField(body, "body_hash") != expected.bodyHash;
    const bool idMismatch = !answer.requestId.empty() && stringField(body, "request") != answer.requestId;
    return otherId || otherContent || idMismatch ? CallerOutcome::OtherRequest : CallerOutcome::Answered;
}

Violations checkOutcomes(const std::vector<RequestRecord> &records,
                         const std::function<unsigned(const RequestRecord &)> &executions)
{
    Violations violations;
    for (const auto &record : records) {
        const auto before = violations.total();
        const auto runs = executions(record);
        const auto outcome = record.outcome;
        const bool reportedNotRun = outcome == CallerOutcome::NotRun || outcome == CallerOutcome::Unreachable;
        violations.ranDespiteNotRun += reportedNotRun && runs > 0 ? 1 : 0;
        violations.ranTwice += !record.idempotent && runs > 1 ? 1 : 0;
        violations.answeredWithoutRun += outcome == CallerOutcome::Answered && runs == 0 ? 1 : 0;
        violations.otherRequestAnswers += outcome == CallerOutcome::OtherRequest ? 1 : 0;
        violations.partialAnswers += outcome == CallerOutcome::Partial ? 1 : 0;
        if (violations.total() > before && violations.examples.size() < MaxExamples) {
            violations.examples.push_back({record, runs});
        }
    }
    return violations;
}

} // namespace laburnumspar::tools
