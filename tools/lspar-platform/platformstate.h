#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnumspar::tools {

/// State of the platform stand-in: values and the instance list with their versions. One counter numbers all changes,
/// so versions only rise.
class PlatformState
{
public:
    struct Value {
        std::uint64_t version = 0; ///< of its last change
        std::string text;
    };

    /// Returns the new version. Also counts as a change if the text is the same.
    std::uint64_t put(const std::string &path, std::string text);
    std::uint64_t setInstances(boost::json::array instances);

    /// Version of the last change.
    std::uint64_t version() const
    {
        return m_version;
    }
    /// Null if the path has no value.
    const Value *find(const std::string &path) const;
    /// Versions above `after` of the paths that begin with `prefix`; the instance list has the path /instances.
    boost::json::array versions(std::string_view prefix, std::uint64_t after) const;
    /// Reply of /v1/instances.
    boost::json::object instances() const;

private:
    std::uint64_t m_version = 0;
    std::map<std::string, Value, std::less<>> m_values;
    std::uint64_t m_instancesVersion = 0; ///< 0: no list yet
    boost::json::array m_instances;
};

} // namespace laburnumspar::tools
