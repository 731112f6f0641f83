#pragma once

#include "gateway/groupmessages.h"
#include "gateway/httpchannel.h"
#include "gateway/servicetable.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnumspar::detail {

/// Keeps the serviceTable in step with the operators' store: read from the store itself, or from another instance that
/// has read it.
class StoreFollower
{
public:
    struct Hooks {
        /// Something changed that the other instances should know.
        std::function<void()> changed;
    };

    StoreFollower(asio::io_context &context,
                  const GatewaySettings &settings,
                  const PlatformAdapter &adapter,
                  InstanceGroup &group,
                  ServiceTable &serviceTable,
                  Hooks hooks);

    void start();
    /// Ends the wait before the next read of the store, as after a change of the role.
    void wake();
    /// Another instance has told what it knows.
    void receivePeerStatus(const InstanceStatus &status, TimePoint now);
    /// Routes and upstreams are known.
    bool isComplete() const;

    const StoreMirror &mirror() const
    {
        return m_mirror;
    }
    /// Time since the store last answered this instance.
    Milliseconds storeAge(TimePoint now) const;
    /// Time since the store last answered any instance, as far as this one knows.
    Milliseconds fleetStoreAge(TimePoint now) const;
    std::uint64_t storeCalls() const
    {
        return m_storeCalls;
    }

private:
    /// What an instance knew when it was first seen to differ.
    struct Difference {
        std::uint64_t revision = 0;
        std::uint64_t digest = 0;
        bool sameRevision = false; ///< at the revision of this instance: then it is no lag
        TimePoint since;
    };

    awaitable<void> followStore();
    awaitable<void> followPeers();
    awaitable<void> readStore();
    awaitable<bool> readAll();
    awaitable<bool> readChanges();
    awaitable<std::optional<PlatformAdapter::Page>>
    queryStore(const std::string &target, Milliseconds timeout, bool changes);
    /// `after`: 0 pulls everything.
    awaitable<bool> pullFromPeer(const std::string &ip, std::uint64_t after);
    bool peerTimeoutExpired(TimePoint now) const;
    const InstanceStatus *newerPeer(TimePoint now);
    const InstanceStatus *newestPeer(bool ownZoneOnly) const;
    const InstanceStatus *differingPeer(TimePoint now);
    void applyItem(StoreItem item, bool fromPeer, TimePoint now);
    void applyRemoval(const StoreItem &item, TimePoint now);
    bool decodeAndApply(StoreItem &item, TimePoint now);
    void recordStoreAnswer(TimePoint now);
    void recordFleetAnswer(TimePoint at);
    void recordStoreFailure(const std::string &failure, TimePoint now);
    void expire(TimePoint now);
    void announceIfChanged(std::uint64_t before);

    asio::io_context &m_context;
    const GatewaySettings &m_settings;
    const PlatformAdapter &m_adapter;
    InstanceGroup &m_group;
    ServiceTable &m_serviceTable;
    Hooks m_hooks;
    TimePoint m_started;
    Milliseconds m_peerTimeout; ///< time after the start in which another instance may tell what it knows
    HttpChannel m_store;
    asio::steady_timer m_storeTimer;
    asio::steady_timer m_peerTimer;
    StoreMirror m_mirror;
    std::uint64_t m_cursor = 0; ///< the store's changes up to this revision are known; 0: none
    std::map<std::string, std::uint64_t> m_pendingRemovals; ///< revisions of removals that the registry holds back
    std::optional<TimePoint> m_lastStoreAnswer;
    std::optional<TimePoint> m_storeFailedSince;
    std::map<std::string, Difference>
        m_differences; ///< active instances that know something else, though nothing newer
    std::optional<TimePoint> m_otherZoneNewerSince; ///< only instances of other zones know something newer
    std::optional<TimePoint> m_lastFleetAnswer; ///< when the store last answered any instance
    std::uint64_t m_storeCalls = 0;
    std::vector<InstanceStatus> m_peers;
};

} // namespace laburnumspar::detail
