#pragma once

#include "laburnumspar/errors.h"
#include "laburnumspar/fleet.h"
#include "laburnumspar/types.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumspar {

/// Bytes of a heartbeat including its header; fits one unfragmented packet.
inline constexpr std::size_t MaxDatagramBytes = 1400;
/// Bytes of any message including its header.
inline constexpr std::size_t MaxFrameBytes = 2 * 1024 * 1024;
/// Bytes of the body of a forwarded request or reply.
inline constexpr std::size_t MaxBodyBytes = MaxFrameBytes - 64 * 1024;
/// Bytes of a settings text; as large as a value of the platform may be.
inline constexpr std::size_t MaxSettingsBytes = 1024 * 1024;
/// Bytes that frameLength() needs to know the length of a message.
inline constexpr std::size_t FrameHeaderBytes = 18;

/// A message that does not fit the limits of the protocol, or has an address that is not an IP address.
class EncodeError : public Error
{
public:
    using Error::Error;
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< not heard from, directly or through others
    Leaving, ///< withdraws; completes its work
    Dead,
};

template <>
struct EnumNames<MemberState> {
    static constexpr std::array<std::string_view, 4> Names{"alive", "suspect", "leaving", "dead"};
};

/// What the sender of a heartbeat knows about one member.
struct MemberRecord {
    InstanceId id;
    Endpoint callerAddress; ///< empty if unknown
    std::string zone;
    std::uint64_t incarnation = 0; ///< start time of the process
    std::uint32_t sequence = 0; ///< newest heartbeat of the member, also if heard through others
    MemberState state = MemberState::Alive;
    bool seenDirectly = false; ///< the sender hears the member directly

    bool operator==(const MemberRecord &) const = default;
};

/// Upstreams of a service that the publishing instance cannot reach.
struct UnreachableUpstreams {
    std::string service;
    std::vector<UpstreamId> upstreams;

    bool operator==(const UnreachableUpstreams &) const = default;
};

/// What one dispatcher published with the stated heartbeat.
struct PublishedState {
    InstanceId id;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;

    bool operator==(const PublishedState &) const = default;
};

/// Hash over all accepted versions, and some of them in rotation.
struct SettingsDigest {
    std::uint64_t hash = 0;
    std::vector<SettingsVersion> window;

    bool operator==(const SettingsDigest &) const = default;
};

struct Heartbeat {
    std::string zone;
    MemberState state = MemberState::Alive;
    Endpoint callerAddress;
    std::vector<MemberRecord> members; ///< always has the receiver, if known, so that it learns whether it is heard
    std::vector<PublishedState> published; ///< the sender's own first, then others it passes on
    SettingsDigest settings;

    bool operator==(const Heartbeat &) const = default;
};

enum class HopKind : std::uint8_t {
    ToOwner, ///< the receiver owns the request identifier and claims it
    ToDispatcher, ///< the receiver queues the request for its own upstreams and never forwards it
};

template <>
struct EnumNames<HopKind> {
    static constexpr std::array<std::string_view, 2> Names{"to-owner", "to-dispatcher"};
};

struct ForwardRequest {
    std::uint64_t id = 0; ///< chosen by the sender, unique on the link
    HopKind hop = HopKind::ToDispatcher;
    std::string service;
    std::string path;
    std::string method;
    std::string team;
    WorkClass workClass = WorkClass::Short; ///< a hint
    std::uint32_t deadlineMs = 0; ///< remaining when sent
    bool idempotent = false;
    std::string requestId; ///< text form
    std::string contentType;
    std::string body;

    bool operator==(const ForwardRequest &) const = default;
};

struct ForwardReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    std::uint16_t status = 0; ///< HTTP status of the upstream's answer
    std::string contentType;
    std::string body;
    UpstreamId upstream; ///< empty if none was chosen
    std::string detail;
    ServiceLoad load; ///< of the replier

    bool operator==(const ForwardReply &) const = default;
};

struct ForwardCancel {
    std::uint64_t id = 0;

    bool operator==(const ForwardCancel &) const = default;
};

/// Asks for the values that are newer than the stated versions, and for those of paths that are not named.
struct SettingsPull {
    std::vector<SettingsVersion> known;

    bool operator==(const SettingsPull &) const = default;
};

struct SettingsText {
    std::string path;
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const SettingsText &) const = default;
};

/// Answer to SettingsPull; a sender with more than fits one frame sends several.
struct SettingsPullReply {
    std::vector<SettingsText> values;

    bool operator==(const SettingsPullReply &) const = default;
};

/// The index of an alternative is its kind on the wire; new ones are added at the end.
using Message = std::variant<Heartbeat, ForwardRequest, ForwardReply, ForwardCancel, SettingsPull, SettingsPullReply>;

/// Who sent a message.
struct Envelope {
    InstanceId sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const Envelope &) const = default;
};

struct DecodedMessage {
    Envelope envelope;
    Message message;

    bool operator==(const DecodedMessage &) const = default;
};

/// Throws EncodeError.
std::vector<std::uint8_t> encode(const Envelope &envelope, const Message &message);
/// Decodes exactly one message; throws DecodeError for anything else.
DecodedMessage decode(std::span<const std::uint8_t> bytes);
/// Bytes of the message that starts with this header (at least FrameHeaderBytes); throws DecodeError.
std::size_t frameLength(std::span<const std::uint8_t> header);
/// Bytes that the item adds to a heartbeat (zone names apart); throws EncodeError.
std::size_t encodedSize(const MemberRecord &record);
std::size_t encodedSize(const PublishedState &state);
std::size_t encodedSize(const SettingsVersion &version);

} // namespace laburnumspar
