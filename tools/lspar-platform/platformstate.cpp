#include "platformstate.h"

#include "laburnumspar/platformdialect.h"

namespace laburnumspar::tools {

std::uint64_t PlatformState::put(const std::string &path, std::string text)
{
    m_values[path] = {++m_version, std::move(text)};
    return m_version;
}

std::uint64_t PlatformState::setInstances(boost::json::array instances)
{
    m_instances = std::move(instances);
    m_instancesVersion = ++m_version;
    return m_version;
}

const PlatformState::Value *PlatformState::find(const std::string &path) const
{
    const auto it = m_values.find(path);
    return it == m_values.end() ? nullptr : &it->second;
}

boost::json::array PlatformState::changedVersions(std::string_view prefix, std::uint64_t after) const
{
    boost::json::array versions;
    const auto add = [&](std::string_view path, std::uint64_t version) {
        if (version > after) {
            versions.push_back({{"path", path}, {"version", version}});
        }
    };
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.starts_with(prefix); ++it) {
        add(it->first, it->second.version);
    }
    if (PlatformInstancesPath.starts_with(prefix)) {
        add(PlatformInstancesPath, m_instancesVersion);
    }
    return versions;
}

boost::json::object PlatformState::instances() const
{
    return {{"version", m_instancesVersion}, {"instances", m_instances}};
}

} // namespace laburnumspar::tools
