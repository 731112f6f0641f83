#include "gateway/groupmessages.h"

#include "gateway/compression.h"
#include "gateway/groupfields.h"
#include "laburnumspar/errors.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <variant>

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const std::vector<std::string> zones{"catania", "messina", "palermo"};

GroupHeartbeat makeHeartbeat()
{
    GroupHeartbeat heartbeat;
    heartbeat.sender = {"10.1.0.7", "palermo", 42, InstanceRole::Active, 200, 17, 321, {2, 99}, 1200, 300, 0xabcd};
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
    heartbeat.quotas.push_back({0x0102030405060708, 12.5, 3});
    return heartbeat;
}

using WireValue = std::variant<std::uint64_t, std::string>;

/// A field of a message with its value, which may break the rule.
struct WireField {
    WireRule rule;
    WireValue value;
};

/// Writes messages without the code under test: a byte for the order of the bytes, the magic number, then the fields.
struct Message {
    std::uint32_t magic = 0;
    std::vector<WireField> fields;
    std::function<void(const Bytes &)> decode;

    void add(const WireRule &rule, WireValue value)
    {
        fields.push_back({rule, std::move(value)});
    }

    template <std::size_t Count>
    void add(const std::array<WireRule, Count> &rules, const std::vector<WireValue> &values)
    {
        BOOST_REQUIRE(values.size() == Count);
        for (std::size_t n = 0; n < Count; ++n) {
            add(rules[n], values[n]);
        }
    }

    /// Writes the first `count` fields.
    Bytes write(std::size_t count) const
    {
        Bytes bytes{1};
        append(bytes, magic, 4);
        for (std::size_t n = 0; n < count; ++n) {
            const auto &[rule, value] = fields[n];
            const auto *text = std::get_if<std::string>(&value);
            append(bytes, text != nullptr ? text->size() : std::get<std::uint64_t>(value), width(rule));
            if (text != nullptr) {
                bytes.insert(bytes.end(), text->begin(), text->end());
            }
        }
        return bytes;
    }

    /// Returns the message of the error with which these bytes are rejected; empty if they are accepted.
    std::string rejection(const Bytes &bytes) const
    {
        try {
            decode(bytes);
        } catch (const DecodeError &e) {
            return e.what();
        }
        return {};
    }

    /// Bytes of the number, or of the length of the text.
    static unsigned width(const WireRule &rule)
    {
        const unsigned forLength = rule.max <= 0xff ? 1 : rule.max <= 0xffff ? 2 : 4;
        return rule.type == WireType::Text ? forLength : 1U << unsigned(rule.type);
    }

    static void append(Bytes &bytes, std::uint64_t number, unsigned width)
    {
        for (unsigned n = 0; n < width; ++n) {
            bytes.push_back(std::uint8_t(number >> (8 * n)));
        }
    }
};

/// The heartbeat of makeHeartbeat().
Message heartbeatMessage()
{
    Message message{0x4c424736, {}, [](const Bytes &bytes) { decodeHeartbeat(bytes, zones); }};
    message.add(wire::instance::All, {0x0a010007U, 2U, 42U, 2U, 200U});
    message.add(wire::sender::All, {17U, 321U, 2U, 99U, 1200U, 300U, 0xabcdU, 1U});
    message.add(wire::known::Count, 1U);
    message.add(wire::instance::All, {0x0a020001U, 0U, 41U, 1U, 500U});
    message.add(wire::known::Age, 700U);
    message.add(wire::observation::Count, 3U);
    message.add(wire::observation::All, {"orders", "i-1", 3U, 1U, 1500U, 7U});
    message.add(wire::observation::Rate, 7500U);
    message.add(wire::observation::All, {"orders", "i-2", 1U, 0U, 0U, 2U});
    message.add(wire::observation::All, {"orders", "i-3", 1U, 0U, 0U, 0U});
    message.add(wire::suspect::Count, 2U);
    message.add(wire::suspect::All, {0x1122334455667788U, 40U, 1U});
    message.add(wire::crash::All, {0x99aabbccddeeff00U, 30U, 1U});
    message.add(wire::suspect::All, {5U, 0xffffU, 2U});
    message.add(wire::crash::All, {6U, 31'000U, 0U});
    message.add(wire::crash::All, {7U, 20U, 0U});
    message.add(wire::quota::Count, 1U);
    message.add(wire::quota::All, {0x0102030405060708U, 12'500U, 3U});
    return message;
}

Message changesMessage()
{
    Message message{0x4c424d34, {}, [](const Bytes &bytes) { decodeChanges(bytes); }};
    message.add(wire::changes::All, {2U, 17U, 1U, "r", 2U, 16U, 1U, 2U});
    message.add(wire::item::All, {"servers/a", 0U, "x", 1U, 16U, 0U, 1U, 1U, 1U, 1U, 12U});
    message.add(wire::item::All, {"servers/b", 0U, "", 2U, 17U, 1U, 0U, 0U, 0U, 0U, 0U});
    return message;
}

/// Values next to the bounds of the rule that break it, as far as the field can hold them.
std::vector<WireValue> wrongValues(const WireRule &rule)
{
    std::vector<std::uint64_t> numbers;
    if (rule.min > 0) {
        numbers.push_back(rule.min - 1);
    }
    const auto bits = 8 * Message::width(rule);
    if (bits < 64 && rule.max < (std::uint64_t(1) << bits) - 1) {
        numbers.push_back(rule.max + 1);
    }
    if (bits == 64 && rule.max < wire::MaxUint64) {
        numbers.push_back(rule.max + 1);
        numbers.push_back(wire::MaxUint64);
    }
    if (rule.name == wire::instance::Zone.name) {
        numbers.push_back(zones.size());
    }
    if (rule.name == wire::observation::Notice.name) {
        numbers.insert(numbers.end(), {4U, 5U}); // a limited rate that is not known
    }
    std::vector<WireValue> values;
    for (const auto number : numbers) {
        values.push_back(rule.type == WireType::Text ? WireValue(std::string(number, 'x')) : WireValue(number));
    }
    return values;
}

} // namespace

// Guards against fields of messages between instances that are used although they are out of range, or rejected
// without their name: each field of a heartbeat and of changes is left out, cut, and set to each value next to the
// bounds of its rule.
BOOST_AUTO_TEST_CASE(fieldsKeepTheirRules)
{
    for (const auto &message : {heartbeatMessage(), changesMessage()}) {
        const auto &fields = message.fields;
        BOOST_TEST(message.rejection(message.write(fields.size())) == "");
        for (std::size_t n = 0; n < fields.size(); ++n) {
            const auto &rule = fields[n].rule;
            const auto names = [&rule](const std::string &error) {
                return error.find('"' + std::string(rule.name) + '"') != std::string::npos;
            };
            BOOST_TEST_INFO(n << ": " << rule.name << " missing");
            BOOST_TEST(!message.rejection(message.write(n)).empty());
            auto cut = message.write(n + 1);
            cut.pop_back();
            BOOST_TEST_INFO(n << ": " << rule.name << " cut");
            BOOST_TEST(names(message.rejection(cut)));
            for (const auto &value : wrongValues(rule)) {
                auto wrong = message;
                wrong.fields[n].value = value;
                BOOST_TEST_INFO(n << ": " << rule.name << " out of range");
                BOOST_TEST(names(wrong.rejection(wrong.write(fields.size()))));
            }
        }
    }
}

// Guards against another layout of the messages, which instances of other versions could not read.
BOOST_AUTO_TEST_CASE(layoutsAreKept)
{
    const auto heartbeat = heartbeatMessage();
    BOOST_TEST(encodeHeartbeat(makeHeartbeat(), zones) == heartbeat.write(heartbeat.fields.size()),
               boost::test_tools::per_element());
    MirrorChanges changes{{2, 17}, {}, true, "r", {2, 16}};
    changes.items.push_back({"servers/a", "x", {1, 16}});
    changes.items.push_back({"servers/b", "", {2, 17}, true});
    changes.afterLoss = true;
    changes.items[0].lapsed = changes.items[0].listed = changes.items[0].postponed = true;
    changes.items[0].knownBefore = {1, 12};
    const auto message = changesMessage();
    BOOST_TEST(encodeChanges(changes) == message.write(message.fields.size()), boost::test_tools::per_element());
}

// Guards against messages that the receivers reject as a whole, because one of their fields is out of range.
BOOST_AUTO_TEST_CASE(encodedFieldsKeepTheirRules)
{
    const std::vector<std::function<void(InstanceStatus &)>> changes{
        [](InstanceStatus &it) { it.ip = "0.0.0.0"; },
        [](InstanceStatus &it) { it.ip = "fd00::1"; },
        [](InstanceStatus &it) { it.zone = "elsewhere"; },
        [](InstanceStatus &it) { it.incarnation = 0; },
        [](InstanceStatus &it) { it.capacity = 0; },
        [](InstanceStatus &it) { it.load = 65'535; },
        [](InstanceStatus &it) { it.storeRevision.number = wire::MaxUint64; }};
    for (const auto &change : changes) {
        auto heartbeat = makeHeartbeat();
        change(heartbeat.sender);
        BOOST_CHECK_THROW(encodeHeartbeat(heartbeat, zones), EncodeError);
    }
    BOOST_CHECK_THROW(encodeChanges({{2, 17}, {{"", "", {1, 16}}}}), EncodeError);
    auto heartbeat = makeHeartbeat();
    heartbeat.observations[0].service = std::string(300, 'x');
    heartbeat.observations[1].counts.id = std::string(300, 'x');
    const auto decoded = decodeHeartbeat(encodeHeartbeat(heartbeat, zones), zones);
    BOOST_REQUIRE(decoded.observations.size() == 1U);
    BOOST_TEST(decoded.observations[0].counts.id == "i-3");
}

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
    BOOST_TEST(heartbeat.sender.requestRate == 321);
    BOOST_REQUIRE(heartbeat.quotas.size() == 1U);
    BOOST_TEST(heartbeat.quotas[0].organisation == 0x0102030405060708U);
    BOOST_TEST(heartbeat.quotas[0].demand == 12.5);
    BOOST_TEST(heartbeat.quotas[0].drawn == 3U);
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
    BOOST_TEST(decoded.items[0].value.str() == std::string("\0x", 2));
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
    BOOST_TEST(decoded.items[0].value.str() == value);
    BOOST_REQUIRE(decoded.items[0].compressed != nullptr);
    BOOST_TEST(*decoded.items[0].compressed == *changes.items[0].compressed);
    changes.items[0].compressed = std::make_shared<const std::string>("invalid");
    BOOST_CHECK_THROW(decodeChanges(encodeChanges(changes)), DecodeError);
}
