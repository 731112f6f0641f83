#pragma once

#include "laburnumspar/instancegroup.h"
#include "laburnumspar/upstreamregistry.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar {

/// Divides what concerns an upstream as a whole among the active instances: one of them finds out about its health for
/// all instances, and each has a share of the request rate that the upstream takes. Instances of the upstream's own
/// availability zone come first.
class UpstreamAssignment
{
public:
    explicit UpstreamAssignment(std::string selfIp);

    /// Sets the active instances, including this one if it is active.
    void update(const std::vector<InstanceStatus> &activeInstances);
    /// Whether the upstream is assigned to this instance.
    bool isExplorer(const RegisteredUpstream &upstream) const;
    /// Share of the upstream's request rate that this instance may use. The shares of all instances add up to 1.
    double rateShare(const RegisteredUpstream &upstream) const;

private:
    std::string m_selfIp;
    std::vector<std::string> m_all;
    std::map<std::string, std::vector<std::string>> m_byZone;
};

} // namespace laburnumspar
