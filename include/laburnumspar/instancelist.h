#pragma once

#include "laburnumspar/fleet.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Settings path of the list of all instances of the fleet.
inline constexpr std::string_view InstanceListPath = "/instances/entries";

/// Settings path of the list of upstreams of a service.
std::string upstreamListPath(std::string_view service);
/// Service of an upstream list path; nothing for any other path.
std::optional<std::string> serviceOfUpstreamList(std::string_view path);

/// Parse the JSON documents at these paths: `{"instances":[{"address","zone","state"}]}` and
/// `{"upstreams":[{"address","zone","state"}]}`, where the state is live, leaving or starting. The result is sorted by
/// address. Throw DecodeError for invalid documents and duplicate addresses; ignore unknown members.
std::vector<InstanceEntry> parseInstanceList(std::string_view text);
std::vector<UpstreamEntry> parseUpstreamList(std::string_view text, const std::string &service);

/// Format the entries as canonical JSON, which does not depend on their order.
std::string formatInstanceList(std::vector<InstanceEntry> entries);
std::string formatUpstreamList(std::vector<UpstreamEntry> entries);

/// Formats the instance list and one upstream list per service; returns the documents by path. A service without
/// upstreams has no document in the result: a document that is already in effect for it has to be replaced by
/// `formatUpstreamList({})`.
std::map<std::string, std::string> formatListDocuments(const std::vector<InstanceEntry> &instances,
                                                       const std::vector<UpstreamEntry> &upstreams);

} // namespace laburnumspar
