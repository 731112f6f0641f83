#include "laburnumspar/upstreamdialect.h"

#include "laburnumspar/plugin.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    UpstreamNotice decode(unsigned status, HttpHeaders headers) const
    {
        headers.emplace_back("X-Request-Id", "r1");
        HttpMessage message;
        message.status = status;
        message.headers = std::move(headers);
        return dialect->decode(message, "r1").notice;
    }

    std::unique_ptr<UpstreamDialect> dialect = Registry<UpstreamDialect>::global().make("lspar-v1");
};

} // namespace

// Guards against pauses and request rates that are lost by the decoder, or taken from other answers.
BOOST_FIXTURE_TEST_CASE(pausesAndRequestRatesAreDecoded, Fixture)
{
    BOOST_TEST((decode(503, {{"Retry-After", "1.5"}}).pause == 1500ms));
    BOOST_TEST((decode(200, {{"Retry-After", "1.5"}}).pause == 0ms));
    BOOST_TEST(decode(200, {{"x-request-rate", "7.6"}}).requestRate == 7.6);
    BOOST_TEST(decode(200, {}).requestRate == UpstreamNotice::Unlimited);
}

// Guards against a crash or a wrong pause because of a value that is no number, negative or too large.
BOOST_FIXTURE_TEST_CASE(invalidNoticesAreIgnored, Fixture)
{
    for (const auto *value : {"", "-1", "soon", "1 2", "nan", "Fri, 04 Dec 2026 19:00:00 GMT"}) {
        BOOST_TEST((decode(503, {{"Retry-After", value}}).pause == 0ms));
        BOOST_TEST(decode(200, {{"X-Request-Rate", value}}).requestRate == UpstreamNotice::Unlimited);
    }
    BOOST_TEST((decode(503, {{"Retry-After", "1e300"}}).pause == 1h));
}
