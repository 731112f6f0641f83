#include "gateway/groupmessages.h"
#include "lspar-soak/faultproxy.h"
#include "lspar-soak/simulatedstore.h"
#include "storefleet.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

std::string makeEntry(const std::string &address, const std::string &more = {})
{
    return R"({"service":"s1","addr":")" + address
        + R"(","zone":"palermo","version":"v1","slots":6,"state":"ready","warmup_left_s":0,"seq":4,"born":1000)"
        + (more.empty() ? "" : ',' + more) + '}';
}

std::string makeNested(unsigned depth)
{
    return makeEntry("10.0.0.9:80", R"("more":)" + std::string(depth, '[') + std::string(depth, ']'));
}

/// Entries that name no usable upstream.
std::vector<std::string> oddValues()
{
    return {"",
            "null",
            "[]",
            "\xff\xfe",
            std::string("{\0}", 3),
            std::string(100'000, '{'),
            std::string(100'000, '['),
            makeNested(100),
            makeNested(100'000),
            makeEntry("10.0.0.9:80", R"("slots":1e400)"),
            makeEntry("10.0.0.9:80", R"("slots":123456789012345678901234567890)"),
            makeEntry("10.0.0.9:80", R"("slots":-1)"),
            makeEntry("10.0.0.9:80", R"("slots":"6")"),
            makeEntry("10.0.0.9:80", R"("warmup_left_s":1e300)"),
            makeEntry("10.0.0.9:80", R"("warmup_left_s":-1)"),
            makeEntry("10.0.0.9:80", R"("born":1e18)"),
            makeEntry("10.0.0.9:80", R"("born":-5)"),
            makeEntry("10.0.0.9:80", R"("born":[1])"),
            makeEntry("10.0.0.9:65536"),
            makeEntry("10.0.0.9:99999999999999999999"),
            makeEntry("10.0.0.9:-1"),
            makeEntry("10.0.0.9:0"),
            makeEntry("10.0.0.9:"),
            makeEntry("10.0.0.9"),
            makeEntry("10.0.0.900:80"),
            makeEntry("host:80"),
            makeEntry(""),
            makeEntry("10.0.0.9:80", R"("state":"sleeping")"),
            makeEntry("10.0.0.9:80", R"("state":7)"),
            makeEntry("10.0.0.9:80", R"("service":null)"),
            makeEntry("10.0.0.9:80", R"("zone":{})")};
}

/// Keys of entries whose identity cannot be sent to an upstream.
const std::vector<std::string> oddKeys{"servers/",
                                       "servers/i\r\nX-Smuggled: 1",
                                       "servers/i\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
                                       "servers/a b",
                                       std::string("servers/a\0b", 11),
                                       "servers/\xc3\xa9",
                                       "servers/" + std::string(300, 'k')};

const std::string config
    = R"({"version":"r1","routes":{"columns":["name","host","prefix","kind","service"],"rows":[["look","a.example","/",
    "safe","s1"]]},"services":{"columns":["name"],"rows":[["s1"]]}})";

/// Two instances that follow a store with usable and odd entries.
struct Fixture {
    Fixture()
    {
        store.put("op/config", config);
        store.put("servers/a-first", makeEntry("10.0.0.1:80"));
    }

    void putOddEntries()
    {
        unsigned n = 0;
        for (const auto &it : oddValues()) {
            store.put("servers/odd-" + std::to_string(n++), it);
        }
        for (const auto &it : oddKeys) {
            store.put(it, makeEntry("10.0.0.9:80"));
        }
    }

    void expectKnown(std::vector<std::string> ids)
    {
        std::sort(ids.begin(), ids.end());
        BOOST_TEST(fleet.runUntilAll([&](auto &it) { return it.upstreamIds() == ids; }));
        for (unsigned n = 0; n < 2; ++n) {
            BOOST_TEST(fleet[n].upstreamIds() == ids, boost::test_tools::per_element());
        }
    }

    StoreFleet fleet{2};
    soak::SimulatedStore &store = fleet.store();
};

} // namespace

// Guards against an odd entry of another writer that ends the instances which list it, or stops them from following the
// store.
BOOST_FIXTURE_TEST_CASE(oddEntriesDoNotStopTheList, Fixture)
{
    putOddEntries();
    store.put("servers/z-last", makeEntry("10.0.0.2:80"));
    expectKnown({"a-first", "z-last"});
    store.put("servers/later", makeEntry("10.0.0.3:80"));
    expectKnown({"a-first", "later", "z-last"});
}

// Guards against the same among the changes that are watched or pulled.
BOOST_FIXTURE_TEST_CASE(oddEntriesDoNotStopTheChanges, Fixture)
{
    expectKnown({"a-first"});
    putOddEntries();
    store.put("servers/z-last", makeEntry("10.0.0.2:80"));
    expectKnown({"a-first", "z-last"});
    // An entry that becomes odd names no upstream any more, and may become usable again.
    store.put("servers/a-first", makeNested(100));
    expectKnown({"z-last"});
    store.put("servers/a-first", makeEntry("10.0.0.1:80"));
    expectKnown({"a-first", "z-last"});
    store.discardHistory();
    store.put("servers/later", makeEntry("10.0.0.3:80"));
    expectKnown({"a-first", "later", "z-last"});
}

// Guards against a key that messages between instances cannot carry: every answer to a pull failed with it, and so did
// each message with an observation of its upstream.
BOOST_AUTO_TEST_CASE(longKeysNameNoUpstream)
{
    const auto adapter = platform::makeAdapter();
    detail::ServiceRegistry registry("palermo", {}, 1);
    detail::StoreCopy copy(adapter, registry);
    const std::string prefix = adapter.upstreamPrefix;
    for (const auto length : {255U, 256U, 5000U}) {
        const auto key = prefix + std::string(length - prefix.size(), 'k');
        copy.applyChanges({{{key, makeEntry("10.0.0.1:80"), {0, length}}}, false, {0, length}}, {}, Clock::now());
        BOOST_TEST(adapter.upstreamIdFromKey(key).empty() == (length > 255));
    }
    BOOST_TEST(registry.upstreams().records().size() == 1U);
    BOOST_TEST(detail::decodeChanges(detail::encodeChanges(copy.changesAfter({}))).items.size() == 1U);
}

// Guards against a value that is no base64, which makes the whole page unreadable.
BOOST_AUTO_TEST_CASE(unreadableValuesDoNotSpoilThePage)
{
    const auto adapter = platform::makeAdapter();
    const auto page = adapter.decodePage(
        R"({"items":[{"key":"servers/a","value":"!!","rev":4},{"key":"servers/b","value":7,"rev":5},
        {"key":"servers/c","value":"e30=","rev":6,"created_rev":"x"}],"as_of":9})",
        1);
    BOOST_REQUIRE(page.items.size() == 3U);
    BOOST_CHECK_THROW(adapter.decodeItem(page.items[0]), DecodeError);
    BOOST_CHECK_THROW(adapter.decodeItem(page.items[1]), DecodeError);
    BOOST_TEST(page.items[2].value.str() == "{}");
}

// Guards against keys that break the target of the next page, so that the list never ends.
BOOST_AUTO_TEST_CASE(keysAreEscapedInTargets)
{
    const auto adapter = platform::makeAdapter();
    BOOST_TEST(adapter.listTarget("servers/", "servers/i-7f3a91c2")
               == "/-/kv-range?prefix=servers/&after=servers/i-7f3a91c2");
    BOOST_TEST(adapter.listTarget("servers/", "servers/a b&c=%\r\n#")
               == "/-/kv-range?prefix=servers/&after=servers/a%20b%26c%3D%25%0D%0A%23");
}
