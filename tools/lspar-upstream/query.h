#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar::tools {

/// Path of a request target, without the query.
std::string_view targetPath(std::string_view target);

/// Value of one query parameter; no percent decoding.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

/// Number in a query parameter, or `fallback` if it is missing or not a number.
double queryNumber(std::string_view target, std::string_view name, double fallback);

} // namespace laburnumspar::tools
