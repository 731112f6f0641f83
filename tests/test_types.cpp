#include "laburnumspar/types.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

// Guards against host names that are accepted as endpoints: they would require a resolver.
BOOST_AUTO_TEST_CASE(endpointsAreIpAddresses)
{
    BOOST_TEST(toString(*parseEndpoint("127.0.0.1:80")) == "127.0.0.1:80");
    BOOST_TEST(toString(*parseEndpoint("[::1]:65535")) == "[::1]:65535");
    for (const auto *text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "1.2.3:4:5"}) {
        BOOST_TEST(!parseEndpoint(text).has_value(), text);
    }
}

// Guards against enumerations whose table of names is out of sync.
BOOST_AUTO_TEST_CASE(namesRoundTrip)
{
    BOOST_TEST(name(Reason::TableFull) == "table-full");
    BOOST_TEST(name(Reason::Leaving) == "leaving");
    BOOST_TEST(name(EvidenceKind::ProbeFailed) == "probe-failed");
    BOOST_CHECK(fromName<Outcome>("may-have-run") == Outcome::MayHaveRun);
    BOOST_CHECK(!fromName<Outcome>("maybe"));
    BOOST_TEST(name(static_cast<RequestClass>(9)) == "invalid");
}
