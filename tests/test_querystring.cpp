#include "net/querystring.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar::detail;

// Guards against a parameter that is found inside the name or the value of another one, or that takes the ones after it
// for its value.
BOOST_AUTO_TEST_CASE(parametersAreFoundByTheirWholeName)
{
    const auto query = parseQuery("/check?xpath=a&note=path=b&path=/teams/t/services/s&service=x");
    BOOST_TEST(queryValue(query, "path") == "/teams/t/services/s");
    BOOST_TEST(queryValue(query, "note") == "path=b");
    BOOST_TEST(queryValue(query, "service") == "x");
    BOOST_TEST(query.size() == 4U);
}

// Guards against targets without a complete query that are read beyond their end.
BOOST_AUTO_TEST_CASE(targetsWithoutParametersHaveNone)
{
    for (const auto *target : {"", "/", "/path=a", "/a?", "/a?path", "/a?&&"}) {
        BOOST_TEST(parseQuery(target).empty());
    }
    BOOST_TEST(queryValue(parseQuery("/a?path="), "path").empty());
    BOOST_TEST(queryValue(parseQuery("/a?n=1&n=2"), "n") == "1");
}
