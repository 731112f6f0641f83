#include "gateway/groupmessages.h"

#include "detail/codec.h"
#include "gateway/compression.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>

namespace laburnumspar::detail {

namespace {

constexpr std::uint32_t HeartbeatMagic = 0x4c424735; // "LBG5"
constexpr std::uint32_t ChangesMagic = 0x4c424d34; // "LBM4"
constexpr std::size_t MaxIdLength = 255;
constexpr unsigned MaxCount = 255;
constexpr std::size_t MaxKeyLength = 255;
constexpr std::size_t MaxItemBytes = 1 << 20;
constexpr std::size_t MaxItems = 1'000'000;

std::uint32_t encodeAddress(const std::string &ip)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address_v4(ip, ec);
    if (ec) {
        throw EncodeError("instance address must be IPv4: " + ip);
    }
    return address.to_uint();
}

std::uint8_t zoneIndex(const std::string &zone, const std::vector<std::string> &zones)
{
    return std::uint8_t(std::find(zones.begin(), zones.end(), zone) - zones.begin());
}

std::string zoneName(std::uint8_t index, const std::vector<std::string> &zones)
{
    if (index >= zones.size()) {
        throw DecodeError("unknown availability zone index " + std::to_string(index));
    }
    return zones[index];
}

/// Writes address, zone, incarnation, role and capacity of an instance.
void saveIdentity(OutputArchive &ar, const InstanceStatus &status, const std::vector<std::string> &zones)
{
    ar(encodeAddress(status.ip),
       zoneIndex(status.zone, zones),
       status.incarnation,
       std::uint8_t(status.role),
       status.capacity);
}

void loadIdentity(InputArchive &ar, InstanceStatus &status, const std::vector<std::string> &zones)
{
    std::uint32_t address = 0;
    std::uint8_t zone = 0;
    std::uint8_t role = 0;
    ar(address, zone, status.incarnation, role, status.capacity);
    status.ip = boost::asio::ip::address_v4(address).to_string();
    status.zone = zoneName(zone, zones);
    status.role = checkedEnum<InstanceRole>(role);
}

/// Encodes an age in milliseconds, at most 65,535.
std::uint16_t encodeAge(Milliseconds age)
{
    return std::uint16_t(std::clamp<std::int64_t>(age.count(), 0, 0xffff));
}

/// Encoded age of an answer that has not been seen.
constexpr std::uint16_t NoAnswer = 0xffff;

void saveSuspect(OutputArchive &ar, const SuspectReport &suspect)
{
    ar(suspect.request,
       suspect.answerAge ? std::min(encodeAge(*suspect.answerAge), std::uint16_t(NoAnswer - 1)) : NoAnswer);
    const auto crashes = std::min(suspect.crashes.size(), CrashSuspects::MaxCrashes);
    saveLength(ar, crashes, CrashSuspects::MaxCrashes);
    for (std::size_t n = 0; n < crashes; ++n) {
        const auto &it = suspect.crashes[n];
        ar(it.process, encodeAge(it.age), std::uint8_t(it.refuted));
    }
}

void loadSuspect(InputArchive &ar, SuspectReport &suspect)
{
    suspect.request = loadNumber<RequestDigest>(ar);
    const auto age = loadNumber<std::uint16_t>(ar);
    if (age != NoAnswer) {
        suspect.answerAge = Milliseconds(age);
    }
    suspect.crashes.resize(loadLength(ar, CrashSuspects::MaxCrashes));
    for (auto &it : suspect.crashes) {
        it.process = loadNumber<ProcessDigest>(ar);
        it.age = Milliseconds(loadNumber<std::uint16_t>(ar));
        BoolField refuted{it.refuted};
        ar(refuted);
    }
}

/// Bits of the byte that says what an upstream has asked for.
constexpr std::uint8_t LeavingBit = 1;
constexpr std::uint8_t RateKnownBit = 2;
constexpr std::uint8_t LimitedBit = 4;
/// Request rates are sent in thousandths of a request per second.
constexpr double RateScale = 1000;

bool isLimited(const std::optional<double> &requestRate)
{
    return requestRate && *requestRate != UpstreamNotice::Unlimited;
}

std::uint8_t encodeNotice(const UpstreamPool::Observation &counts)
{
    return std::uint8_t((counts.leaving ? LeavingBit : 0) | (counts.requestRate ? RateKnownBit : 0)
                        | (isLimited(counts.requestRate) ? LimitedBit : 0));
}

std::uint32_t encodeRate(double requestRate)
{
    return std::uint32_t(std::clamp(requestRate * RateScale, 0.0, double(0xffffffffU)));
}

void loadNotice(InputArchive &ar, UpstreamPool::Observation &counts)
{
    const auto bits = loadNumber<std::uint8_t>(ar);
    if (bits > (LeavingBit | RateKnownBit | LimitedBit)) {
        throw DecodeError("unknown notice of an upstream: " + std::to_string(bits));
    }
    counts.leaving = (bits & LeavingBit) != 0;
    if ((bits & LimitedBit) != 0) {
        counts.requestRate = double(loadNumber<std::uint32_t>(ar)) / RateScale;
    } else if ((bits & RateKnownBit) != 0) {
        counts.requestRate = UpstreamNotice::Unlimited;
    }
}

template <typename Body>
Bytes encode(Body &&body)
{
    WriteBuffer buf;
    std::ostream stream(&buf);
    {
        OutputArchive ar(stream);
        body(ar);
    }
    return std::move(buf.bytes());
}

template <typename Body>
void decode(std::span<const std::uint8_t> bytes, std::uint32_t magic, Body &&body)
{
    ReadBuffer buf(bytes);
    std::istream stream(&buf);
    try {
        BoundedInputArchive ar(buf, stream);
        if (loadNumber<std::uint32_t>(ar) != magic) {
            throw DecodeError("unknown message type");
        }
        body(ar);
    } catch (const cereal::Exception &e) {
        throw DecodeError(e.what());
    }
}

} // namespace

Bytes encodeHeartbeat(const GroupHeartbeat &heartbeat, const std::vector<std::string> &zones)
{
    return encode([&](OutputArchive &ar) {
        ar(HeartbeatMagic);
        saveIdentity(ar, heartbeat.sender, zones);
        ar(heartbeat.sender.load,
           heartbeat.sender.storeRevision.era,
           heartbeat.sender.storeRevision.number,
           heartbeat.sender.storeAgeMs,
           heartbeat.sender.fleetStoreAgeMs,
           heartbeat.sender.storeDigest);
        ar(std::uint8_t(heartbeat.replyRequested));
        const auto instances = std::min(heartbeat.knownInstances.size(), MaxKnownInstances);
        saveLength(ar, instances, MaxKnownInstances);
        for (std::size_t n = 0; n < instances; ++n) {
            saveIdentity(ar, heartbeat.knownInstances[n].status, zones);
            ar(encodeAge(heartbeat.knownInstances[n].age));
        }
        const auto observations = std::min(heartbeat.observations.size(), MaxObservations);
        saveLength(ar, observations, MaxObservations);
        for (std::size_t n = 0; n < observations; ++n) {
            auto it = heartbeat.observations[n];
            ar(StringField{it.service, MaxIdLength},
               StringField{it.counts.id, MaxIdLength},
               std::uint8_t(std::min(it.counts.successes, MaxCount)),
               std::uint8_t(std::min(it.counts.failures, MaxCount)),
               encodeAge(it.counts.successAge),
               encodeNotice(it.counts));
            if (isLimited(it.counts.requestRate)) {
                ar(encodeRate(*it.counts.requestRate));
            }
        }
        const auto suspects = std::min(heartbeat.suspects.size(), MaxSuspectReports);
        saveLength(ar, suspects, MaxSuspectReports);
        for (std::size_t n = 0; n < suspects; ++n) {
            saveSuspect(ar, heartbeat.suspects[n]);
        }
    });
}

GroupHeartbeat decodeHeartbeat(std::span<const std::uint8_t> bytes, const std::vector<std::string> &zones)
{
    GroupHeartbeat heartbeat;
    decode(bytes, HeartbeatMagic, [&](InputArchive &ar) {
        loadIdentity(ar, heartbeat.sender, zones);
        ar(heartbeat.sender.load,
           heartbeat.sender.storeRevision.era,
           heartbeat.sender.storeRevision.number,
           heartbeat.sender.storeAgeMs,
           heartbeat.sender.fleetStoreAgeMs,
           heartbeat.sender.storeDigest);
        BoolField replyRequested{heartbeat.replyRequested};
        ar(replyRequested);
        heartbeat.knownInstances.resize(loadLength(ar, MaxKnownInstances));
        for (auto &it : heartbeat.knownInstances) {
            loadIdentity(ar, it.status, zones);
            it.age = Milliseconds(loadNumber<std::uint16_t>(ar));
        }
        heartbeat.observations.resize(loadLength(ar, MaxObservations));
        for (auto &it : heartbeat.observations) {
            StringField service{it.service, MaxIdLength};
            StringField id{it.counts.id, MaxIdLength};
            ar(service, id);
            it.counts.successes = unsigned(loadNumber<std::uint8_t>(ar));
            it.counts.failures = unsigned(loadNumber<std::uint8_t>(ar));
            it.counts.successAge = Milliseconds(loadNumber<std::uint16_t>(ar));
            loadNotice(ar, it.counts);
        }
        heartbeat.suspects.resize(loadLength(ar, MaxSuspectReports));
        for (auto &it : heartbeat.suspects) {
            loadSuspect(ar, it);
        }
    });
    return heartbeat;
}

Bytes encodeChanges(const MirrorChanges &changes)
{
    return encode([&](OutputArchive &ar) {
        bool complete = changes.complete;
        auto routes = changes.routes;
        bool afterLoss = changes.afterLoss;
        ar(ChangesMagic,
           changes.revision.era,
           changes.revision.number,
           BoolField{complete},
           StringField{routes, MaxItemBytes},
           changes.gapEnd.era,
           changes.gapEnd.number,
           BoolField{afterLoss});
        saveLength(ar, changes.items.size(), MaxItems);
        for (const auto &item : changes.items) {
            auto key = item.key;
            bool compressed = item.compressed != nullptr;
            auto value = compressed ? *item.compressed : item.value;
            bool removed = item.removed;
            bool lapsed = item.lapsed;
            bool listed = item.listed;
            bool postponed = item.postponed;
            ar(StringField{key, MaxKeyLength},
               BoolField{compressed},
               StringField{value, MaxItemBytes},
               item.revision.era,
               item.revision.number,
               BoolField{removed},
               BoolField{lapsed},
               BoolField{listed},
               BoolField{postponed},
               item.knownBefore.era,
               item.knownBefore.number);
        }
    });
}

MirrorChanges decodeChanges(std::span<const std::uint8_t> bytes)
{
    MirrorChanges changes;
    decode(bytes, ChangesMagic, [&](InputArchive &ar) {
        BoolField complete{changes.complete};
        StringField routes{changes.routes, MaxItemBytes};
        BoolField afterLoss{changes.afterLoss};
        ar(changes.revision.era,
           changes.revision.number,
           complete,
           routes,
           changes.gapEnd.era,
           changes.gapEnd.number,
           afterLoss);
        const auto length = loadLength(ar, MaxItems);
        for (std::size_t n = 0; n < length; ++n) {
            auto &item = changes.items.emplace_back();
            StringField key{item.key, MaxKeyLength};
            bool isCompressed = false;
            BoolField compressed{isCompressed};
            StringField value{item.value, MaxItemBytes};
            BoolField removed{item.removed};
            BoolField lapsed{item.lapsed};
            BoolField listed{item.listed};
            BoolField postponed{item.postponed};
            ar(key, compressed, value, item.revision.era, item.revision.number, removed, lapsed, listed, postponed);
            ar(item.knownBefore.era, item.knownBefore.number);
            if (isCompressed) {
                item.compressed = std::make_shared<const std::string>(std::move(item.value));
                item.value = uncompress(*item.compressed, MaxItemBytes);
            }
        }
    });
    return changes;
}

} // namespace laburnumspar::detail
