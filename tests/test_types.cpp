#include "laburnumspar/types.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;

// Guards against host names slipping in where only IP addresses may stand: a name would need a resolver.
BOOST_AUTO_TEST_CASE(endpointsAreIpAddresses)
{
    BOOST_TEST(toString(*parseEndpoint("127.0.0.1:80")) == "127.0.0.1:80");
    BOOST_TEST(toString(*parseEndpoint("[::1]:65535")) == "[::1]:65535");
    for (const auto *text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", "1.2.3:4:5"}) {
        BOOST_TEST(!parseEndpoint(text).has_value(), text);
    }
}

// Guards against an enumeration that grows without its table of names.
BOOST_AUTO_TEST_CASE(namesRoundTrip)
{
    BOOST_TEST(name(Reason::TableFull) == "table-full");
    BOOST_TEST(name(Reason::Leaving) == "leaving");
    BOOST_TEST(name(EvidenceKind::ProbeFailed) == "probe-failed");
    BOOST_CHECK(fromName<Outcome>("may-have-run") == Outcome::MayHaveRun);
    BOOST_CHECK(!fromName<Outcome>("maybe"));
    BOOST_TEST(name(static_cast<WorkClass>(9)) == "invalid");
}
