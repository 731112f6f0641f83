#include "fuzz.h"

#include "laburnumspar/messages.h"

#include <xxhash.h>

#include <cstring>

using namespace laburnumspar;

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    const Envelope sender{{"10.0.0.1", 7000}, 1, 2};
    Heartbeat heartbeat{"a", MemberState::Alive, {"10.0.0.1", 8000}, {}, {}, {}};
    heartbeat.members = {{{"10.0.0.2", 7000}, {"10.0.0.3", 80}, "b", 7, 9, MemberState::Alive, true},
                         {{"::1", 7001}, {"::1", 8000}, "a", 8, 1, MemberState::Suspect, false}};
    heartbeat.published = {{{"10.0.0.1", 7000}, 3, 4, {{"orders", 1, 2, 3, 4, 5}}, {{"orders", {{"10.9.0.1", 80}}}}}};
    heartbeat.settings = {1, {{"/teams/a/services/orders", {1, 17}}}};
    ForwardRequest request;
    request.service = "orders";
    request.body = "body";
    ForwardReply reply;
    reply.upstream = {"10.9.0.1", 80};
    return {encode(sender, heartbeat),
            encode(sender, request),
            encode(sender, reply),
            encode(sender, ForwardCancel{1}),
            encode(sender, SettingsPull{{{"/a", {1, 1}}, {"/b", {1, 2}}}}),
            encode(sender, SettingsPullReply{{{"/a", {1, 1}, "x = 1"}}})};
}

namespace {

// A message that decodes must be equal after another round trip.
bool roundTripsOrIsRejected(const std::vector<std::uint8_t> &buf)
{
    try {
        const auto decoded = decode(buf);
        return decode(encode(decoded.envelope, decoded.message)) == decoded;
    } catch (const DecodeError &) {
        return true;
    }
}

// Repairs the header, as otherwise almost no mutated input passes the digest check.
std::vector<std::uint8_t> withValidHeader(std::vector<std::uint8_t> buf)
{
    const auto length = static_cast<std::uint32_t>(buf.size() - FrameHeaderBytes);
    buf[5] %= std::variant_size_v<Message>;
    const auto digest = XXH3_64bits_withSeed(buf.data() + FrameHeaderBytes, length, 1U << 8 | buf[5]);
    std::memcpy(buf.data(), "LSPR\x01", 5);
    std::memcpy(buf.data() + 6, &length, sizeof(length));
    std::memcpy(buf.data() + 10, &digest, sizeof(digest));
    return buf;
}

} // namespace

bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    return roundTripsOrIsRejected(buf)
        && (buf.size() < FrameHeaderBytes || roundTripsOrIsRejected(withValidHeader(buf)));
}
