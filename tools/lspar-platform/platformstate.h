#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnumspar::tools {

/// State of the simulated platform: the values and the instance list, each with the version and era of its last change.
/// All changes take their version from one counter, so versions only increase within an era. A state that replaces a
/// later one continues in a new era.
class PlatformState
{
public:
    struct Value {
        std::uint64_t version = 0; ///< version of the last change
        std::uint64_t era = 0; ///< era of the last change
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
    std::uint64_t era() const
    {
        return m_era;
    }
    /// Begins a new era, after `later`, whose changes since this state are lost.
    void replace(const PlatformState &later);
    /// Value at a path, or null if there is none.
    const Value *find(const std::string &path) const;
    /// Paths that begin with `prefix` and changed after version `after` of an era, with their versions and eras. The
    /// instance list has the path /instances.
    boost::json::array changedVersions(std::string_view prefix, std::uint64_t after, std::uint64_t afterEra = 0) const;
    /// Body of the response to GET /v1/instances.
    boost::json::object instances() const;

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 0;
    std::map<std::string, Value, std::less<>> m_values;
    std::uint64_t m_instancesVersion = 0; ///< 0 until a list is set
    std::uint64_t m_instancesEra = 0;
    boost::json::array m_instances;
};

} // namespace laburnumspar::tools
