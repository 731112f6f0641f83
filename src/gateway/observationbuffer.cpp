#include "gateway/observationbuffer.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

/// Time for which successes are collected for other zones. It is short compared with the time in which an upstream
/// changes its state.
constexpr Milliseconds OtherZoneDelay{1000};

} // namespace

void ObservationBuffer::add(const UpstreamObservation &observation,
                            const std::vector<std::string> &zones,
                            TimePoint now)
{
    const auto &counts = observation.counts;
    const bool trialStarted = counts.successes + counts.failures == 0 && !counts.leaving && !counts.requestRate;
    const bool urgent = counts.failures > 0 || counts.leaving || counts.requestRate;
    for (const auto &zone : zones) {
        const bool ownZone = zone == observation.zone;
        if (trialStarted && !ownZone) {
            continue;
        }
        const auto dueAt = ownZone || urgent ? now : now + OtherZoneDelay;
        auto &pending = m_pending[zone];
        const auto [it, added] = pending.try_emplace(counts.id, Pending{observation, now - counts.successAge, dueAt});
        if (!added) {
            it->second.observation.counts.successes += counts.successes;
            it->second.observation.counts.failures += counts.failures;
            it->second.observation.counts.leaving |= counts.leaving;
            if (counts.requestRate) {
                it->second.observation.counts.requestRate = counts.requestRate;
            }
            it->second.newestSuccess = std::max(it->second.newestSuccess, now - counts.successAge);
            it->second.dueAt = std::min(it->second.dueAt, dueAt);
        }
    }
}

std::vector<UpstreamObservation> ObservationBuffer::takeDue(const std::string &zone, TimePoint now)
{
    std::vector<UpstreamObservation> result;
    auto &pending = m_pending[zone];
    for (auto it = pending.begin(); it != pending.end();) {
        if (it->second.dueAt > now) {
            ++it;
            continue;
        }
        it->second.observation.counts.successAge
            = std::chrono::duration_cast<Milliseconds>(now - it->second.newestSuccess);
        result.push_back(std::move(it->second.observation));
        it = pending.erase(it);
    }
    return result;
}

} // namespace laburnumspar::detail
