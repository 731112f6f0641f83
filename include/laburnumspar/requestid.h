#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar {

/// Identifier of a non-idempotent request. Only the owner may allow the request to run.
struct RequestId {
    InstanceId owner;
    std::uint64_t incarnation = 0; ///< start time of the owner's process
    std::uint64_t sequence = 0; ///< see requestSequence()

    auto operator<=>(const RequestId &) const = default;
};

/// Maximum number of identifiers that one process issues in one second.
inline constexpr std::uint64_t MaxRequestIdsPerSecond = 1U << 20U;

/// A sequence number encodes when it was issued: seconds since the owner started, and a count within that second.
constexpr std::uint64_t requestSequence(std::uint64_t second, std::uint64_t count)
{
    return second * MaxRequestIdsPerSecond + count;
}

/// Second after the start of the owner in which the sequence number was issued.
constexpr std::uint64_t issuedSecond(std::uint64_t sequence)
{
    return sequence / MaxRequestIdsPerSecond;
}

/// Zero-based index of the sequence number within its second.
constexpr std::uint64_t issuedCount(std::uint64_t sequence)
{
    return sequence % MaxRequestIdsPerSecond;
}

/// Base64 text with a checksum, usable in an HTTP header: 36 characters, or 52 with an IPv6 owner. Throws EncodeError
/// if the owner is not an IP address.
std::string toString(const RequestId &id);

/// Parses the text form; std::nullopt unless `text` is exactly what toString() returns for some identifier.
std::optional<RequestId> parseRequestId(std::string_view text);

} // namespace laburnumspar
