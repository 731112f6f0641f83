#pragma once

#include "gateway/groupmessages.h"

#include <map>
#include <string>
#include <vector>

namespace laburnumspar::detail {

/// Holds observations of upstreams until they are due for the instances of each availability zone: at once for the zone
/// of the upstream, and for failures, departures and request rates; successes are collected for the other zones, which
/// rarely use the upstream.
class ObservationBuffer
{
public:
    /// Adds an observation for the instances of the given zones.
    void add(const UpstreamObservation &observation, const std::vector<std::string> &zones, TimePoint now);
    /// Removes and returns the observations that are due for the instances of a zone.
    std::vector<UpstreamObservation> takeDue(const std::string &zone, TimePoint now);

private:
    struct Pending {
        UpstreamObservation observation;
        TimePoint newestSuccess;
        TimePoint dueAt;
    };

    std::map<std::string, std::map<std::string, Pending>> m_pending; ///< by zone and identity of the upstream
};

} // namespace laburnumspar::detail
