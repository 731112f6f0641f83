#include "gateway/groupmessages.h"

#include "detail/codec.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>

namespace laburnumspar::detail {

namespace {

constexpr std::uint32_t BeatMagic = 0x4c424732; // "LBG2"
constexpr std::uint32_t ChangesMagic = 0x4c424d31; // "LBM1"
constexpr std::size_t MaxIdLength = 255;
constexpr unsigned MaxCount = 255;
constexpr std::size_t MaxKeyLength = 255;
constexpr std::size_t MaxItemBytes = 1 << 20;
constexpr std::size_t MaxItems = 1'000'000;

std::uint32_t packedAddress(const std::string &ip)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address_v4(ip, ec);
    if (ec) {
        throw EncodeError("not an IPv4 address: " + ip);
    }
    return address.to_uint();
}

std::uint8_t zoneIndex(const std::string &zone, const std::vector<std::string> &zones)
{
    return std::uint8_t(std::find(zones.begin(), zones.end(), zone) - zones.begin());
}

std::string zoneNamed(std::uint8_t index, const std::vector<std::string> &zones)
{
    if (index >= zones.size()) {
        throw DecodeError("unknown availability zone " + std::to_string(index));
    }
    return zones[index];
}

void saveIdentity(OutputArchive &ar, const InstanceStatus &status, const std::vector<std::string> &zones)
{
    ar(packedAddress(status.ip),
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
    status.zone = zoneNamed(zone, zones);
    status.role = checkedEnum<InstanceRole>(role);
}

std::uint16_t ageField(Milliseconds age)
{
    return std::uint16_t(std::clamp<std::int64_t>(age.count(), 0, 0xffff));
}

template <typename Body>
Bytes written(Body &&body)
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
void readFrom(std::span<const std::uint8_t> bytes, std::uint32_t magic, Body &&body)
{
    ReadBuffer buf(bytes);
    std::istream stream(&buf);
    try {
        BoundedInputArchive ar(buf, stream);
        if (loadNumber<std::uint32_t>(ar) != magic) {
            throw DecodeError("unknown kind of message");
        }
        body(ar);
    } catch (const cereal::Exception &e) {
        throw DecodeError(e.what());
    }
}

} // namespace

Bytes encodeBeat(const GroupBeat &beat, const std::vector<std::string> &zones)
{
    return written([&](OutputArchive &ar) {
        ar(BeatMagic);
        saveIdentity(ar, beat.sender, zones);
        ar(beat.sender.load,
           beat.sender.storeRevision,
           beat.sender.storeAgeMs,
           beat.sender.fleetStoreAgeMs,
           beat.sender.storeDigest);
        ar(std::uint8_t(beat.answerWanted));
        const auto heard = std::min(beat.heard.size(), MaxHeardInstances);
        saveLength(ar, heard, MaxHeardInstances);
        for (std::size_t n = 0; n < heard; ++n) {
            saveIdentity(ar, beat.heard[n].status, zones);
            ar(ageField(beat.heard[n].age));
        }
        const auto observations = std::min(beat.observations.size(), MaxObservations);
        saveLength(ar, observations, MaxObservations);
        for (std::size_t n = 0; n < observations; ++n) {
            auto it = beat.observations[n];
            ar(StringField{it.service, MaxIdLength},
               StringField{it.counts.id, MaxIdLength},
               std::uint8_t(std::min(it.counts.successes, MaxCount)),
               std::uint8_t(std::min(it.counts.failures, MaxCount)),
               ageField(it.counts.successAge));
        }
    });
}

GroupBeat decodeBeat(std::span<const std::uint8_t> bytes, const std::vector<std::string> &zones)
{
    GroupBeat beat;
    readFrom(bytes, BeatMagic, [&](InputArchive &ar) {
        loadIdentity(ar, beat.sender, zones);
        ar(beat.sender.load,
           beat.sender.storeRevision,
           beat.sender.storeAgeMs,
           beat.sender.fleetStoreAgeMs,
           beat.sender.storeDigest);
        BoolField answerWanted{beat.answerWanted};
        ar(answerWanted);
        beat.heard.resize(loadLength(ar, MaxHeardInstances));
        for (auto &it : beat.heard) {
            loadIdentity(ar, it.status, zones);
            it.age = Milliseconds(loadNumber<std::uint16_t>(ar));
        }
        beat.observations.resize(loadLength(ar, MaxObservations));
        for (auto &it : beat.observations) {
            StringField service{it.service, MaxIdLength};
            StringField id{it.counts.id, MaxIdLength};
            ar(service, id);
            it.counts.successes = unsigned(loadNumber<std::uint8_t>(ar));
            it.counts.failures = unsigned(loadNumber<std::uint8_t>(ar));
            it.counts.successAge = Milliseconds(loadNumber<std::uint16_t>(ar));
        }
    });
    return beat;
}

Bytes encodeChanges(const MirrorChanges &changes)
{
    return written([&](OutputArchive &ar) {
        ar(ChangesMagic, changes.revision);
        saveLength(ar, changes.items.size(), MaxItems);
        for (auto item : changes.items) {
            ar(StringField{item.key, MaxKeyLength},
               StringField{item.value, MaxItemBytes},
               item.revision,
               BoolField{item.removed});
        }
    });
}

MirrorChanges decodeChanges(std::span<const std::uint8_t> bytes)
{
    MirrorChanges changes;
    readFrom(bytes, ChangesMagic, [&](InputArchive &ar) {
        ar(changes.revision);
        const auto length = loadLength(ar, MaxItems);
        for (std::size_t n = 0; n < length; ++n) {
            auto &item = changes.items.emplace_back();
            StringField key{item.key, MaxKeyLength};
            StringField value{item.value, MaxItemBytes};
            BoolField removed{item.removed};
            ar(key, value, item.revision, removed);
        }
    });
    return changes;
}

} // namespace laburnumspar::detail
