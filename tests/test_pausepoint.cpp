#include "detail/pausepoint.h"
#include "gateway/backgroundworker.h"
#include "gateway/compression.h"
#include "platform/adapter.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

constexpr unsigned Routes = 14'000;

std::string makeVersion()
{
    std::string text = R"({"version":"r7","services":{"columns":["name"],"rows":[["s1"]]},"routes":{"columns":)"
                       R"(["name","host","prefix","kind","service"],"rows":[)";
    for (unsigned n = 0; n < Routes; ++n) {
        text += (n > 0 ? "," : "") + std::string(R"(["added","host.example","/added)") + std::to_string(n)
            + R"(/","safe","s1"])";
    }
    return text + "]}}";
}

std::string encodeBase64(const std::string &text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string encoded(base64::encoded_size(text.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

/// Returns how often a calculation reaches a pause point.
template <typename Function>
unsigned countPauses(Function &&calculate)
{
    unsigned pauses = 0;
    const PauseHandler handler([&pauses] { ++pauses; });
    calculate();
    return pauses;
}

} // namespace

// Guards against a calculation that keeps the processor from the thread that accepts connections: without pauses, the
// ticks of an instance of 0.1 cores were 137 ms late.
BOOST_AUTO_TEST_CASE(largeVersionsAreDecodedWithPauses)
{
    const auto adapter = platform::makeAdapter();
    const StoreItem item{adapter.routesPrefix, makeVersion(), {1, 1}, false};
    std::optional<DecodedStoreItem> decoded;
    const auto pauses = countPauses([&] { decoded = adapter.decodeItem(item); });
    BOOST_TEST(pauses >= item.value.size() / (32 << 10) + Routes / 64 + Routes / 128);
    const auto table = std::get<std::shared_ptr<const RouteTable>>(*decoded);
    BOOST_TEST(table->routes().size() == Routes);
    BOOST_TEST(table->match("host.example", "/added13999/x") != nullptr);
}

// Guards against a value that is decoded differently in parts, and against a page that is decoded without pauses.
BOOST_AUTO_TEST_CASE(largePagesAreDecodedWithPauses)
{
    const auto adapter = platform::makeAdapter();
    for (const std::size_t size : {0U, 1U, 2U, 3U, 24'575U, 24'576U, 24'577U, 500'000U}) {
        std::string text(size, 'x');
        for (std::size_t n = 0; n < size; ++n) {
            text[n] = char(n * 7 % 251);
        }
        const auto body = R"({"items":[{"key":"op/config","rev":5,"created_rev":1,"value":")" + encodeBase64(text)
            + R"("}],"truncated":false,"as_of":5})";
        PlatformAdapter::Page page;
        const auto pauses = countPauses([&] { page = adapter.decodePage(body, 1); });
        BOOST_REQUIRE(page.items.size() == 1U);
        BOOST_TEST((page.items[0].value.str() == text));
        BOOST_TEST(pauses >= 2 * body.size() / (32 << 10));
    }
}

// Guards against compressed values that depend on the parts in which they were compressed, and against pauses that are
// missing there.
BOOST_AUTO_TEST_CASE(largeValuesAreCompressedWithPauses)
{
    const auto text = makeVersion();
    std::string compressed;
    std::string uncompressed;
    BOOST_TEST(countPauses([&] { compressed = compress(text); }) >= text.size() / (64 << 10));
    BOOST_TEST(countPauses([&] { uncompressed = uncompress(compressed, text.size()); }) >= text.size() / (64 << 10));
    BOOST_TEST((uncompressed == text));
    BOOST_TEST(compressed.size() < text.size() / 8);
}

// Guards against pauses of the I/O thread, which has to answer meanwhile.
BOOST_AUTO_TEST_CASE(handlersEndWithTheirScope)
{
    unsigned outer = 0;
    unsigned inner = 0;
    pausePoint();
    {
        const PauseHandler first([&outer] { ++outer; });
        {
            const PauseHandler second([&inner] { ++inner; });
            pausePoint();
        }
        pausePoint();
    }
    pausePoint();
    BOOST_TEST(outer == 1U);
    BOOST_TEST(inner == 1U);
}
