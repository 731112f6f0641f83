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

/// Value stored at a path of the platform.
struct PlatformValue {
    std::string path;
    Revision version; ///< in the era in which the value was written
    std::string value;

    bool operator==(const PlatformValue &) const = default;
};

/// Versions of the values at a set of paths.
struct PlatformVersions {
    Revision version; ///< version of the platform; pass it to the next watch
    std::vector<SettingsVersion> values;

    bool operator==(const PlatformVersions &) const = default;
};

/// Instances and upstreams known to the platform, including starting and leaving ones.
struct PlatformInstances {
    Revision version; ///< in the era in which the list was written
    std::vector<InstanceEntry> instances;
    std::vector<UpstreamEntry> upstreams;
    std::vector<std::string> rejected{}; ///< an error message for each invalid entry, which is left out

    bool operator==(const PlatformInstances &) const = default;
};

/// HTTP protocol of a platform service: targets of the requests and formats of the replies. Implementations are
/// stateless plug-ins.
class PlatformDialect
{
public:
    virtual ~PlatformDialect() = default;

    /// Target of the GET request for the versions of all paths below `prefix`.
    virtual std::string listTarget(std::string_view prefix) const = 0;
    /// Target of the GET request for the value at `path`.
    virtual std::string readTarget(std::string_view path) const = 0;
    /// Target of a long poll. The platform replies when a path below `prefix` has a version above `after`, or with an
    /// empty list after `wait`.
    virtual std::string watchTarget(std::string_view prefix, Revision after, Milliseconds wait) const = 0;
    /// Target of the GET request for the instances and upstreams.
    virtual std::string instancesTarget() const = 0;

    // The functions below parse the bodies of replies with status 200. They throw DecodeError if any part is invalid.

    /// Parses the reply to listTarget().
    virtual PlatformVersions parseList(std::string_view body) const = 0;
    /// Parses the reply to readTarget().
    virtual PlatformValue parseValue(std::string_view body) const = 0;
    /// Parses the reply to watchTarget().
    virtual PlatformVersions parseChanges(std::string_view body) const = 0;
    /// Parses the reply to instancesTarget(). Invalid entries are left out if others are valid.
    virtual PlatformInstances parseInstances(std::string_view body) const = 0;
};

} // namespace laburnumspar
