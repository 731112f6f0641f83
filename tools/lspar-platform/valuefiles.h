#pragma once

#include <boost/json.hpp>

#include <filesystem>
#include <map>
#include <string>

namespace laburnumspar::tools {

/// Values by path, from a TOML file of `"path" = "text"` pairs or from a folder tree: the file
/// teams/shop/services/orders.toml holds the value of /teams/shop/services/orders; hidden files are left out.
/// Throws SettingsError.
std::map<std::string, std::string> readValues(const std::filesystem::path &source);

/// The member "instances" of a JSON file. Throws SettingsError.
boost::json::array readInstances(const std::filesystem::path &file);

/// The member "instances" of a JSON text; its elements are served as they are. Throws DecodeError.
boost::json::array parseInstances(std::string_view text);

} // namespace laburnumspar::tools
