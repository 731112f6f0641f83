#pragma once

#include "laburnumspar/fleet.h"
#include "laburnumspar/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Path under which lists and watches report the version of the instance list.
inline constexpr std::string_view PlatformInstancesPath = "/instances";

/// Value of one path.
struct PlatformValue {
    std::string path;
    std::uint64_t version = 0;
    std::string value;

    bool operator==(const PlatformValue &) const = default;
};

/// Versions of some paths.
struct PlatformVersions {
    std::uint64_t version = 0; ///< of the platform; the next watch starts after it
    std::vector<SettingsVersion> values;

    bool operator==(const PlatformVersions &) const = default;
};

/// Live, starting and leaving instances and upstreams.
struct PlatformInstances {
    std::uint64_t version = 0;
    std::vector<InstanceEntry> instances;
    std::vector<UpstreamEntry> upstreams;

    bool operator==(const PlatformInstances &) const = default;
};

/// How a platform service is asked over HTTP, and how its replies read. Implementations are stateless plug-ins.
class PlatformDialect
{
public:
    virtual ~PlatformDialect() = default;

    /// Targets of the GET requests.
    virtual std::string listTarget(std::string_view prefix) const = 0;
    virtual std::string readTarget(std::string_view path) const = 0;
    /// The reply comes when something below `prefix` is newer than `after`, or empty after `wait`.
    virtual std::string watchTarget(std::string_view prefix, std::uint64_t after, Milliseconds wait) const = 0;
    virtual std::string instancesTarget() const = 0;

    /// Parse the bodies of replies with status 200. Throw DecodeError if any part is invalid.
    virtual PlatformVersions parseList(std::string_view body) const = 0;
    virtual PlatformValue parseValue(std::string_view body) const = 0;
    virtual PlatformVersions parseChanges(std::string_view body) const = 0;
    virtual PlatformInstances parseInstances(std::string_view body) const = 0;
};

} // namespace laburnumspar
