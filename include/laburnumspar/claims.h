#pragma once

#include "laburnumspar/requestid.h"
#include "laburnumspar/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspar {

enum class ClaimState : std::uint8_t {
    Run, ///< granted, once per identifier
    InFlight,
    Done, ///< with the stored answer
    NotOwner, ///< of another instance, or of an earlier process at this address
    Expired,
    NeverIssued,
    OtherRequest, ///< the identifier was claimed by a request with another fingerprint
    TableFull, ///< not granted; the request was not run
};

template <>
struct EnumNames<ClaimState> {
    static constexpr std::array<std::string_view, 8> Names{
        "run",
        "in-flight",
        "done",
        "not-owner",
        "expired",
        "never-issued",
        "other-request",
        "table-full",
    };
};

/// How a claimed request ended, for those who ask again.
struct StoredAnswer {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool whole = true; ///< false if the body was too large to keep, or was dropped to make room

    bool operator==(const StoredAnswer &) const = default;
};

struct ClaimResult {
    ClaimState state = ClaimState::NeverIssued;
    std::optional<StoredAnswer> answer; ///< only with Done
};

struct ClaimLimits {
    std::size_t entries = 200'000; ///< claims within the lifetime of their identifiers
    std::size_t answerBytes = 4096; ///< of one stored body
    std::size_t totalAnswerBytes = std::size_t(16) * 1024 * 1024;
    std::chrono::seconds lifetime{600}; ///< of an identifier
};

/// Issues identifiers and grants each one at most once. Not synchronised; time is passed in and must not go back.
class ClaimTable
{
public:
    /// `incarnation` must differ from that of every earlier process at this address.
    ClaimTable(InstanceId owner, std::uint64_t incarnation, TimePoint start, ClaimLimits limits = {});

    /// Up to `count` new identifiers; fewer beyond MaxRequestIdsPerSecond.
    std::vector<RequestId> issue(std::size_t count, TimePoint now);
    /// `fingerprint` is a hash over what the caller asked for; a repeat must have the same one.
    ClaimResult claim(const RequestId &id, TimePoint now, std::uint64_t fingerprint = 0);
    /// Stores how a granted request ended; false if it is not in flight. "Not run" is final as well: another try needs
    /// another identifier, or a duplicate could run after its caller was told otherwise.
    bool complete(const RequestId &id, StoredAnswer answer, TimePoint now);

    std::size_t size() const;
    std::size_t answerBytes() const;

private:
    struct Entry {
        std::uint64_t fingerprint = 0;
        std::optional<StoredAnswer> answer; ///< empty while in flight
    };
    struct Second {
        std::uint64_t issued = 0;
        std::vector<std::uint64_t> claimed; ///< sequence numbers
    };

    std::uint64_t secondOf(TimePoint now) const;
    std::uint64_t firstValidSecond(TimePoint now) const;
    void expire(TimePoint now);
    void dropOldestAnswers();

    InstanceId m_owner;
    std::uint64_t m_incarnation;
    TimePoint m_start;
    ClaimLimits m_limits;
    std::map<std::uint64_t, Second> m_seconds; ///< those in which identifiers were issued
    std::unordered_map<std::uint64_t, Entry> m_entries; ///< by sequence number
    std::deque<std::uint64_t> m_answers; ///< entries with a stored body, oldest first
    std::size_t m_answerBytes = 0;
};

} // namespace laburnumspar
