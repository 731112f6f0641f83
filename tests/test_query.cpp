#include "lspar-upstream/query.h"

#include "detail/bodydigest.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar::tools;

// Guards against a match inside the name or value of another parameter.
BOOST_AUTO_TEST_CASE(parametersMatchByFullName)
{
    const auto *target = "/pay?xrun_ms=1&note=run_ms&run_ms=25.5&empty=";
    BOOST_TEST(targetPath(target) == "/pay");
    BOOST_TEST(*queryValue(target, "run_ms") == "25.5");
    BOOST_TEST(*queryValue(target, "empty") == "");
    BOOST_TEST(!queryValue(target, "ms").has_value());
    BOOST_TEST(!queryValue("/run_ms=1", "run_ms").has_value());
}

// Guards against a malformed number that is used as a duration.
BOOST_AUTO_TEST_CASE(malformedNumbersYieldTheFallback)
{
    BOOST_TEST(queryNumber("/?n=25.5", "n", 7) == 25.5);
    for (const auto *target : {"/", "/?n=", "/?n=5x", "/?n=inf", "/?n=nan"}) {
        BOOST_TEST(queryNumber(target, "n", 7) == 7, target);
    }
}

// The fleet expects XXH64 with seed 0 as 16 hexadecimal digits; another seed or digit order fails every digest check.
BOOST_AUTO_TEST_CASE(digestIsXxHash64)
{
    BOOST_TEST(laburnumspar::detail::bodyDigest("") == "ef46db3751d8e999");
    BOOST_TEST(laburnumspar::detail::bodyDigest("hello") == "26c7827d889f6da3");
}
