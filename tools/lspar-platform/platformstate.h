#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnumspar::tools {

/// State of the simulated platform: the values and the instance list, each with the version of its last change. All
/// changes take their version from one counter, so versions only increase.
class PlatformState
{
public:
    struct Value {
        std::uint64_t version = 0; ///< version of the last change
        std::string text;
    };

    /// Sets a value and returns its new version. The version increases even if the text is unchanged.
    std::uint64_t put(const std::string &path, std::string text);
    /// Replaces the instance list and returns its new version.
    std::uint64_t setInstances(boost::json::array instances);

    /// Version of the last change of any value or of the instance list.
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Value at a path, or null if there is none.
    const Value *find(const std::string &path) const;
    /// Paths that begin with `prefix` and changed after version `after`, with their versions. The instance list has the
    /// path /instances.
    boost::json::array changedVersions(std::string_view prefix, std::uint64_t after) const;
    /// Body of the response to GET /v1/instances.
    boost::json::object instances() const;

private:
    std::uint64_t m_version = 0;
    std::map<std::string, Value, std::less<>> m_values;
    std::uint64_t m_instancesVersion = 0; ///< 0 until a list is set
    boost::json::array m_instances;
};

} // namespace laburnumspar::tools
