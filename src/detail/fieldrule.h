#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace laburnumspar::detail {

enum class FieldType : std::uint8_t {
    Text,
    Address, ///< text of the form IP:PORT, with a port above 0
    Ipv4Address, ///< text of an IPv4 address from MinUnicastAddress to MaxUnicastAddress
    Number,
    WholeNumber,
    Boolean,
    Array,
    Object,
};

enum class Presence : std::uint8_t {
    Required,
    Optional, ///< may also be null
};

/// The largest whole number up to which a double holds all of them exactly.
inline constexpr double MaxExactNumber = 9007199254740992; // 2^53
inline constexpr std::uint32_t MinUnicastAddress = 0x01000000; // 1.0.0.0
inline constexpr std::uint32_t MaxUnicastAddress = 0xdfffffff; // 223.255.255.255

/// What a field of a document has to be.
struct FieldRule {
    std::string_view name; ///< of a member; in a settings file a path, with dots
    FieldType type = FieldType::Text;
    Presence presence = Presence::Required;
    double min = 0; ///< smallest number, shortest text in bytes, or fewest elements
    double max = MaxExactNumber; ///< largest number, longest text in bytes, or most elements
    std::span<const std::string_view> words{}; ///< texts that are allowed; empty: any
};

/// Number of elements of an array or object.
struct ElementCount {
    FieldType type = FieldType::Array;
    std::size_t count = 0;
};

/// Value of a field, whatever the format of its document. `std::monostate`: of a type that no rule names.
using FieldValue = std::variant<std::monostate, bool, double, std::string_view, ElementCount>;

bool keepsRule(const FieldValue &value, const FieldRule &rule);
/// Returns what the rule requires, for error messages: "a number from 0 to 5".
std::string describe(const FieldRule &rule);

} // namespace laburnumspar::detail
