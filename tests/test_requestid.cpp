#include "laburnumspar/requestid.h"

#include "laburnumspar/messages.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace laburnumspar;

namespace {

// Every run checks the same cases unless RC_PARAMS names another seed.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=1 max_success=1000", 0);

const RequestId sample{{"10.0.0.1", 7000}, 1700000000123, requestSequence(77, 5)};

} // namespace

// Guards against identifiers that change when a caller sends them back, or that a header cannot carry.
BOOST_AUTO_TEST_CASE(anyIdentifierRoundTrips)
{
    BOOST_TEST(toString(sample).size() == 36U);
    const bool holds = rc::check("identifiers round trip", [](std::uint32_t ip, std::uint16_t port, bool v6) {
        const auto last = std::to_string(ip % 250 + 1);
        const auto incarnation = *rc::gen::arbitrary<std::uint64_t>();
        const auto sequence = *rc::gen::arbitrary<std::uint64_t>();
        const RequestId id{{v6 ? "fe80::" + last : "192.168.1." + last, port}, incarnation, sequence};
        const auto text = toString(id);
        RC_ASSERT(text.find_first_of(" \t\r\n,;:=\"") == std::string::npos);
        RC_ASSERT(parseRequestId(text) == id);
    });
    BOOST_TEST(holds);
}

// Guards against a corrupted identifier that is accepted as another one.
BOOST_AUTO_TEST_CASE(anyChangedCharacterIsRejected)
{
    const auto text = toString(sample);
    for (std::size_t n = 0; n < text.size(); ++n) {
        for (const char c : {'A', 'z', '0', '+', '=', ' ', '\n', '\0', '-'}) {
            auto changed = text;
            changed[n] = c;
            BOOST_TEST(parseRequestId(changed).has_value() == (changed == text));
        }
        BOOST_TEST(!parseRequestId(text.substr(0, n)).has_value());
    }
    BOOST_TEST(!parseRequestId(text + "AAAA").has_value());
    BOOST_TEST(!parseRequestId(std::string(52, 'A')).has_value());
}

// Guards against identifiers whose owner cannot be contacted.
BOOST_AUTO_TEST_CASE(ownerMustBeAnAddress)
{
    BOOST_CHECK_THROW(toString(RequestId{{"host.example", 1}, 1, 1}), EncodeError);
    BOOST_CHECK_THROW(toString(RequestId{}), EncodeError);
}
