#pragma once

#include "laburnumspar/types.h"
#include "loadstats.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Sums of the counters of all upstreams, by their name in the statistics; maxima for names with "max".
using UpstreamTotals = std::map<std::string, std::int64_t>;

/// Client of the control endpoint of lspar-upstream. Calls block; they throw TransportError.
class UpstreamControl
{
public:
    explicit UpstreamControl(Endpoint control);

    std::vector<Endpoint> addresses() const;
    UpstreamTotals totals() const;
    RequestSeries requestSeries() const;

    struct PostedFault {
        Milliseconds at{0}; ///< in the time of the work series
        std::vector<std::size_t> upstreams;
    };
    PostedFault postFault(const ScenarioFault &fault) const;
    void clearFaults() const;

    /// Number of executions of those keys that were executed at all.
    std::map<std::string, unsigned> executions(const std::vector<std::string> &keys) const;

private:
    std::string call(bool post, const std::string &target, const std::string &body) const;

    Endpoint m_control;
};

} // namespace laburnumspar::tools
