#include "fuzz.h"

#include "gateway/groupmessages.h"
#include "laburnumspar/messages.h"

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const std::vector<std::string> zones{"catania", "palermo"};

GroupHeartbeat sampleHeartbeat()
{
    GroupHeartbeat heartbeat;
    heartbeat.sender = {"10.1.0.7", "palermo", 42, InstanceRole::Active, 200, 17, 321, {2, 99}, 1200, 300, 5};
    heartbeat.knownInstances.push_back({{"10.2.0.1", "catania", 41, InstanceRole::Spare, 500}, Milliseconds(700)});
    heartbeat.observations.push_back({"orders", {"i-1", 3, 1}});
    heartbeat.suspects.push_back({5, Milliseconds(40), {{6, Milliseconds(30), true}}});
    heartbeat.quotas.push_back({7, 12.5, 3});
    return heartbeat;
}

/// Takes numbers of any size from the input; 0 at its end.
class Numbers
{
public:
    explicit Numbers(const std::vector<std::uint8_t> &buf)
        : m_buf(buf)
    {
    }

    std::uint64_t next()
    {
        std::uint64_t number = 0;
        // The first byte is the length, so that small numbers are as frequent as large ones.
        for (auto bytes = nextByte() % 9; bytes > 0; --bytes) {
            number = number << 8 | nextByte();
        }
        return number;
    }

    std::string nextText()
    {
        return std::string(next() % 300, 'x');
    }

private:
    unsigned nextByte()
    {
        return m_at < m_buf.size() ? m_buf[m_at++] : 0;
    }

    const std::vector<std::uint8_t> &m_buf;
    std::size_t m_at = 0;
};

/// A heartbeat whose fields may have any values.
GroupHeartbeat anyHeartbeat(const std::vector<std::uint8_t> &buf)
{
    Numbers numbers(buf);
    auto heartbeat = sampleHeartbeat();
    auto &sender = heartbeat.sender;
    sender.incarnation += numbers.next();
    sender.capacity = std::uint16_t(numbers.next());
    sender.load = std::uint16_t(numbers.next());
    sender.role = InstanceRole(numbers.next() % 8);
    sender.storeRevision = {numbers.next(), numbers.next()};
    heartbeat.knownInstances.resize(numbers.next() % 100, heartbeat.knownInstances[0]);
    for (auto &it : heartbeat.knownInstances) {
        it.age = Milliseconds(std::int64_t(numbers.next()));
    }
    heartbeat.observations.resize(numbers.next() % 50, heartbeat.observations[0]);
    for (auto &it : heartbeat.observations) {
        it.service = numbers.nextText();
        it.counts = {numbers.nextText(), unsigned(numbers.next()), unsigned(numbers.next())};
        it.counts.successAge = Milliseconds(std::int64_t(numbers.next()));
        it.counts.requestRate = double(numbers.next());
    }
    return heartbeat;
}

/// Whether what is encoded from these values can be decoded, if it is encoded at all.
bool decodesWhatItEncodes(const GroupHeartbeat &heartbeat)
{
    Bytes bytes;
    try {
        bytes = encodeHeartbeat(heartbeat, zones);
    } catch (const EncodeError &) {
        return true;
    }
    return encodeHeartbeat(decodeHeartbeat(bytes, zones), zones) == bytes;
}

} // namespace

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    return {encodeHeartbeat(sampleHeartbeat(), zones), encodeChanges({{2, 17}, {{"servers/a", "x", {1, 16}, false}}})};
}

// Any input is either rejected with a DecodeError or can be encoded again, to a message with the same content.
bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    try {
        const auto bytes = encodeHeartbeat(decodeHeartbeat(buf, zones), zones);
        if (encodeHeartbeat(decodeHeartbeat(bytes, zones), zones) != bytes) {
            return false;
        }
    } catch (const DecodeError &) {
    }
    try {
        const auto bytes = encodeChanges(decodeChanges(buf));
        if (encodeChanges(decodeChanges(bytes)) != bytes) {
            return false;
        }
    } catch (const DecodeError &) {
    }
    return decodesWhatItEncodes(anyHeartbeat(buf));
}
