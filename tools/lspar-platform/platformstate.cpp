#include "platformstate.h"

#include "laburnumspar/platformdialect.h"

namespace laburnumspar::tools {

std::uint64_t PlatformState::put(const std::string &path, std::string text)
{
    m_values[path] = {++m_version, m_era, std::move(text)};
    return m_version;
}

std::uint64_t PlatformState::setInstances(boost::json::array instances)
{
    m_instances = std::move(instances);
    m_instancesVersion = ++m_version;
    m_instancesEra = m_era;
    return m_version;
}

void PlatformState::replace(const PlatformState &later)
{
    m_era = later.m_era + 1;
}

const PlatformState::Value *PlatformState::find(const std::string &path) const
{
    const auto it = m_values.find(path);
    return it == m_values.end() ? nullptr : &it->second;
}

boost::json::array
PlatformState::changedVersions(std::string_view prefix, std::uint64_t after, std::uint64_t afterEra) const
{
    boost::json::array versions;
    const auto add = [&](std::string_view path, std::uint64_t version, std::uint64_t era) {
        if (version > 0 && std::pair(era, version) > std::pair(afterEra, after)) {
            versions.push_back({{"path", path}, {"version", version}, {"era", era}});
        }
    };
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.starts_with(prefix); ++it) {
        add(it->first, it->second.version, it->second.era);
    }
    if (PlatformInstancesPath.starts_with(prefix)) {
        add(PlatformInstancesPath, m_instancesVersion, m_instancesEra);
    }
    return versions;
}

boost::json::object PlatformState::instances() const
{
    return {{"version", m_instancesVersion}, {"era", m_instancesEra}, {"instances", m_instances}};
}

} // namespace laburnumspar::tools
