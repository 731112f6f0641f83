#include "gateway/groupmessages.h"

#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const std::vector<std::string> zones{"catania", "messina", "palermo"};

GroupBeat makeBeat()
{
    GroupBeat beat;
    beat.sender = {"10.1.0.7", "palermo", 42, InstanceRole::Active, 200, 17, 99, 1200, 300, 0xabcd};
    beat.answerWanted = true;
    HeardInstance heard;
    heard.status = {"10.2.0.1", "catania", 41, InstanceRole::Spare, 500};
    heard.age = Milliseconds(700);
    beat.heard.push_back(heard);
    beat.observations.push_back({"orders", {"i-1", 3, 1, Milliseconds(1500)}});
    return beat;
}

} // namespace

// Guards against fields that are lost or swapped on the way.
BOOST_AUTO_TEST_CASE(beatsSurviveTheWire)
{
    const auto bytes = encodeBeat(makeBeat(), zones);
    const auto beat = decodeBeat(bytes, zones);
    BOOST_TEST(beat.sender.ip == "10.1.0.7");
    BOOST_TEST(beat.sender.zone == "palermo");
    BOOST_TEST(beat.sender.storeRevision == 99U);
    BOOST_TEST(beat.sender.storeAgeMs == 1200U);
    BOOST_TEST(beat.sender.load == 17);
    BOOST_TEST(beat.sender.fleetStoreAgeMs == 300U);
    BOOST_TEST(beat.sender.storeDigest == 0xabcdU);
    BOOST_TEST(beat.answerWanted);
    BOOST_REQUIRE(beat.heard.size() == 1U);
    BOOST_TEST((beat.heard[0].status.role == InstanceRole::Spare));
    BOOST_TEST(beat.heard[0].age.count() == 700);
    BOOST_REQUIRE(beat.observations.size() == 1U);
    BOOST_TEST(beat.observations[0].counts.successes == 3U);
    BOOST_TEST(beat.observations[0].counts.failures == 1U);
    BOOST_TEST(beat.observations[0].counts.successAge.count() == 1500);
}

// Guards against datagrams that are fragmented: a full one fits the usual frame.
BOOST_AUTO_TEST_CASE(fullBeatFitsOneFrame)
{
    auto beat = makeBeat();
    beat.heard.resize(MaxHeardInstances + 20, beat.heard[0]);
    BOOST_TEST(encodeBeat(beat, zones).size() <= 1400U);
    BOOST_TEST(decodeBeat(encodeBeat(beat, zones), zones).heard.size() == MaxHeardInstances);
}

// Guards against a crash on foreign or cut bytes.
BOOST_AUTO_TEST_CASE(cutAndForeignBytesAreRefused)
{
    const auto bytes = encodeBeat(makeBeat(), zones);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_CHECK_THROW(decodeBeat({bytes.data(), n}, zones), DecodeError);
    }
    BOOST_CHECK_THROW(decodeBeat(encodeChanges({}), zones), DecodeError);
    BOOST_CHECK_THROW(decodeBeat(bytes, {"catania"}), DecodeError);
}

// Guards against removals that arrive as empty items.
BOOST_AUTO_TEST_CASE(changesSurviveTheWire)
{
    const MirrorChanges changes{17, {{"servers/a", std::string("\0x", 2), 16, false}, {"servers/b", "", 17, true}}};
    const auto decoded = decodeChanges(encodeChanges(changes));
    BOOST_TEST(decoded.revision == 17U);
    BOOST_REQUIRE(decoded.items.size() == 2U);
    BOOST_TEST(decoded.items[0].value == std::string("\0x", 2));
    BOOST_TEST(decoded.items[1].removed);
    const auto bytes = encodeChanges(changes);
    BOOST_CHECK_THROW(decodeChanges({bytes.data(), bytes.size() - 1}), DecodeError);
}
