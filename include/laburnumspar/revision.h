#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar {

/// Position in the history of the platform's store. A store that returns from an older copy of its content begins a new
/// era and gives out its numbers again, so the number alone does not show which of two revisions is newer.
struct Revision {
    constexpr Revision() = default;
    constexpr Revision(std::uint64_t revisionEra, std::uint64_t revisionNumber)
        : era(revisionEra)
        , number(revisionNumber)
    {
    }

    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0: before the first change

    auto operator<=>(const Revision &) const = default;
};

/// Formats as "ERA.NUMBER".
std::string toString(Revision revision);
/// Parses the text that toString() returns. No value if it is invalid.
std::optional<Revision> parseRevision(std::string_view text);

} // namespace laburnumspar
