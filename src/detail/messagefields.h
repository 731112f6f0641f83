#pragma once

#include "detail/codec.h"
#include "laburnumspar/messages.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

// How each message is written and read, and the limits of its fields.
namespace laburnumspar::detail {

constexpr std::size_t MaxName = 128;
constexpr std::size_t MaxMethod = 16;
constexpr std::size_t MaxSettingsPath = 255;
constexpr std::size_t MaxContentType = 255;
constexpr std::size_t MaxRequestPath = 8192;
constexpr std::size_t MaxDetail = 1024;
constexpr std::size_t MaxZones = 64;
constexpr std::size_t MaxRecords = 255;
constexpr std::size_t MaxPublished = 64;
constexpr std::size_t MaxLoads = 32;
constexpr std::size_t MaxUnreachable = 64;
constexpr std::size_t MaxWindow = 64;
constexpr std::size_t MaxKnownVersions = 4096;
constexpr std::size_t MaxValues = 1024;

enum AddressTag : std::uint8_t {
    NoAddress,
    Ipv4Address,
    Ipv6Address,
};

// Layout of the first byte of a member record.
constexpr unsigned StateMask = 0x03;
constexpr unsigned HeardBit = 0x04;
constexpr unsigned CallerShift = 3;
enum CallerTag : std::uint8_t {
    NoCallerAddress,
    SameIpAsMember, ///< only the port is written
    OtherIp,
};

using Ipv4Bytes = std::array<unsigned char, 4>;
using Ipv6Bytes = std::array<unsigned char, 16>;

/// False if the text is not an address of the family that the size of `bytes` stands for.
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

// cereal finds these functions by argument-dependent lookup, so they are in the namespace of the types.
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
        throw DecodeError("unknown kind of address");
    }
    endpoint.ip = tag == detail::Ipv4Address ? detail::loadAddress<detail::Ipv4Bytes>(ar, detail::Ipv4Address)
                                             : detail::loadAddress<detail::Ipv6Bytes>(ar, detail::Ipv6Address);
    ar(endpoint.port);
}

template <typename Archive>
void serialize(Archive &ar, SettingsVersion &version)
{
    ar(detail::StringField{version.path, detail::MaxSettingsPath}, version.version);
}

template <typename Archive>
void serialize(Archive &ar, ServiceLoad &load)
{
    ar(detail::StringField{load.service, detail::MaxName});
    ar(load.slots, load.freeSlots, load.queued, load.shortWaitUs, load.longWaitUs);
}

template <typename Archive>
void serialize(Archive &ar, UnreachableUpstreams &unreachable)
{
    ar(detail::StringField{unreachable.service, detail::MaxName},
       detail::ListField<UpstreamId>{unreachable.upstreams, detail::MaxUnreachable});
}

template <typename Archive>
void serialize(Archive &ar, PublishedState &state)
{
    ar(state.id, state.incarnation, state.sequence);
    ar(detail::ListField<ServiceLoad>{state.loads, detail::MaxLoads});
    ar(detail::ListField<UnreachableUpstreams>{state.unreachable, detail::MaxLoads});
}

template <typename Archive>
void serialize(Archive &ar, SettingsDigest &digest)
{
    ar(digest.hash, detail::ListField<SettingsVersion>{digest.window, detail::MaxWindow});
}

template <typename Archive>
void serialize(Archive &ar, ForwardRequest &request)
{
    ar(request.id, detail::EnumField<HopKind>{request.hop});
    ar(detail::StringField{request.service, detail::MaxName},
       detail::StringField{request.path, detail::MaxRequestPath});
    ar(detail::StringField{request.method, detail::MaxMethod}, detail::StringField{request.team, detail::MaxName});
    ar(detail::EnumField<WorkClass>{request.workClass}, request.deadlineMs, detail::BoolField{request.idempotent});
    ar(detail::StringField{request.requestId, detail::MaxName},
       detail::StringField{request.contentType, detail::MaxContentType});
    ar(detail::StringField{request.body, MaxBodyBytes});
}

template <typename Archive>
void serialize(Archive &ar, ForwardReply &reply)
{
    ar(reply.id, detail::EnumField<Outcome>{reply.outcome}, detail::EnumField<Reason>{reply.reason}, reply.status);
    ar(detail::StringField{reply.contentType, detail::MaxContentType},
       detail::StringField{reply.body, MaxBodyBytes},
       reply.upstream);
    ar(detail::StringField{reply.detail, detail::MaxDetail}, reply.load);
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
    ar(detail::StringField{text.path, detail::MaxSettingsPath},
       text.version,
       detail::StringField{text.text, MaxSettingsBytes});
}

template <typename Archive>
void serialize(Archive &ar, SettingsPullReply &value)
{
    ar(detail::ListField<SettingsText>{value.values, detail::MaxValues});
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
    return record.callerAddress.ip == record.id.ip ? SameIpAsMember : OtherIp;
}

inline void saveRecord(OutputArchive &ar, const MemberRecord &record, std::size_t zone)
{
    const auto tag = callerTag(record);
    const unsigned flags = static_cast<unsigned>(record.state) | (record.seenDirectly ? HeardBit : 0U)
        | static_cast<unsigned>(tag) << CallerShift;
    ar(static_cast<std::uint8_t>(flags), record.id, static_cast<std::uint8_t>(zone));
    ar(record.incarnation, record.sequence);
    if (tag == SameIpAsMember) {
        ar(record.callerAddress.port);
    } else if (tag == OtherIp) {
        ar(record.callerAddress);
    }
}

inline MemberRecord loadRecord(InputArchive &ar, const std::vector<std::string> &zones)
{
    MemberRecord record;
    const auto flags = loadNumber<std::uint8_t>(ar);
    const auto tag = flags >> CallerShift;
    std::uint8_t zone = 0;
    ar(record.id, zone, record.incarnation, record.sequence);
    if (tag > OtherIp || zone >= zones.size() || record.id == InstanceId()) {
        throw DecodeError("a member record has an unknown flag or zone, or no address");
    }
    record.state = checkedEnum<MemberState>(flags & StateMask);
    record.seenDirectly = (flags & HeardBit) != 0;
    record.zone = zones[zone];
    if (tag == SameIpAsMember) {
        record.callerAddress.ip = record.id.ip;
        ar(record.callerAddress.port);
    } else if (tag == OtherIp) {
        ar(record.callerAddress);
    }
    return record;
}

inline std::size_t indexOf(std::vector<std::string> &zones, const std::string &zone)
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
        ar(StringField{zone, MaxName});
    }
    return zones;
}

} // namespace laburnumspar::detail

namespace laburnumspar {

// Zone names are written once; records refer to them by index.
inline void save(detail::OutputArchive &ar, const Heartbeat &heartbeat)
{
    std::vector<std::string> zones{heartbeat.zone};
    std::vector<std::size_t> indices;
    for (const auto &record : heartbeat.members) {
        indices.push_back(detail::indexOf(zones, record.zone));
    }
    detail::saveLength(ar, zones.size(), detail::MaxZones);
    for (auto &zone : zones) {
        ar(detail::StringField{zone, detail::MaxName});
    }
    ar(static_cast<std::uint8_t>(heartbeat.state), heartbeat.callerAddress);
    detail::saveLength(ar, heartbeat.members.size(), detail::MaxRecords);
    for (std::size_t n = 0; n < indices.size(); ++n) {
        detail::saveRecord(ar, heartbeat.members[n], indices[n]);
    }
    auto published = heartbeat.published;
    ar(detail::ListField<PublishedState>{published, detail::MaxPublished}, heartbeat.settings);
}

inline void load(detail::InputArchive &ar, Heartbeat &heartbeat)
{
    const auto zones = detail::loadZones(ar);
    if (zones.empty()) {
        throw DecodeError("a heartbeat names no zone");
    }
    heartbeat.zone = zones.front();
    ar(detail::EnumField<MemberState>{heartbeat.state}, heartbeat.callerAddress);
    const auto length = detail::loadLength(ar, detail::MaxRecords);
    for (std::size_t n = 0; n < length; ++n) {
        heartbeat.members.push_back(detail::loadRecord(ar, zones));
    }
    ar(detail::ListField<PublishedState>{heartbeat.published, detail::MaxPublished}, heartbeat.settings);
}

} // namespace laburnumspar
