#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace laburnumspar::detail {

/// Maximum number of parts of a dotted key in a settings text.
inline constexpr std::size_t MaxKeyParts = 16;

/// Returns the line number of the first key with more than MaxKeyParts parts, or empty if there is none. The result is
/// reliable only up to the first syntax error.
std::optional<std::size_t> findDeepKey(std::string_view text);

} // namespace laburnumspar::detail
