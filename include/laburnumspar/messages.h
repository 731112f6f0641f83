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

/// Maximum size of an encoded heartbeat including its header, in bytes; fits one unfragmented packet.
inline constexpr std::size_t MaxDatagramBytes = 1400;
/// Maximum size of any encoded message including its header, in bytes.
inline constexpr std::size_t MaxFrameBytes = 2 * 1024 * 1024;
/// Maximum size of the body of a forwarded request or reply, in bytes.
inline constexpr std::size_t MaxBodyBytes = MaxFrameBytes - 64 * 1024;
/// Maximum size of a settings text in bytes, which is also the maximum size of a value on the platform.
inline constexpr std::size_t MaxSettingsBytes = 1024 * 1024;
/// Size in bytes of the header at the start of every message; see frameLength().
inline constexpr std::size_t FrameHeaderBytes = 18;

/// Thrown for a message that exceeds a limit of the protocol or has an address that is not an IP address.
class EncodeError : public Error
{
public:
    using Error::Error;
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< no recent heartbeat, neither received nor reported by a peer
    Leaving, ///< shutting down; completes its requests
    Dead, ///< considered failed
};

template <>
struct EnumNames<MemberState> {
    static constexpr std::array<std::string_view, 4> Names{"alive", "suspect", "leaving", "dead"};
};

/// What the sender of a heartbeat knows about one other member.
struct MemberRecord {
    InstanceId id;
    Endpoint callerAddress; ///< empty if unknown
    std::string zone;
    std::uint64_t incarnation = 0; ///< start time of the process
    std::uint32_t sequence = 0; ///< of the newest known heartbeat of the member, received or reported by a peer
    MemberState state = MemberState::Alive;
    bool seenDirectly = false; ///< the sender recently received a heartbeat from the member itself

    bool operator==(const MemberRecord &) const = default;
};

/// Upstreams of one service that the publishing instance cannot reach.
struct UnreachableUpstreams {
    std::string service;
    std::vector<UpstreamId> upstreams;

    bool operator==(const UnreachableUpstreams &) const = default;
};

/// What one dispatcher published in the heartbeat with this sequence number.
struct PublishedState {
    InstanceId id;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::vector<ServiceLoad> loads;
    std::vector<UnreachableUpstreams> unreachable;

    bool operator==(const PublishedState &) const = default;
};

/// Hash of all accepted settings versions, and a rotating subset of them.
struct SettingsDigest {
    std::uint64_t hash = 0;
    std::vector<SettingsVersion> window;

    bool operator==(const SettingsDigest &) const = default;
};

/// Periodic message by which members exchange their knowledge of the fleet.
struct Heartbeat {
    std::string zone;
    MemberState state = MemberState::Alive;
    Endpoint callerAddress;
    std::vector<MemberRecord> members; ///< includes the receiver if known, so that it can check the link
    std::vector<PublishedState> published; ///< the sender's own first, then those it relays
    SettingsDigest settings;

    bool operator==(const Heartbeat &) const = default;
};

/// Role of the receiver of a forwarded request.
enum class HopKind : std::uint8_t {
    ToOwner, ///< the receiver owns the request identifier and claims it
    ToDispatcher, ///< the receiver queues the request for its own upstreams and does not forward it again
};

template <>
struct EnumNames<HopKind> {
    static constexpr std::array<std::string_view, 2> Names{"to-owner", "to-dispatcher"};
};

/// A caller's request that one instance passes to another.
struct ForwardRequest {
    std::uint64_t id = 0; ///< chosen by the sender, unique per connection
    HopKind hop = HopKind::ToDispatcher;
    std::string service;
    std::string path;
    std::string method;
    std::string team;
    RequestClass requestClass = RequestClass::Short; ///< a hint for the receiver
    std::uint32_t deadlineMs = 0; ///< time left until the deadline when sent
    bool idempotent = false;
    std::string requestId; ///< identifier in text form
    std::string contentType;
    std::string body;

    bool operator==(const ForwardRequest &) const = default;
};

/// Reply to the ForwardRequest with the same id.
struct ForwardReply {
    std::uint64_t id = 0;
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    std::uint16_t status = 0; ///< HTTP status of the upstream's answer
    std::string contentType;
    std::string body;
    UpstreamId upstream; ///< empty if none was selected
    std::string detail;
    ServiceLoad load; ///< of the replying instance

    bool operator==(const ForwardReply &) const = default;
};

/// Cancels the ForwardRequest with the same id.
struct ForwardCancel {
    std::uint64_t id = 0;

    bool operator==(const ForwardCancel &) const = default;
};

/// Requests all settings values that are newer than the given versions or whose paths are not listed.
struct SettingsPull {
    std::vector<SettingsVersion> known;

    bool operator==(const SettingsPull &) const = default;
};

/// Value at a settings path.
struct SettingsText {
    std::string path;
    Revision version;
    std::string text;

    bool operator==(const SettingsText &) const = default;
};

/// Reply to SettingsPull. Values that do not fit into one message are sent in several.
struct SettingsPullReply {
    std::vector<SettingsText> values;

    bool operator==(const SettingsPullReply &) const = default;
};

/// The index of an alternative is its kind on the wire, so new alternatives must be added at the end.
using Message = std::variant<Heartbeat, ForwardRequest, ForwardReply, ForwardCancel, SettingsPull, SettingsPullReply>;

/// Identifies a message and its sender.
struct Envelope {
    InstanceId sender;
    std::uint64_t incarnation = 0; ///< start time of the sender's process
    std::uint64_t sequence = 0;

    bool operator==(const Envelope &) const = default;
};

struct DecodedMessage {
    Envelope envelope;
    Message message;

    bool operator==(const DecodedMessage &) const = default;
};

/// Encodes a message with its header. Throws EncodeError.
std::vector<std::uint8_t> encode(const Envelope &envelope, const Message &message);
/// Decodes exactly one message. Throws DecodeError for malformed input and for missing or additional bytes.
DecodedMessage decode(std::span<const std::uint8_t> bytes);
/// Total size in bytes of the message that starts with this header. Throws DecodeError if `header` has fewer than
/// FrameHeaderBytes bytes or is malformed.
std::size_t frameLength(std::span<const std::uint8_t> header);
/// Number of bytes that the item adds to a heartbeat, not counting zone names. Throws EncodeError.
std::size_t encodedSize(const MemberRecord &record);
std::size_t encodedSize(const PublishedState &state);
std::size_t encodedSize(const SettingsVersion &version);

} // namespace laburnumspar
