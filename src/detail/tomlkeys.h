#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace laburnumspar::detail {

/// Most parts of a dotted key in a settings text.
inline constexpr std::size_t MaxKeyParts = 16;

/// Line of the first key, up to the first fault of the text, that has more than MaxKeyParts parts; empty if none has.
std::optional<std::size_t> findDeepKey(std::string_view text);

} // namespace laburnumspar::detail
