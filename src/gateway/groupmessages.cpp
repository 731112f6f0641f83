#include "gateway/groupmessages.h"

#include "detail/codec.h"
#include "gateway/compression.h"
#include "gateway/groupfields.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>

namespace laburnumspar::detail {

namespace {

constexpr std::uint32_t HeartbeatMagic = 0x4c424736; // "LBG6"
constexpr std::uint32_t ChangesMagic = 0x4c424d34; // "LBM4"
std::uint32_t encodeAddress(const std::string &ip)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address_v4(ip, ec);
    if (ec) {
        throw EncodeError("instance address must be IPv4: " + ip);
    }
    return address.to_uint();
}

/// The rule of zone indices among these zones.
WireRule zoneRule(const std::vector<std::string> &zones)
{
    requireInvariant(!zones.empty(), "an instance knows at least its own availability zone");
    auto rule = wire::instance::Zone;
    rule.max = std::min<std::uint64_t>(rule.max, zones.size() - 1);
    return rule;
}

/// Writes address, zone, incarnation, role and capacity of an instance.
void saveIdentity(OutputArchive &ar, const InstanceStatus &status, const std::vector<std::string> &zones)
{
    namespace fields = wire::instance;
    saveField(ar, fields::Address, encodeAddress(status.ip));
    const auto zone = std::find(zones.begin(), zones.end(), status.zone) - zones.begin();
    saveField(ar, zoneRule(zones), std::uint64_t(zone));
    saveField(ar, fields::Incarnation, status.incarnation);
    saveField(ar, fields::Role, std::uint64_t(status.role));
    saveField(ar, fields::Capacity, status.capacity);
}

void loadIdentity(InputArchive &ar, InstanceStatus &status, const std::vector<std::string> &zones)
{
    namespace fields = wire::instance;
    status.ip = boost::asio::ip::address_v4(std::uint32_t(loadField(ar, fields::Address))).to_string();
    status.zone = zones[loadField(ar, zoneRule(zones))];
    status.incarnation = loadField(ar, fields::Incarnation);
    status.role = InstanceRole(loadField(ar, fields::Role));
    status.capacity = std::uint16_t(loadField(ar, fields::Capacity));
}

void saveSender(OutputArchive &ar, const InstanceStatus &sender, const std::vector<std::string> &zones)
{
    namespace fields = wire::sender;
    saveIdentity(ar, sender, zones);
    saveField(ar, fields::Load, sender.load);
    saveField(ar, fields::RequestRate, sender.requestRate);
    saveField(ar, fields::Era, sender.storeRevision.era);
    saveField(ar, fields::Revision, sender.storeRevision.number);
    saveField(ar, fields::StoreAge, sender.storeAgeMs);
    saveField(ar, fields::FleetStoreAge, sender.fleetStoreAgeMs);
    saveField(ar, fields::Digest, sender.storeDigest);
}

void loadSender(InputArchive &ar, InstanceStatus &sender, const std::vector<std::string> &zones)
{
    namespace fields = wire::sender;
    loadIdentity(ar, sender, zones);
    sender.load = std::uint16_t(loadField(ar, fields::Load));
    sender.requestRate = std::uint16_t(loadField(ar, fields::RequestRate));
    sender.storeRevision.era = loadField(ar, fields::Era);
    sender.storeRevision.number = loadField(ar, fields::Revision);
    sender.storeAgeMs = std::uint32_t(loadField(ar, fields::StoreAge));
    sender.fleetStoreAgeMs = std::uint32_t(loadField(ar, fields::FleetStoreAge));
    sender.storeDigest = std::uint32_t(loadField(ar, fields::Digest));
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
    namespace fields = wire::suspect;
    saveField(ar, fields::Request, suspect.request);
    saveField(ar,
              fields::AnswerAge,
              suspect.answerAge ? std::min(encodeAge(*suspect.answerAge), std::uint16_t(NoAnswer - 1)) : NoAnswer);
    const auto crashes = std::min(suspect.crashes.size(), CrashSuspects::MaxCrashes);
    saveField(ar, fields::Crashes, crashes);
    for (std::size_t n = 0; n < crashes; ++n) {
        const auto &it = suspect.crashes[n];
        saveField(ar, wire::crash::Process, it.process);
        saveField(ar, wire::crash::Age, encodeAge(it.age));
        saveField(ar, wire::crash::Refuted, it.refuted ? 1 : 0);
    }
}

void loadSuspect(InputArchive &ar, SuspectReport &suspect)
{
    namespace fields = wire::suspect;
    suspect.request = loadField(ar, fields::Request);
    const auto age = loadField(ar, fields::AnswerAge);
    if (age != NoAnswer) {
        suspect.answerAge = Milliseconds(age);
    }
    suspect.crashes.resize(loadCount(ar, fields::Crashes));
    for (auto &it : suspect.crashes) {
        it.process = loadField(ar, wire::crash::Process);
        it.age = Milliseconds(loadField(ar, wire::crash::Age));
        it.refuted = loadField(ar, wire::crash::Refuted) == 1;
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
    const auto bits = loadField(ar, wire::observation::Notice);
    const bool rateKnown = (bits & RateKnownBit) != 0;
    const bool limited = (bits & LimitedBit) != 0;
    if (limited && !rateKnown) {
        throw DecodeError("field \"" + std::string(wire::observation::Notice.name)
                          + "\" must not limit a rate that is not known");
    }
    counts.leaving = (bits & LeavingBit) != 0;
    if (limited) {
        counts.requestRate = double(loadField(ar, wire::observation::Rate)) / RateScale;
    } else if (rateKnown) {
        counts.requestRate = UpstreamNotice::Unlimited;
    }
}

void saveObservation(OutputArchive &ar, const UpstreamObservation &observation)
{
    namespace fields = wire::observation;
    const auto &counts = observation.counts;
    saveText(ar, fields::Service, observation.service);
    saveText(ar, fields::Upstream, counts.id);
    saveField(ar, fields::Successes, std::min<std::uint64_t>(counts.successes, wire::MaxCount));
    saveField(ar, fields::Failures, std::min<std::uint64_t>(counts.failures, wire::MaxCount));
    saveField(ar, fields::SuccessAge, encodeAge(counts.successAge));
    saveField(ar, fields::Notice, encodeNotice(counts));
    if (isLimited(counts.requestRate)) {
        saveField(ar, fields::Rate, encodeRate(*counts.requestRate));
    }
}

void loadObservation(InputArchive &ar, UpstreamObservation &observation)
{
    namespace fields = wire::observation;
    observation.service = loadText(ar, fields::Service);
    observation.counts.id = loadText(ar, fields::Upstream);
    observation.counts.successes = unsigned(loadField(ar, fields::Successes));
    observation.counts.failures = unsigned(loadField(ar, fields::Failures));
    observation.counts.successAge = Milliseconds(loadField(ar, fields::SuccessAge));
    loadNotice(ar, observation.counts);
}

/// The observations that a datagram can carry. One with a name that is too long must not prevent the others.
std::vector<const UpstreamObservation *> encodableObservations(const std::vector<UpstreamObservation> &observations)
{
    std::vector<const UpstreamObservation *> result;
    for (const auto &it : observations) {
        if (result.size() < MaxObservations && keepsRule(it.service, wire::observation::Service)
            && keepsRule(it.counts.id, wire::observation::Upstream)) {
            result.push_back(&it);
        }
    }
    return result;
}

void saveQuotaReport(OutputArchive &ar, const QuotaReport &report)
{
    namespace fields = wire::quota;
    saveField(ar, fields::Organisation, report.organisation);
    saveField(ar, fields::Demand, encodeRate(report.demand));
    saveField(ar, fields::Drawn, std::min<std::uint64_t>(report.drawn, wire::MaxUint16));
}

void loadQuotaReport(InputArchive &ar, QuotaReport &report)
{
    namespace fields = wire::quota;
    report.organisation = loadField(ar, fields::Organisation);
    report.demand = double(loadField(ar, fields::Demand)) / RateScale;
    report.drawn = unsigned(loadField(ar, fields::Drawn));
}

void saveItem(OutputArchive &ar, const StoreItem &item)
{
    namespace fields = wire::item;
    saveText(ar, fields::Key, item.key);
    saveField(ar, fields::Compressed, item.compressed != nullptr ? 1 : 0);
    saveText(ar, fields::Value, item.compressed != nullptr ? *item.compressed : item.value.str());
    saveField(ar, fields::Era, item.revision.era);
    saveField(ar, fields::Revision, item.revision.number);
    saveField(ar, fields::Removed, item.removed ? 1 : 0);
    saveField(ar, fields::Lapsed, item.lapsed ? 1 : 0);
    saveField(ar, fields::Listed, item.listed ? 1 : 0);
    saveField(ar, fields::Postponed, item.postponed ? 1 : 0);
    saveField(ar, fields::KnownBeforeEra, item.knownBefore.era);
    saveField(ar, fields::KnownBeforeRevision, item.knownBefore.number);
}

void loadItem(InputArchive &ar, StoreItem &item)
{
    namespace fields = wire::item;
    item.key = loadText(ar, fields::Key);
    const bool compressed = loadField(ar, fields::Compressed) == 1;
    auto value = loadText(ar, fields::Value);
    item.revision.era = loadField(ar, fields::Era);
    item.revision.number = loadField(ar, fields::Revision);
    item.removed = loadField(ar, fields::Removed) == 1;
    item.lapsed = loadField(ar, fields::Lapsed) == 1;
    item.listed = loadField(ar, fields::Listed) == 1;
    item.postponed = loadField(ar, fields::Postponed) == 1;
    item.knownBefore.era = loadField(ar, fields::KnownBeforeEra);
    item.knownBefore.number = loadField(ar, fields::KnownBeforeRevision);
    if (compressed) {
        item.compressed = std::make_shared<const std::string>(std::move(value));
        value = uncompress(*item.compressed, wire::MaxItemBytes);
    }
    item.value = std::move(value);
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
        saveSender(ar, heartbeat.sender, zones);
        saveField(ar, wire::sender::ReplyRequested, heartbeat.replyRequested ? 1 : 0);
        const auto instances = std::min(heartbeat.knownInstances.size(), MaxKnownInstances);
        saveField(ar, wire::known::Count, instances);
        for (std::size_t n = 0; n < instances; ++n) {
            saveIdentity(ar, heartbeat.knownInstances[n].status, zones);
            saveField(ar, wire::known::Age, encodeAge(heartbeat.knownInstances[n].age));
        }
        const auto observations = encodableObservations(heartbeat.observations);
        saveField(ar, wire::observation::Count, observations.size());
        for (const auto *it : observations) {
            saveObservation(ar, *it);
        }
        const auto suspects = std::min(heartbeat.suspects.size(), MaxSuspectReports);
        saveField(ar, wire::suspect::Count, suspects);
        for (std::size_t n = 0; n < suspects; ++n) {
            saveSuspect(ar, heartbeat.suspects[n]);
        }
        const auto quotas = std::min(heartbeat.quotas.size(), MaxQuotaReports);
        saveField(ar, wire::quota::Count, quotas);
        for (std::size_t n = 0; n < quotas; ++n) {
            saveQuotaReport(ar, heartbeat.quotas[n]);
        }
    });
}

GroupHeartbeat decodeHeartbeat(std::span<const std::uint8_t> bytes, const std::vector<std::string> &zones)
{
    GroupHeartbeat heartbeat;
    decode(bytes, HeartbeatMagic, [&](InputArchive &ar) {
        loadSender(ar, heartbeat.sender, zones);
        heartbeat.replyRequested = loadField(ar, wire::sender::ReplyRequested) == 1;
        heartbeat.knownInstances.resize(loadCount(ar, wire::known::Count));
        for (auto &it : heartbeat.knownInstances) {
            loadIdentity(ar, it.status, zones);
            it.age = Milliseconds(loadField(ar, wire::known::Age));
        }
        heartbeat.observations.resize(loadCount(ar, wire::observation::Count));
        for (auto &it : heartbeat.observations) {
            loadObservation(ar, it);
        }
        heartbeat.suspects.resize(loadCount(ar, wire::suspect::Count));
        for (auto &it : heartbeat.suspects) {
            loadSuspect(ar, it);
        }
        heartbeat.quotas.resize(loadCount(ar, wire::quota::Count));
        for (auto &it : heartbeat.quotas) {
            loadQuotaReport(ar, it);
        }
    });
    return heartbeat;
}

Bytes encodeChanges(const MirrorChanges &changes)
{
    namespace fields = wire::changes;
    return encode([&](OutputArchive &ar) {
        ar(ChangesMagic);
        saveField(ar, fields::Era, changes.revision.era);
        saveField(ar, fields::Revision, changes.revision.number);
        saveField(ar, fields::Complete, changes.complete ? 1 : 0);
        saveText(ar, fields::Routes, changes.routes.str());
        saveField(ar, fields::GapEra, changes.gapEnd.era);
        saveField(ar, fields::GapRevision, changes.gapEnd.number);
        saveField(ar, fields::AfterLoss, changes.afterLoss ? 1 : 0);
        saveField(ar, fields::Count, changes.items.size());
        for (const auto &item : changes.items) {
            saveItem(ar, item);
        }
    });
}

MirrorChanges decodeChanges(std::span<const std::uint8_t> bytes)
{
    namespace fields = wire::changes;
    MirrorChanges changes;
    decode(bytes, ChangesMagic, [&](InputArchive &ar) {
        changes.revision.era = loadField(ar, fields::Era);
        changes.revision.number = loadField(ar, fields::Revision);
        changes.complete = loadField(ar, fields::Complete) == 1;
        changes.routes = loadText(ar, fields::Routes);
        changes.gapEnd.era = loadField(ar, fields::GapEra);
        changes.gapEnd.number = loadField(ar, fields::GapRevision);
        changes.afterLoss = loadField(ar, fields::AfterLoss) == 1;
        const auto count = loadCount(ar, fields::Count);
        for (std::size_t n = 0; n < count; ++n) {
            loadItem(ar, changes.items.emplace_back());
        }
    });
    return changes;
}

} // namespace laburnumspar::detail
