#pragma once

#include <string_view>

namespace laburnumspar {

/// Version of the library and its programs.
inline constexpr std::string_view Version = "0.1.0";

} // namespace laburnumspar
