#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/upstreamregistry.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar {

/// Assigns each upstream to one active instance, which finds out about its health for all instances: to one of its own
/// availability zone or, if that has none, of any zone.
class ExplorerAssignment
{
public:
    explicit ExplorerAssignment(std::string selfIp);

    /// Sets the active instances, including this one if it is active.
    void update(const std::vector<InstanceStatus> &activeInstances);
    /// Whether the upstream is assigned to this instance.
    bool isExplorer(const RegisteredUpstream &upstream) const;

private:
    std::string m_selfIp;
    std::vector<std::string> m_all;
    std::map<std::string, std::vector<std::string>> m_byZone;
};

} // namespace laburnumspar
