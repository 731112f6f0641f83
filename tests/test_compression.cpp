#include "gateway/compression.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

std::string makeText(int lines)
{
    std::string text;
    for (int n = 0; n < lines; ++n) {
        text += R"({"service":"orders","addr":"10.1.0.)" + std::to_string(n % 200) + R"(:8000","state":"ready"})";
    }
    return text;
}

} // namespace

// Guards against messages that change on the way, at sizes around the internal buffers.
BOOST_AUTO_TEST_CASE(messagesSurviveCompression)
{
    for (const int lines : {0, 1, 50, 70, 1000, 20000}) {
        const auto text = makeText(lines);
        BOOST_TEST(uncompress(compress(text), text.size() + 1) == text);
    }
}

// Guards against a state transfer that fills the links of small machines.
BOOST_AUTO_TEST_CASE(similarEntriesShrinkConsiderably)
{
    const auto text = makeText(800);
    BOOST_TEST(compress(text).size() < text.size() / 5);
}

// Guards against a crash or unlimited memory on damaged data.
BOOST_AUTO_TEST_CASE(invalidDataIsRejected)
{
    const auto bytes = compress(makeText(500));
    BOOST_CHECK_THROW(uncompress(bytes.substr(0, bytes.size() / 2), 1 << 20), DecodeError);
    BOOST_CHECK_THROW(uncompress("this is no compressed message", 1 << 20), DecodeError);
    BOOST_CHECK_THROW(uncompress("", 1 << 20), DecodeError);
    BOOST_CHECK_THROW(uncompress(compress(std::string(1 << 20, 'a')), 1 << 16), DecodeError);
}
