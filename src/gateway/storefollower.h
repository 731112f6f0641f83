#pragma once

#include "gateway/backgroundworker.h"
#include "gateway/httpchannel.h"
#include "gateway/listingpace.h"
#include "gateway/loopmonitor.h"
#include "gateway/pullsource.h"
#include "gateway/storecopy.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnumspar::detail {

/// Keeps the service registry up to date with the operators' store, which is read directly or through another instance.
class StoreFollower
{
public:
    struct Hooks {
        /// Called after a change that the other instances need to know.
        std::function<void()> changed;
        /// Called after each longer step on the I/O thread.
        StepHook stepEnded{};
    };

    StoreFollower(asio::io_context &context,
                  const GatewaySettings &settings,
                  const PlatformAdapter &adapter,
                  InstanceGroup &group,
                  ServiceRegistry &serviceRegistry,
                  Hooks hooks);

    void start();
    /// Checks at once whether to read the store, for example after a change of the role.
    void wake();
    /// Handles the status that another instance has sent.
    void receivePeerStatus(const InstanceStatus &status, TimePoint now);
    /// Sets the fields that describe this instance's copy of the store.
    void fillStatus(InstanceStatus &status, TimePoint now) const;
    /// Whether routes and upstreams are known.
    bool isComplete() const;

    const StoreCopy &copy() const
    {
        return m_copy;
    }
    const StoreMirror &mirror() const
    {
        return m_copy.mirror();
    }
    /// Time since the store last answered this instance.
    Milliseconds storeAge(TimePoint now) const;
    /// Time since the store last answered any instance, as far as this one knows.
    Milliseconds fleetStoreAge(TimePoint now) const;
    /// Era of the store's history; 0 if the store has stated none.
    std::uint64_t storeEra() const
    {
        return m_copy.era();
    }
    std::uint64_t storeCalls() const
    {
        return m_storeCalls;
    }
    /// Number of requests for the changes that another instance knows, by their success.
    std::uint64_t pulls() const
    {
        return m_pulls;
    }
    std::uint64_t failedPulls() const
    {
        return m_failedPulls;
    }
    /// Number of replies that arrived but were not usable, for example because they were too large.
    std::uint64_t rejectedReplies() const
    {
        return m_rejectedReplies;
    }
    std::uint64_t rejectedPulls() const
    {
        return m_rejectedPulls;
    }

    /// Time for which the worker thread has run until now.
    Clock::duration workerTime(TimePoint now) const
    {
        return m_worker.busyTime(now);
    }

private:
    /// Larger messages and values are decoded by the worker thread; for others the change of threads costs more.
    static constexpr std::size_t MinWorkerBytes = 32 << 10;

    using Step = awaitable<void> (StoreFollower::*)();
    enum class Query : std::uint8_t {
        List,
        Changes,
    };
    struct QueryResult {
        std::optional<PlatformAdapter::Page> page;
        ReplyFailure failure = ReplyFailure::None; ///< why there is no page
    };

    awaitable<void> repeat(Step step, const char *name);
    awaitable<void> followStore();
    awaitable<void> followPeers();
    awaitable<void> readStore();
    /// Lists all items. Returns false if the store gave no usable answer.
    awaitable<bool> readAll();
    /// Lists the items of one prefix, page by page.
    awaitable<ReplyFailure> readPages(const std::string &prefix, StoreCopy::Listing &listing);
    /// Waits for changes after the position. Returns false if the store gave no usable answer.
    awaitable<bool> readChanges();
    awaitable<QueryResult> queryStore(const std::string &target, Milliseconds timeout, Query query);
    /// Decodes a reply with status 200, or 410 for changes that the store no longer has.
    awaitable<QueryResult> decodeReply(const ChannelReply &reply, Query query, TimePoint now);
    static const char *queryName(Query query);
    static bool isHistoryGone(const ChannelReply &reply, Query query);
    /// Records a reply that is not usable. One that would come back leads to a listing of the store.
    QueryResult rejectReply(Query query, ReplyFailure failure, const std::string &error, TimePoint now);
    /// Pulls the changes after a revision, or all items if `after` is empty. Returns true if there were new ones.
    awaitable<bool> pullFromPeer(const std::string &ip, Revision after);
    /// Records the answer of another instance that would come back, and reads the store in its place.
    void rejectPull(const std::string &ip, ReplyFailure failure, const std::string &error, TimePoint now);
    /// Decodes and compresses the newest version of the routes among the items, if it is large, before they are
    /// applied.
    awaitable<void> prepareRoutes(std::vector<StoreItem> &items);
    /// Does the same for the routes that another instance uses.
    awaitable<void> preparePeerRoutes(MirrorChanges &changes);
    awaitable<StoreItem> prepare(StoreItem item);
    bool peerTimeoutExpired(TimePoint now) const;
    bool shallReadStore(TimePoint now) const;
    Milliseconds nextStoreDelay(TimePoint now) const;
    std::optional<std::uint64_t> enterEra(const ChannelReply &reply, TimePoint now);
    void recordStoreAnswer(TimePoint now);
    void recordActivity(TimePoint now);
    void recordFleetAnswer(TimePoint at);
    void recordStoreFailure(const std::string &failure, TimePoint now);
    void announceIfChanged(Revision before);

    asio::io_context &m_context;
    const GatewaySettings &m_settings;
    const PlatformAdapter &m_adapter;
    InstanceGroup &m_group;
    ServiceRegistry &m_serviceRegistry;
    Hooks m_hooks;
    TimePoint m_started;
    TimePoint m_lastActivity; ///< when this instance last did something, such as a check for newer changes
    Milliseconds m_peerTimeout; ///< time after the start in which other instances are expected to report their state
    HttpChannel m_store;
    asio::steady_timer m_storeTimer;
    asio::steady_timer m_peerTimer;
    StoreCopy m_copy;
    PullSource m_source;
    ListingPace m_listingPace;
    TimePoint m_ownReadsUntil; ///< until then, the store is read because pulls were not usable
    BackgroundWorker m_worker;
    std::optional<TimePoint> m_lastStoreAnswer;
    std::optional<TimePoint> m_storeFailedSince;
    std::optional<TimePoint> m_lastFleetAnswer; ///< when the store last answered any instance
    Milliseconds m_storeDelay; ///< until the next check whether to read the store
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_pulls = 0;
    std::uint64_t m_failedPulls = 0;
    std::uint64_t m_rejectedReplies = 0;
    std::uint64_t m_rejectedPulls = 0;
};

} // namespace laburnumspar::detail
