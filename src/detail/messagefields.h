#pragma once

#include "detail/codec.h"
#include "laburnumspar/messages.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

// Encoding of the messages, and the limits of their fields: lengths in bytes, and numbers of list elements.
namespace laburnumspar::detail {

constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t MaxMethodLength = 16;
constexpr std::size_t MaxSettingsPathLength = 255;
constexpr std::size_t MaxContentTypeLength = 255;
constexpr std::size_t MaxRequestPathLength = 8192;
constexpr std::size_t MaxDetailLength = 1024;
constexpr std::size_t MaxZones = 64;
constexpr std::size_t MaxMemberRecords = 255;
constexpr std::size_t MaxPublishedStates = 64;
constexpr std::size_t MaxServiceEntries = 32;
constexpr std::size_t MaxUnreachableUpstreams = 64;
constexpr std::size_t MaxSettingsWindow = 64;
constexpr std::size_t MaxKnownVersions = 4096;
constexpr std::size_t MaxSettingsValues = 1024;

enum AddressTag : std::uint8_t {
    NoAddress,
    Ipv4Address,
    Ipv6Address,
};

// Layout of the first byte of a member record.
constexpr unsigned StateMask = 0x03;
constexpr unsigned SeenDirectlyBit = 0x04;
constexpr unsigned CallerTagShift = 3;
enum CallerTag : std::uint8_t {
    NoCallerAddress,
    SameIpAsMember, ///< only the port is written
    SeparateAddress,
};

using Ipv4Bytes = std::array<unsigned char, 4>;
using Ipv6Bytes = std::array<unsigned char, 16>;

/// Writes the tag and the address; returns false if the text is not an address of the family that the tag selects.
template <typename Bytes>
bool saveAddress(OutputArchive &ar, AddressTag tag, const std::string &text)
{
    Bytes bytes{};
    if (inet_pton(tag == Ipv4Address ? AF_INET : AF_INET6, text.c_str(), bytes.data()) != 1) {
        return false;
    }
    ar(static_cast<std::uint8_t>(tag), cereal::binary_data(bytes.data(), bytes.size()));
    return true;
}

template <typename Bytes>
std::string loadAddress(InputArchive &ar, AddressTag tag)
{
    Bytes bytes{};
    std::array<char, INET6_ADDRSTRLEN> text{};
    ar(cereal::binary_data(bytes.data(), bytes.size()));
    inet_ntop(tag == Ipv4Address ? AF_INET : AF_INET6, bytes.data(), text.data(), text.size());
    return text.data();
}

} // namespace laburnumspar::detail

// cereal finds these functions by argument-dependent lookup, so they must be in the namespace of the types.
namespace laburnumspar {

inline void save(detail::OutputArchive &ar, const Endpoint &endpoint)
{
    if (endpoint == Endpoint()) {
        ar(static_cast<std::uint8_t>(detail::NoAddress));
        return;
    }
    if (!detail::saveAddress<detail::Ipv4Bytes>(ar, detail::Ipv4Address, endpoint.ip)
        && !detail::saveAddress<detail::Ipv6Bytes>(ar, detail::Ipv6Address, endpoint.ip)) {
        throw EncodeError("not an IP address: " + endpoint.ip);
    }
    ar(endpoint.port);
}

inline void load(detail::InputArchive &ar, Endpoint &endpoint)
{
    const auto tag = detail::loadNumber<std::uint8_t>(ar);
    if (tag == detail::NoAddress) {
        endpoint = Endpoint();
        return;
    }
    if (tag > detail::Ipv6Address) {
        throw DecodeError("unknown address tag");
    }
    endpoint.ip = tag == detail::Ipv4Address ? detail::loadAddress<detail::Ipv4Bytes>(ar, detail::Ipv4Address)
                                             : detail::loadAddress<detail::Ipv6Bytes>(ar, detail::Ipv6Address);
    ar(endpoint.port);
}

template <typename Archive>
void serialize(Archive &ar, Revision &revision)
{
    ar(revision.era, revision.number);
}

template <typename Archive>
void serialize(Archive &ar, SettingsVersion &version)
{
    ar(detail::StringField{version.path, detail::MaxSettingsPathLength}, version.version);
}

template <typename Archive>
void serialize(Archive &ar, ServiceLoad &load)
{
    ar(detail::StringField{load.service, detail::MaxNameLength});
    ar(load.slots, load.freeSlots, load.queued, load.shortWaitUs, load.longWaitUs);
}

template <typename Archive>
void serialize(Archive &ar, UnreachableUpstreams &unreachable)
{
    ar(detail::StringField{unreachable.service, detail::MaxNameLength},
       detail::ListField<UpstreamId>{unreachable.upstreams, detail::MaxUnreachableUpstreams});
}

template <typename Archive>
void serialize(Archive &ar, PublishedState &state)
{
    ar(state.id, state.incarnation, state.sequence);
    ar(detail::ListField<ServiceLoad>{state.loads, detail::MaxServiceEntries});
    ar(detail::ListField<UnreachableUpstreams>{state.unreachable, detail::MaxServiceEntries});
}

template <typename Archive>
void serialize(Archive &ar, SettingsDigest &digest)
{
    ar(digest.hash, detail::ListField<SettingsVersion>{digest.window, detail::MaxSettingsWindow});
}

template <typename Archive>
void serialize(Archive &ar, ForwardRequest &request)
{
    ar(request.id, detail::EnumField<HopKind>{request.hop});
    ar(detail::StringField{request.service, detail::MaxNameLength},
       detail::StringField{request.path, detail::MaxRequestPathLength});
    ar(detail::StringField{request.method, detail::MaxMethodLength},
       detail::StringField{request.team, detail::MaxNameLength});
    ar(detail::EnumField<RequestClass>{request.requestClass},
       request.deadlineMs,
       detail::BoolField{request.idempotent});
    ar(detail::StringField{request.requestId, detail::MaxNameLength},
       detail::StringField{request.contentType, detail::MaxContentTypeLength});
    ar(detail::StringField{request.body, MaxBodyBytes});
}

template <typename Archive>
void serialize(Archive &ar, ForwardReply &reply)
{
    ar(reply.id, detail::EnumField<Outcome>{reply.outcome}, detail::EnumField<Reason>{reply.reason}, reply.status);
    ar(detail::StringField{reply.contentType, detail::MaxContentTypeLength},
       detail::StringField{reply.body, MaxBodyBytes},
       reply.upstream);
    ar(detail::StringField{reply.detail, detail::MaxDetailLength}, reply.load);
}

template <typename Archive>
void serialize(Archive &ar, ForwardCancel &cancel)
{
    ar(cancel.id);
}

template <typename Archive>
void serialize(Archive &ar, SettingsPull &pull)
{
    ar(detail::ListField<SettingsVersion>{pull.known, detail::MaxKnownVersions});
}

template <typename Archive>
void serialize(Archive &ar, SettingsText &text)
{
    ar(detail::StringField{text.path, detail::MaxSettingsPathLength},
       text.version,
       detail::StringField{text.text, MaxSettingsBytes});
}

template <typename Archive>
void serialize(Archive &ar, SettingsPullReply &reply)
{
    ar(detail::ListField<SettingsText>{reply.values, detail::MaxSettingsValues});
}

template <typename Archive>
void serialize(Archive &ar, Envelope &envelope)
{
    ar(envelope.sender, envelope.incarnation, envelope.sequence);
}

} // namespace laburnumspar

namespace laburnumspar::detail {

inline CallerTag callerTag(const MemberRecord &record)
{
    if (record.callerAddress == Endpoint()) {
        return NoCallerAddress;
    }
    return record.callerAddress.ip == record.id.ip ? SameIpAsMember : SeparateAddress;
}

/// `zone` is the index of the member's zone in the heartbeat's list of zone names.
inline void saveRecord(OutputArchive &ar, const MemberRecord &record, std::size_t zone)
{
    const auto tag = callerTag(record);
    const unsigned flags = static_cast<unsigned>(record.state) | (record.seenDirectly ? SeenDirectlyBit : 0U)
        | static_cast<unsigned>(tag) << CallerTagShift;
    ar(static_cast<std::uint8_t>(flags), record.id, static_cast<std::uint8_t>(zone));
    ar(record.incarnation, record.sequence);
    if (tag == SameIpAsMember) {
        ar(record.callerAddress.port);
    } else if (tag == SeparateAddress) {
        ar(record.callerAddress);
    }
}

inline MemberRecord loadRecord(InputArchive &ar, const std::vector<std::string> &zones)
{
    MemberRecord record;
    const auto flags = loadNumber<std::uint8_t>(ar);
    const auto tag = flags >> CallerTagShift;
    std::uint8_t zone = 0;
    ar(record.id, zone, record.incarnation, record.sequence);
    if (tag > SeparateAddress || zone >= zones.size() || record.id == InstanceId()) {
        throw DecodeError("a member record has an invalid caller address tag or zone index, or no address");
    }
    record.state = checkedEnum<MemberState>(flags & StateMask);
    record.seenDirectly = (flags & SeenDirectlyBit) != 0;
    record.zone = zones[zone];
    if (tag == SameIpAsMember) {
        record.callerAddress.ip = record.id.ip;
        ar(record.callerAddress.port);
    } else if (tag == SeparateAddress) {
        ar(record.callerAddress);
    }
    return record;
}

/// Returns the index of the zone, which is appended if it is missing.
inline std::size_t findOrAppend(std::vector<std::string> &zones, const std::string &zone)
{
    const auto it = std::find(zones.begin(), zones.end(), zone);
    if (it == zones.end()) {
        zones.push_back(zone);
        return zones.size() - 1;
    }
    return static_cast<std::size_t>(it - zones.begin());
}

inline std::vector<std::string> loadZones(InputArchive &ar)
{
    std::vector<std::string> zones(loadLength(ar, MaxZones));
    for (auto &zone : zones) {
        ar(StringField{zone, MaxNameLength});
    }
    return zones;
}

} // namespace laburnumspar::detail

namespace laburnumspar {

// Each zone name is written once, the sender's own first; member records refer to them by index.
inline void save(detail::OutputArchive &ar, const Heartbeat &heartbeat)
{
    std::vector<std::string> zones{heartbeat.zone};
    std::vector<std::size_t> indices;
    for (const auto &record : heartbeat.members) {
        indices.push_back(detail::findOrAppend(zones, record.zone));
    }
    detail::saveLength(ar, zones.size(), detail::MaxZones);
    for (auto &zone : zones) {
        ar(detail::StringField{zone, detail::MaxNameLength});
    }
    ar(static_cast<std::uint8_t>(heartbeat.state), heartbeat.callerAddress);
    detail::saveLength(ar, heartbeat.members.size(), detail::MaxMemberRecords);
    for (std::size_t n = 0; n < indices.size(); ++n) {
        detail::saveRecord(ar, heartbeat.members[n], indices[n]);
    }
    auto published = heartbeat.published;
    ar(detail::ListField<PublishedState>{published, detail::MaxPublishedStates}, heartbeat.settings);
}

inline void load(detail::InputArchive &ar, Heartbeat &heartbeat)
{
    const auto zones = detail::loadZones(ar);
    if (zones.empty()) {
        throw DecodeError("a heartbeat has no zone name");
    }
    heartbeat.zone = zones.front();
    ar(detail::EnumField<MemberState>{heartbeat.state}, heartbeat.callerAddress);
    const auto length = detail::loadLength(ar, detail::MaxMemberRecords);
    for (std::size_t n = 0; n < length; ++n) {
        heartbeat.members.push_back(detail::loadRecord(ar, zones));
    }
    ar(detail::ListField<PublishedState>{heartbeat.published, detail::MaxPublishedStates}, heartbeat.settings);
}

} // namespace laburnumspar
