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

/// Result of a claim.
enum class ClaimState : std::uint8_t {
    Granted, ///< the request may run; returned at most once per identifier
    InFlight, ///< granted earlier; the request has not completed
    Done, ///< completed; the result holds the stored answer
    NotOwner, ///< issued by another instance, or by an earlier process at this address
    Expired, ///< the lifetime of the identifier has ended
    NeverIssued, ///< the owner has not issued the identifier
    OtherRequest, ///< already claimed by a request with another fingerprint
    TableFull, ///< not granted, because the table has no space; the request must not run
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

/// Result of a claimed request, kept for retries with the same identifier.
struct StoredAnswer {
    Outcome outcome = Outcome::MayHaveRun;
    Reason reason = Reason::None;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool bodyAvailable = true; ///< false if the body was too large to store, or was evicted

    bool operator==(const StoredAnswer &) const = default;
};

struct ClaimResult {
    ClaimState state = ClaimState::NeverIssued;
    std::optional<StoredAnswer> answer; ///< set if the state is Done
};

/// Limits of a ClaimTable.
struct ClaimLimits {
    std::size_t entries = 200'000; ///< maximum number of claims whose identifiers have not expired
    std::size_t answerBytes = 4096; ///< maximum size of one stored body
    std::size_t totalAnswerBytes = std::size_t(16) * 1024 * 1024; ///< maximum size of all stored bodies
    std::chrono::seconds lifetime{600}; ///< of an identifier, from the second in which it was issued
};

/// Issues request identifiers and grants each one at most once. Not thread-safe; the times passed must not decrease.
class ClaimTable
{
public:
    /// `incarnation` must differ from that of every earlier process at this address.
    ClaimTable(InstanceId owner, std::uint64_t incarnation, TimePoint start, ClaimLimits limits = {});

    /// Up to `count` new identifiers; fewer beyond MaxRequestIdsPerSecond.
    std::vector<RequestId> issue(std::size_t count, TimePoint now);
    /// One new identifier; empty beyond MaxRequestIdsPerSecond.
    std::optional<RequestId> issueOne(TimePoint now);
    /// Claims an identifier for a request. `fingerprint` is a hash of the request; a retry must have the same one.
    ClaimResult claim(const RequestId &id, TimePoint now, std::uint64_t fingerprint = 0);
    /// Stores the result of a granted request; false if it is not in flight. Outcome::NotRun is final as well: a retry
    /// needs a new identifier, because a duplicate could otherwise run after the caller received NotRun.
    bool complete(const RequestId &id, StoredAnswer answer, TimePoint now);

    std::size_t size() const;
    std::size_t answerBytes() const;

private:
    struct Entry {
        std::uint64_t fingerprint = 0;
        std::optional<StoredAnswer> answer; ///< empty while in flight
    };
    /// Identifiers issued within one second.
    struct Second {
        std::uint64_t issued = 0;
        std::vector<std::uint64_t> claimed; ///< sequence numbers of the claimed ones
    };

    std::uint64_t secondOf(TimePoint now) const;
    std::uint64_t firstValidSecond(TimePoint now) const;
    void expire(TimePoint now);
    void evictOldestBodies();

    InstanceId m_owner;
    std::uint64_t m_incarnation;
    TimePoint m_start;
    ClaimLimits m_limits;
    std::map<std::uint64_t, Second> m_seconds; ///< by number of the second since `m_start`
    std::unordered_map<std::uint64_t, Entry> m_entries; ///< by sequence number
    std::deque<std::uint64_t> m_bodyOrder; ///< sequence numbers of the entries with a stored body, oldest first
    std::size_t m_answerBytes = 0;
};

} // namespace laburnumspar
