#pragma once

#include <string_view>

namespace laburnumspar {

inline constexpr std::string_view Version = "0.1.0";

} // namespace laburnumspar
