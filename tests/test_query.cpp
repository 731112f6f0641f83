#include "lspar-upstream/query.h"

#include "detail/bodydigest.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar::tools;

// Guards against a parameter found inside of another one's name or value.
BOOST_AUTO_TEST_CASE(parametersAreFoundByWholeName)
{
    const auto *target = "/pay?xrun_ms=1&note=run_ms&run_ms=25.5&empty=";
    BOOST_TEST(targetPath(target) == "/pay");
    BOOST_TEST(*queryValue(target, "run_ms") == "25.5");
    BOOST_TEST(*queryValue(target, "empty") == "");
    BOOST_TEST(!queryValue(target, "ms").has_value());
    BOOST_TEST(!queryValue("/run_ms=1", "run_ms").has_value());
}

// Guards against a malformed number that is taken for a duration.
BOOST_AUTO_TEST_CASE(malformedNumbersFallBack)
{
    BOOST_TEST(queryNumber("/?n=25.5", "n", 7) == 25.5);
    for (const auto *target : {"/", "/?n=", "/?n=5x", "/?n=inf", "/?n=nan"}) {
        BOOST_TEST(queryNumber(target, "n", 7) == 7, target);
    }
}

// Guards against another seed or digit order than the fleet expects (seed 0, 16 hexadecimal digits).
BOOST_AUTO_TEST_CASE(digestIsXxHash64)
{
    BOOST_TEST(laburnumspar::detail::bodyDigest("") == "ef46db3751d8e999");
    BOOST_TEST(laburnumspar::detail::bodyDigest("hello") == "26c7827d889f6da3");
}
