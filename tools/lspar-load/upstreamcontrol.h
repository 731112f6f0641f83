#pragma once

#include "laburnumspar/types.h"
#include "loadstats.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Counters of all upstreams, by their name in the statistics: the maximum if the name starts with "max", otherwise the
/// sum.
using UpstreamTotals = std::map<std::string, std::int64_t>;

/// Client of the control endpoint of lspar-upstream. All calls block, and throw TransportError if a request fails.
class UpstreamControl
{
public:
    explicit UpstreamControl(Endpoint control);

    /// Addresses of the upstreams.
    std::vector<Endpoint> addresses() const;
    UpstreamTotals totals() const;
    /// Requests received since the start of lspar-upstream.
    RequestSeries requestSeries() const;

    /// Answer to a posted fault.
    struct PostedFault {
        Milliseconds at{0}; ///< on the time axis of requestSeries()
        std::vector<std::size_t> upstreams; ///< indexes of the affected upstreams
    };
    /// Posts the fault now, ignoring its scheduled time.
    PostedFault postFault(const ScenarioFault &fault) const;
    void clearFaults() const;

    /// Number of executions by request key; keys that were never executed are missing.
    std::map<std::string, unsigned> executions(const std::vector<std::string> &keys) const;

private:
    std::string call(bool post, const std::string &target, const std::string &body) const;

    Endpoint m_control;
};

} // namespace laburnumspar::tools
