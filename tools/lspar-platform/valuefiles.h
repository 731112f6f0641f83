#pragma once

#include <boost/json.hpp>

#include <filesystem>
#include <map>
#include <string>

namespace laburnumspar::tools {

/// Reads values by path from a TOML file of `"path" = "text"` pairs, or from a directory tree in which the file
/// teams/shop/services/orders.toml holds the value of /teams/shop/services/orders. Hidden files are skipped. Throws
/// SettingsError.
std::map<std::string, std::string> readValues(const std::filesystem::path &source);

/// Reads the array "instances" from a JSON file. Throws SettingsError.
boost::json::array readInstances(const std::filesystem::path &file);

/// Returns the array "instances" of a JSON text; its elements are not validated. Throws DecodeError.
boost::json::array parseInstances(std::string_view text);

} // namespace laburnumspar::tools
