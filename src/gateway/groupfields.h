#pragma once

#include "detail/codec.h"
#include "detail/fieldrule.h"
#include "gateway/crashsuspects.h"
#include "gateway/groupmessages.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

enum class WireType : std::uint8_t {
    Uint8,
    Uint16,
    Uint32,
    Uint64,
    Text, ///< its length as in saveLength(), then its bytes
};

/// What a field of a message between instances has to be.
struct WireRule {
    std::string_view name;
    WireType type;
    std::uint64_t min; ///< smallest number, or shortest text in bytes
    std::uint64_t max; ///< largest number, or longest text in bytes
};

/// Writes a number. Throws EncodeError that names the field if it breaks the rule.
void saveField(OutputArchive &ar, const WireRule &rule, std::uint64_t number);
/// Reads a number. Throws DecodeError that names the field if it is missing or breaks the rule.
std::uint64_t loadField(InputArchive &ar, const WireRule &rule);
/// Reads a number of list elements. Each element takes at least one byte, so a number beyond the unread bytes is
/// rejected before any allocation.
std::size_t loadCount(InputArchive &ar, const WireRule &rule);
void saveText(OutputArchive &ar, const WireRule &rule, std::string_view text);
std::string loadText(InputArchive &ar, const WireRule &rule);
/// Whether the text keeps the rule.
bool keepsRule(std::string_view text, const WireRule &rule);

/// Fields of the messages between instances, in the order in which they are written.
namespace wire {

inline constexpr std::uint64_t MaxUint16 = std::numeric_limits<std::uint16_t>::max();
inline constexpr std::uint64_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();
inline constexpr std::uint64_t MaxUint64 = std::numeric_limits<std::uint64_t>::max();
inline constexpr std::uint64_t MaxRevision = std::uint64_t(MaxExactNumber); // as in the store's replies
inline constexpr std::uint64_t MaxTextBytes = 255;
inline constexpr std::uint64_t MaxItemBytes = 1 << 20;
inline constexpr std::uint64_t MaxItems = 1'000'000;
inline constexpr std::uint64_t MaxCount = 255;
inline constexpr std::uint64_t MaxCapacity = 65'000; // thousandths of a core
inline constexpr std::uint64_t MaxLoad = 60'000; // thousandths of a core

constexpr WireRule flag(std::string_view name)
{
    return {name, WireType::Uint8, 0, 1};
}

constexpr WireRule age(std::string_view name)
{
    return {name, WireType::Uint16, 0, MaxUint16};
}

namespace instance {
inline constexpr WireRule Address{"instance.address", WireType::Uint32, MinUnicastAddress, MaxUnicastAddress};
inline constexpr WireRule Zone{"instance.zone", WireType::Uint8, 0, 255}; // and below the number of zones
inline constexpr WireRule Incarnation{"instance.incarnation", WireType::Uint64, 1, MaxRevision}; // ms since 1970
inline constexpr WireRule Role{"instance.role", WireType::Uint8, 0, EnumNames<InstanceRole>::Names.size() - 1};
inline constexpr WireRule Capacity{"instance.capacity", WireType::Uint16, 1, MaxCapacity};
inline constexpr std::array All{Address, Zone, Incarnation, Role, Capacity};
} // namespace instance

namespace sender {
inline constexpr WireRule Load{"sender.load", WireType::Uint16, 0, MaxLoad};
inline constexpr WireRule RequestRate{"sender.request_rate", WireType::Uint16, 0, MaxUint16};
inline constexpr WireRule Era{"sender.era", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule Revision{"sender.revision", WireType::Uint64, 0, MaxRevision};
inline constexpr WireRule StoreAge{"sender.store_age", WireType::Uint32, 0, MaxUint32};
inline constexpr WireRule FleetStoreAge{"sender.fleet_store_age", WireType::Uint32, 0, MaxUint32};
inline constexpr WireRule Digest{"sender.store_digest", WireType::Uint32, 0, MaxUint32};
inline constexpr WireRule ReplyRequested = flag("reply_requested");
inline constexpr std::array All{Load, RequestRate, Era, Revision, StoreAge, FleetStoreAge, Digest, ReplyRequested};
} // namespace sender

namespace known {
inline constexpr WireRule Count{"known_instances", WireType::Uint8, 0, MaxKnownInstances};
inline constexpr WireRule Age = age("known_instance.age");
} // namespace known

namespace observation {
inline constexpr WireRule Count{"observations", WireType::Uint8, 0, MaxObservations};
inline constexpr WireRule Service{"observation.service", WireType::Text, 1, MaxTextBytes};
inline constexpr WireRule Upstream{"observation.upstream", WireType::Text, 1, MaxTextBytes};
inline constexpr WireRule Successes{"observation.successes", WireType::Uint8, 0, MaxCount};
inline constexpr WireRule Failures{"observation.failures", WireType::Uint8, 0, MaxCount};
inline constexpr WireRule SuccessAge = age("observation.success_age");
inline constexpr WireRule Notice{"observation.notice", WireType::Uint8, 0, 7}; // a limited rate is also a known one
inline constexpr std::array All{Service, Upstream, Successes, Failures, SuccessAge, Notice};
/// Only if the notice has a limited rate.
inline constexpr WireRule Rate{"observation.rate", WireType::Uint32, 0, MaxUint32};
} // namespace observation

namespace suspect {
inline constexpr WireRule Count{"suspects", WireType::Uint8, 0, MaxSuspectReports};
inline constexpr WireRule Request{"suspect.request", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule AnswerAge = age("suspect.answer_age");
inline constexpr WireRule Crashes{"suspect.crashes", WireType::Uint8, 0, CrashSuspects::MaxCrashes};
inline constexpr std::array All{Request, AnswerAge, Crashes};
} // namespace suspect

namespace crash {
inline constexpr WireRule Process{"crash.process", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule Age = age("crash.age");
inline constexpr WireRule Refuted = flag("crash.refuted");
inline constexpr std::array All{Process, Age, Refuted};
} // namespace crash

namespace quota {
inline constexpr WireRule Count{"quotas", WireType::Uint8, 0, MaxQuotaReports};
inline constexpr WireRule Organisation{"quota.organisation", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule Demand{"quota.demand", WireType::Uint32, 0, MaxUint32}; // thousandths of a request per second
inline constexpr WireRule Drawn{"quota.drawn", WireType::Uint16, 0, MaxUint16};
inline constexpr std::array All{Organisation, Demand, Drawn};
} // namespace quota

namespace changes {
inline constexpr WireRule Era{"changes.era", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule Revision{"changes.revision", WireType::Uint64, 0, MaxRevision};
inline constexpr WireRule Complete = flag("changes.complete");
inline constexpr WireRule Routes{"changes.routes", WireType::Text, 0, MaxItemBytes};
inline constexpr WireRule GapEra{"changes.gap_era", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule GapRevision{"changes.gap_revision", WireType::Uint64, 0, MaxRevision};
inline constexpr WireRule AfterLoss = flag("changes.after_loss");
inline constexpr WireRule Count{"items", WireType::Uint32, 0, MaxItems};
inline constexpr std::array All{Era, Revision, Complete, Routes, GapEra, GapRevision, AfterLoss, Count};
} // namespace changes

namespace item {
inline constexpr WireRule Key{"item.key", WireType::Text, 1, MaxTextBytes};
inline constexpr WireRule Compressed = flag("item.compressed");
inline constexpr WireRule Value{"item.value", WireType::Text, 0, MaxItemBytes};
inline constexpr WireRule Era{"item.era", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule Revision{"item.revision", WireType::Uint64, 0, MaxRevision};
inline constexpr WireRule Removed = flag("item.removed");
inline constexpr WireRule Lapsed = flag("item.lapsed");
inline constexpr WireRule Listed = flag("item.listed");
inline constexpr WireRule Postponed = flag("item.postponed");
inline constexpr WireRule KnownBeforeEra{"item.known_before_era", WireType::Uint64, 0, MaxUint64};
inline constexpr WireRule KnownBeforeRevision{"item.known_before_revision", WireType::Uint64, 0, MaxRevision};
inline constexpr std::array All{
    Key, Compressed, Value, Era, Revision, Removed, Lapsed, Listed, Postponed, KnownBeforeEra, KnownBeforeRevision};
} // namespace item

} // namespace wire

} // namespace laburnumspar::detail
