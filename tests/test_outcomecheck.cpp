#include "lspar-load/outcomecheck.h"

#include "detail/bodydigest.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::tools;

namespace {

ExpectedAnswer expected()
{
    return {"k1", "r1", detail::bodyDigest("hello"), 3};
}

CallerAnswer completeAnswer()
{
    CallerAnswer answer{200, true, "", "answered", "r1", "", ""};
    answer.body = R"({"request":"r1","key":"k1","body_hash":")" + detail::bodyDigest("hello") + R"(","pad":"xxx"})";
    answer.digest = detail::bodyDigest(answer.body);
    return answer;
}

CallerOutcome classifyModified(const std::function<void(CallerAnswer &)> &modify)
{
    auto answer = completeAnswer();
    modify(answer);
    return classifyAnswer(answer, expected());
}

CallerOutcome classifyFailure(unsigned status, const std::string &outcome, const std::string &notRun = "")
{
    return classifyAnswer({status, true, "", outcome, "r1", "", notRun}, expected());
}

Violations checkOne(CallerOutcome outcome, bool idempotent, unsigned runs)
{
    RequestRecord record;
    record.outcome = outcome;
    record.idempotent = idempotent;
    return checkOutcomes({record}, [runs](const RequestRecord &) { return runs; });
}

} // namespace

// Guards against counting an answer to another request, or a damaged or truncated one, as answered (requirement I2).
BOOST_AUTO_TEST_CASE(onlyCompleteAnswerToSameRequestIsAnswered)
{
    BOOST_CHECK(classifyModified([](auto &) {}) == CallerOutcome::Answered);
    BOOST_CHECK(classifyModified([](auto &answer) { answer.complete = false; }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyModified([](auto &answer) { answer.body[30] ^= 1; }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyModified([](auto &answer) { answer.body.clear(); }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyModified([](auto &answer) { answer.requestId = "r2"; }) == CallerOutcome::OtherRequest);
    BOOST_CHECK(classifyModified([](auto &answer) {
                    answer.body.replace(answer.body.find("k1"), 2, "k2");
                    answer.digest = detail::bodyDigest(answer.body);
                })
                == CallerOutcome::OtherRequest);
    BOOST_CHECK(classifyModified([](auto &answer) {
                    answer.body.replace(answer.body.find("xxx"), 3, "x");
                    answer.digest = detail::bodyDigest(answer.body);
                })
                == CallerOutcome::Partial);
}

// Guards against taking a failure for a report that the request was not executed.
BOOST_AUTO_TEST_CASE(notRunRequiresExplicitReport)
{
    BOOST_CHECK(classifyFailure(503, "not-run") == CallerOutcome::NotRun);
    BOOST_CHECK(classifyFailure(503, "", "shed") == CallerOutcome::NotRun);
    BOOST_CHECK(classifyFailure(503, "") == CallerOutcome::Error);
    BOOST_CHECK(classifyFailure(503, "may-have-run") == CallerOutcome::Error);
    BOOST_CHECK(classifyFailure(504, "may-have-run") == CallerOutcome::MayHaveRun);
    BOOST_CHECK(classifyFailure(409, "") == CallerOutcome::Duplicate);
    BOOST_CHECK(classifyAnswer({503, false, "", "not-run", "", "", ""}, expected()) == CallerOutcome::NoAnswer);
    BOOST_CHECK(classifyAnswer({503, true, R"({"outcome":"not-run"})", "", "", "", ""}, expected())
                == CallerOutcome::NotRun);
}

// Guards against a check that cannot fail: each guarantee is violated once and met once (requirements I3 and I4).
BOOST_AUTO_TEST_CASE(findsEachViolation)
{
    BOOST_TEST(checkOne(CallerOutcome::NotRun, true, 1).ranDespiteNotRun == 1U);
    BOOST_TEST(checkOne(CallerOutcome::Unreachable, true, 1).ranDespiteNotRun == 1U);
    BOOST_TEST(checkOne(CallerOutcome::NotRun, true, 0).total() == 0U);
    BOOST_TEST(checkOne(CallerOutcome::MayHaveRun, false, 2).ranTwice == 1U);
    BOOST_TEST(checkOne(CallerOutcome::MayHaveRun, false, 1).total() == 0U);
    BOOST_TEST(checkOne(CallerOutcome::Answered, true, 2).total() == 0U);
    BOOST_TEST(checkOne(CallerOutcome::Answered, true, 0).answeredWithoutRun == 1U);
    BOOST_TEST(checkOne(CallerOutcome::OtherRequest, true, 1).otherRequestAnswers == 1U);
    BOOST_TEST(checkOne(CallerOutcome::Partial, true, 1).partialAnswers == 1U);
}
