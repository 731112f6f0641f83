#pragma once

#include "laburnumspar/fleet.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnumspar {

/// A dispatcher to which an entry instance may send a request.
struct DispatcherCandidate {
    InstanceId id;
    std::string zone;
    bool self = false; ///< the dispatcher is this instance
};

/// Load of one dispatcher of a service as known to an entry instance.
struct DispatcherLoadRecord {
    InstanceId dispatcher;
    ServiceLoad load;
    TimePoint at; ///< when the load was published
    unsigned outstanding = 0; ///< requests sent by this instance and not answered yet
    bool avoided = false; ///< chosen only as a last resort, because its link failed recently
};

/// Last known loads of the dispatchers, corrected by the requests sent since, and the choice between dispatchers.
class DispatcherLoads
{
public:
    /// Stores a load that the dispatcher published; ignored if older than the stored one.
    void update(const InstanceId &dispatcher, const ServiceLoad &load, TimePoint at);
    /// Counts a request sent to the dispatcher as outstanding until recordDone() is called.
    void recordSent(const InstanceId &dispatcher, const std::string &service);
    void recordDone(const InstanceId &dispatcher, const std::string &service);
    /// Avoids the dispatcher until the given time, after a failure of its link. It is then chosen only if every
    /// candidate is avoided.
    void avoidUntil(const InstanceId &dispatcher, TimePoint until);

    /// True if the dispatcher has a free slot according to its last known load.
    bool hasFreeSlot(const InstanceId &dispatcher, const std::string &service) const;
    /// Chooses a dispatcher: the one of the own zone if enough of its slots are free, else a random one weighted by
    /// free slots, else the one with the shorter expected wait of two random ones. Empty if all candidates are
    /// excluded.
    std::optional<InstanceId> choose(const std::string &service,
                                     RequestClass requestClass,
                                     const std::vector<DispatcherCandidate> &candidates,
                                     const std::vector<InstanceId> &exclude,
                                     const std::string &ownZone,
                                     TimePoint now,
                                     std::mt19937_64 &random) const;

    /// Records of all dispatchers and services, for operators.
    std::vector<DispatcherLoadRecord> dump(TimePoint now) const;

private:
    struct Entry {
        ServiceLoad load;
        TimePoint at;
        unsigned outstanding = 0; ///< requests sent and not answered yet
        unsigned outstandingAtUpdate = 0; ///< those of them sent before the last update
    };
    using Key = std::pair<InstanceId, std::string>;

    bool isAvoided(const InstanceId &dispatcher, TimePoint now) const;
    double freeSlots(const Entry &entry) const;
    double expectedWaitUs(const Entry &entry, RequestClass requestClass) const;

    std::map<Key, Entry> m_entries;
    std::map<InstanceId, TimePoint> m_avoidUntil;
};

} // namespace laburnumspar
