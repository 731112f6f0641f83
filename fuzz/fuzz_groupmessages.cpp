#include "fuzz.h"

#include "gateway/groupmessages.h"
#include "laburnumspar/errors.h"

using namespace laburnumspar;
using namespace laburnumspar::detail;

namespace {

const std::vector<std::string> zones{"catania", "palermo"};

GroupHeartbeat sampleHeartbeat()
{
    GroupHeartbeat heartbeat;
    heartbeat.sender = {"10.1.0.7", "palermo", 42, InstanceRole::Active, 200, 17, {2, 99}, 1200, 300, 5};
    heartbeat.knownInstances.push_back({{"10.2.0.1", "catania", 41, InstanceRole::Spare, 500}, Milliseconds(700)});
    heartbeat.observations.push_back({"orders", {"i-1", 3, 1}});
    heartbeat.suspects.push_back({5, Milliseconds(40), {{6, Milliseconds(30), true}}});
    return heartbeat;
}

} // namespace

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    return {encodeHeartbeat(sampleHeartbeat(), zones), encodeChanges({{2, 17}, {{"servers/a", "x", {1, 16}, false}}})};
}

// Any input is either rejected with a DecodeError or can be encoded again.
bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    try {
        encodeHeartbeat(decodeHeartbeat(buf, zones), zones);
    } catch (const DecodeError &) {
    }
    try {
        encodeChanges(decodeChanges(buf));
    } catch (const DecodeError &) {
    }
    return true;
}
