#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar::tools {

/// Path of a request target, without the query.
std::string_view targetPath(std::string_view target);

/// Value of a query parameter, without percent decoding, or nothing if the parameter is missing.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

/// Numeric value of a query parameter, or `fallback` if it is missing or not a finite number.
double queryNumber(std::string_view target, std::string_view name, double fallback);

} // namespace laburnumspar::tools
