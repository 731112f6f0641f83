#include "gateway/groupmessages.h"

#include "gateway/compression.h"
#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const std::vector<std::string> zones{"catania", "messina", "palermo"};

GroupHeartbeat makeHeartbeat()
{
    GroupHeartbeat heartbeat;
    heartbeat.sender = {"10.1.0.7", "palermo", 42, InstanceRole::Active, 200, 17, {2, 99}, 1200, 300, 0xabcd};
    heartbeat.replyRequested = true;
    KnownInstance known;
    known.status = {"10.2.0.1", "catania", 41, InstanceRole::Spare, 500};
    known.age = Milliseconds(700);
    heartbeat.knownInstances.push_back(known);
    heartbeat.observations.push_back({"orders", {"i-1", 3, 1, Milliseconds(1500), true, 7.5}});
    heartbeat.observations.push_back({"orders", {"i-2", 1, 0, Milliseconds(0), false, UpstreamNotice::Unlimited}});
    heartbeat.observations.push_back({"orders", {"i-3", 1, 0, Milliseconds(0)}});
    heartbeat.suspects.push_back(
        {0x1122334455667788, Milliseconds(40), {{0x99aabbccddeeff00, Milliseconds(30), true}}});
    heartbeat.suspects.push_back({5, std::nullopt, {{6, Milliseconds(31'000), false}, {7, Milliseconds(20), false}}});
    return heartbeat;
}

} // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
BOOST_AUTO_TEST_CASE(heartbeatsSurviveEncoding)
{
    const auto bytes = encodeHeartbeat(makeHeartbeat(), zones);
    const auto heartbeat = decodeHeartbeat(bytes, zones);
    BOOST_TEST(heartbeat.sender.ip == "10.1.0.7");
    BOOST_TEST(heartbeat.sender.zone == "palermo");
    BOOST_TEST((heartbeat.sender.storeRevision == Revision(2, 99)));
    BOOST_TEST(heartbeat.sender.storeAgeMs == 1200U);
    BOOST_TEST(heartbeat.sender.load == 17);
    BOOST_TEST(heartbeat.sender.fleetStoreAgeMs == 300U);
    BOOST_TEST(heartbeat.sender.storeDigest == 0xabcdU);
    BOOST_TEST(heartbeat.replyRequested);
    BOOST_REQUIRE(heartbeat.knownInstances.size() == 1U);
    BOOST_TEST((heartbeat.knownInstances[0].status.role == InstanceRole::Spare));
    BOOST_TEST(heartbeat.knownInstances[0].age.count() == 700);
    BOOST_REQUIRE(heartbeat.observations.size() == 3U);
    BOOST_TEST(heartbeat.observations[0].counts.successes == 3U);
    BOOST_TEST(heartbeat.observations[0].counts.failures == 1U);
    BOOST_TEST(heartbeat.observations[0].counts.successAge.count() == 1500);
    BOOST_TEST(heartbeat.observations[0].counts.leaving);
    BOOST_TEST(heartbeat.observations[0].counts.requestRate.value() == 7.5);
    BOOST_TEST(!heartbeat.observations[1].counts.leaving);
    BOOST_TEST(heartbeat.observations[1].counts.requestRate.value() == UpstreamNotice::Unlimited);
    BOOST_TEST(!heartbeat.observations[2].counts.requestRate.has_value());
    BOOST_REQUIRE(heartbeat.suspects.size() == 2U);
    BOOST_TEST(heartbeat.suspects[0].request == 0x1122334455667788U);
    BOOST_TEST(heartbeat.suspects[0].answerAge.value().count() == 40);
    BOOST_REQUIRE(heartbeat.suspects[0].crashes.size() == 1U);
    BOOST_TEST(heartbeat.suspects[0].crashes[0].process == 0x99aabbccddeeff00U);
    BOOST_TEST(heartbeat.suspects[0].crashes[0].refuted);
    BOOST_TEST(!heartbeat.suspects[1].answerAge.has_value());
    BOOST_REQUIRE(heartbeat.suspects[1].crashes.size() == 2U);
    BOOST_TEST(heartbeat.suspects[1].crashes[0].age.count() == 31'000);
    BOOST_TEST(!heartbeat.suspects[1].crashes[1].refuted);
}

// Guards against datagrams that are fragmented because they exceed the usual Ethernet frame.
BOOST_AUTO_TEST_CASE(fullHeartbeatFitsOneFrame)
{
    auto heartbeat = makeHeartbeat();
    heartbeat.knownInstances.resize(MaxKnownInstances + 20, heartbeat.knownInstances[0]);
    BOOST_TEST(encodeHeartbeat(heartbeat, zones).size() <= 1400U);
    BOOST_TEST(decodeHeartbeat(encodeHeartbeat(heartbeat, zones), zones).knownInstances.size() == MaxKnownInstances);
}

// Guards against a crash on truncated messages, other message types and unknown zones.
BOOST_AUTO_TEST_CASE(invalidMessagesAreRejected)
{
    const auto bytes = encodeHeartbeat(makeHeartbeat(), zones);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_CHECK_THROW(decodeHeartbeat({bytes.data(), n}, zones), DecodeError);
    }
    BOOST_CHECK_THROW(decodeHeartbeat(encodeChanges({}), zones), DecodeError);
    BOOST_CHECK_THROW(decodeHeartbeat(bytes, {"catania"}), DecodeError);
}

// Guards against removals that are decoded as empty items.
BOOST_AUTO_TEST_CASE(changesSurviveEncoding)
{
    const MirrorChanges changes{
        {2, 17}, {{"servers/a", std::string("\0x", 2), {1, 16}, false}, {"servers/b", "", {2, 17}, true}}};
    const auto decoded = decodeChanges(encodeChanges(changes));
    BOOST_TEST((decoded.revision == Revision(2, 17)));
    BOOST_REQUIRE(decoded.items.size() == 2U);
    BOOST_TEST(decoded.items[0].value == std::string("\0x", 2));
    BOOST_TEST((decoded.items[0].revision == Revision(1, 16)));
    BOOST_TEST((decoded.items[1].revision == Revision(2, 17)));
    BOOST_TEST(decoded.items[1].removed);
    const auto bytes = encodeChanges(changes);
    BOOST_CHECK_THROW(decodeChanges({bytes.data(), bytes.size() - 1}), DecodeError);
}

// Guards against a departure that is known to the sender only.
BOOST_AUTO_TEST_CASE(postponedItemsSurviveEncoding)
{
    MirrorChanges changes{{2, 17}, {{"servers/a", "x", {2, 16}, false}, {"servers/b", "y", {2, 17}, false}}};
    changes.afterLoss = true;
    changes.items[1].listed = true;
    changes.items[1].postponed = true;
    changes.items[1].knownBefore = {1, 9};
    const auto decoded = decodeChanges(encodeChanges(changes));
    BOOST_TEST(decoded.afterLoss);
    BOOST_REQUIRE(decoded.items.size() == 2U);
    BOOST_TEST(!decoded.items[0].postponed);
    BOOST_TEST(decoded.items[1].listed);
    BOOST_TEST(decoded.items[1].postponed);
    BOOST_TEST((decoded.items[1].knownBefore == Revision(1, 9)));
    BOOST_TEST(!decodeChanges(encodeChanges({})).afterLoss);
}

// Guards against compressing a large value again on each instance that passes it on.
BOOST_AUTO_TEST_CASE(compressedValuesArePassedOn)
{
    const std::string value(100'000, 'x');
    MirrorChanges changes{{2, 17}, {{"routes", value, {2, 16}, false}}};
    changes.items[0].compressed = std::make_shared<const std::string>(compress(value));
    const auto bytes = encodeChanges(changes);
    BOOST_TEST(bytes.size() < value.size() / 10);
    const auto decoded = decodeChanges(bytes);
    BOOST_REQUIRE(decoded.items.size() == 1U);
    BOOST_TEST(decoded.items[0].value == value);
    BOOST_REQUIRE(decoded.items[0].compressed != nullptr);
    BOOST_TEST(*decoded.items[0].compressed == *changes.items[0].compressed);
    changes.items[0].compressed = std::make_shared<const std::string>("invalid");
    BOOST_CHECK_THROW(decodeChanges(encodeChanges(changes)), DecodeError);
}
