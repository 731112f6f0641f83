#pragma once

#include "laburnumspar/fleet.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar {

/// A dispatcher of a service as an entry instance sees it.
struct DispatcherCandidate {
    InstanceId id;
    std::string zone;
    bool self = false;
};

/// What an entry instance knows about one dispatcher of a service.
struct DispatcherLoadRecord {
    InstanceId dispatcher;
    ServiceLoad load;
    TimePoint at; ///< when the load was published
    unsigned outstanding = 0; ///< requests sent from here and not answered yet
    bool avoided = false; ///< its link has failed a moment ago
};

/// Last known load of the dispatchers, corrected by what has been sent to them since.
class DispatcherLoads
{
public:
    /// Takes over a load that the dispatcher published.
    void update(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at);
    /// Counts a request on its way to the dispatcher, until `recordDone`.
    void recordSent(const InstanceId &dispatcher, const std::string &service);
    void recordDone(const InstanceId &dispatcher, const std::string &service);
    /// A link to the dispatcher failed; it is chosen last until the given time.
    void avoidUntil(const InstanceId &dispatcher, TimePoint until);

    /// True if the dispatcher has a free slot, as far as is known.
    bool hasFreeSlot(const InstanceId &dispatcher, const std::string &service) const;
    /// Picks the dispatcher with the shortest expected wait, near first. Empty if all candidates are excluded.
    std::optional<InstanceId> choose(const std::string &service,
                                     WorkClass workClass,
                                     const std::vector<DispatcherCandidate> &candidates,
                                     const std::vector<InstanceId> &exclude,
                                     const std::string &ownZone,
                                     TimePoint now,
                                     std::mt19937_64 &random) const;

    /// All dispatchers, for operators.
    std::vector<DispatcherLoadRecord> dump(TimePoint now) const;

private:
    struct Entry {
        ServiceLoad load;
        TimePoint at;
        unsigned outstanding = 0; ///< sent from here and not answered yet
        unsigned outstandingAtUpdate = 0;
    };
    using Key = std::pair<InstanceId, std::string>;

    bool isAvoided(const InstanceId &dispatcher, TimePoint now) const;
    double freeSlots(const Entry &entry) const;
    double expectedWaitUs(const Entry &entry, WorkClass workClass) const;

    std::map<Key, Entry> m_entries;
    std::map<InstanceId, TimePoint> m_avoid;
};

} // namespace laburnumspar
