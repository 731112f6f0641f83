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

CallerOutcome classifyChanged(const std::function<void(CallerAnswer &)> &change)
{
    auto answer = completeAnswer();
    change(answer);
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

// Guards against a foreign, damaged or cut answer that counts as good (I2).
BOOST_AUTO_TEST_CASE(onlyTheOwnWholeAnswerCounts)
{
    BOOST_CHECK(classifyChanged([](auto &) {}) == CallerOutcome::Answered);
    BOOST_CHECK(classifyChanged([](auto &answer) { answer.complete = false; }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyChanged([](auto &answer) { answer.body[30] ^= 1; }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyChanged([](auto &answer) { answer.body.clear(); }) == CallerOutcome::Partial);
    BOOST_CHECK(classifyChanged([](auto &answer) { answer.requestId = "r2"; }) == CallerOutcome::OtherRequest);
    BOOST_CHECK(classifyChanged([](auto &answer) {
                    answer.body.replace(answer.body.find("k1"), 2, "k2");
                    answer.digest = detail::bodyDigest(answer.body);
                })
                == CallerOutcome::OtherRequest);
    BOOST_CHECK(classifyChanged([](auto &answer) {
                    answer.body.replace(answer.body.find("xxx"), 3, "x");
                    answer.digest = detail::bodyDigest(answer.body);
                })
                == CallerOutcome::Partial);
}

// Guards against a failure that is taken for a promise that nothing ran.
BOOST_AUTO_TEST_CASE(notRunNeedsAPromise)
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

// Guards against a check that cannot fail: each promise is broken once and kept once (I3, I4).
BOOST_AUTO_TEST_CASE(eachBrokenPromiseIsFound)
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
