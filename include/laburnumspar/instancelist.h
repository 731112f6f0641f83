#pragma once

#include "laburnumspar/fleet.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Path of the list of the instances of the fleet.
inline constexpr std::string_view InstanceListPath = "/instances/entries";

/// Path of the list of the upstreams of a service.
std::string upstreamListPath(std::string_view service);
/// Service that an upstream list path names; empty for any other path.
std::optional<std::string> serviceOfUpstreamList(std::string_view path);

/// Parse the JSON documents at these paths: `{"instances":[{"address","zone","state"}]}` and
/// `{"upstreams":[{"address","zone","state"}]}` with the states live, leaving and starting. The result is in the
/// order of the addresses. Throw DecodeError, also for an address that is listed twice; ignore unknown members.
std::vector<InstanceEntry> parseInstanceList(std::string_view text);
std::vector<UpstreamEntry> parseUpstreamList(std::string_view text, const std::string &service);

/// Canonical text: the same entries give the same text, in whichever order they come.
std::string formatInstanceList(std::vector<InstanceEntry> entries);
std::string formatUpstreamList(std::vector<UpstreamEntry> entries);

/// Documents by path for one list of the platform. A service without listed upstreams has no document here: where one
/// is in effect, `upstreamListText({})` replaces it.
std::map<std::string, std::string> formatListDocuments(const std::vector<InstanceEntry> &instances,
                                                       const std::vector<UpstreamEntry> &upstreams);

} // namespace laburnumspar
