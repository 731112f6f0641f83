#include "gateway/storefollower.h"

#include "gateway/changesreply.h"
#include "gateway/compression.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace laburnumspar::detail {

namespace {

/// Interval between reads of the store. Calls are billed, and with many upstreams a watch returns at once because
/// a heartbeat has always been written since.
constexpr Milliseconds ReadInterval{450};
/// Interval between a failed read by an active instance and the next one.
constexpr Milliseconds ActiveRetryInterval{250};
/// Interval between a failed read by an inactive instance that takes over and the next one. There may be many such
/// instances, and calls are billed.
constexpr Milliseconds InactiveRetryInterval{1000};
/// Interval at which both tasks check whether to read the store or to pull changes. A heartbeat with a newer revision
/// ends the wait early.
constexpr Milliseconds PollInterval{300};
/// Used instead of PollInterval while routes or upstreams are unknown.
constexpr Milliseconds IncompletePollInterval{50};
/// Time for which an instance reads the store itself after an unusable pull. Longer than the time until the next pull
/// from the same instance, so that the reads go on if that is not usable either.
constexpr Milliseconds OwnReadsTime{3000};
/// Delay after an unexpected error before a task goes on.
constexpr Milliseconds FailureDelay{500};
/// Time after the start within which other instances are expected to report what they have read. A seed reads the store
/// first, since the others contact it.
constexpr Milliseconds SeedPeerTimeout{100};
/// Range of this time for all other instances. After a power cut all instances start together; the share whose time has
/// passed doubles with each PeerTimeoutDoubling, so that only a few read the store, whatever their number.
constexpr Milliseconds MinPeerTimeout{150};
constexpr Milliseconds MaxPeerTimeout{850};
constexpr Milliseconds PeerTimeoutDoubling{120};
/// Used instead when the whole fleet starts for the first time: there is no traffic yet, so the wait delays no
/// requests.
constexpr Milliseconds FleetStartPeerTimeout{3500};
constexpr std::size_t MaxPullBytes = 64 << 20;

Milliseconds choosePeerTimeout(const GatewaySettings &settings)
{
    if (settings.fleetStart) {
        return FleetStartPeerTimeout;
    }
    if (std::find(settings.seeds.begin(), settings.seeds.end(), settings.peers) != settings.seeds.end()) {
        return SeedPeerTimeout;
    }
    std::random_device random;
    const double share = std::uniform_real_distribution<>(0.001, 1)(random);
    const Milliseconds delay
        = MaxPeerTimeout + Milliseconds(std::int64_t(PeerTimeoutDoubling.count() * std::log2(share)));
    return std::max(delay, MinPeerTimeout);
}

MirrorChanges decodePull(const ChannelReply &reply)
{
    const auto body = reply.headers[http::field::content_encoding] == CompressedEncoding
        ? uncompress(reply.body, MaxPullBytes)
        : reply.body;
    return decodeChanges({reinterpret_cast<const std::uint8_t *>(body.data()), body.size()});
}

/// Sets the decoded and the compressed value of the routes. Leaves an invalid value as it is.
StoreItem prepareItem(const PlatformAdapter &adapter, StoreItem item)
{
    try {
        auto decoded = adapter.decodeItem(item);
        if (auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&decoded)) {
            item.routes = std::move(*table);
        }
        if (item.compressed == nullptr) {
            item.compressed = std::make_shared<const std::string>(compress(item.value.str()));
        }
    } catch (const Error &) {
        // The error is logged when the item is applied.
        item.routes.reset();
    }
    return item;
}

/// The process was paused, or had no processor time, if it did nothing for longer. Both tasks together do something
/// more often.
constexpr Milliseconds MaxInactivity{1000};
/// Reported as the age of an answer if there was none.
constexpr Milliseconds Never{3'600'000};

Milliseconds timeSince(const std::optional<TimePoint> &at, TimePoint now)
{
    return at ? std::chrono::duration_cast<Milliseconds>(now - *at) : Never;
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &context,
                             const GatewaySettings &settings,
                             const PlatformAdapter &adapter,
                             InstanceGroup &group,
                             ServiceRegistry &serviceRegistry,
                             Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_adapter(adapter)
    , m_group(group)
    , m_serviceRegistry(serviceRegistry)
    , m_hooks(std::move(hooks))
    , m_started(Clock::now())
    , m_lastActivity(m_started)
    , m_peerTimeout(choosePeerTimeout(settings))
    , m_store(context, settings.store)
    , m_storeTimer(context)
    , m_peerTimer(context)
    , m_copy(adapter, serviceRegistry)
    , m_source(settings.ip, settings.zone, group, m_copy.mirror())
    , m_storeDelay(std::min(m_peerTimeout, PollInterval))
{
}

void StoreFollower::start()
{
    // Two tasks, so that an unanswered call to the store does not delay changes that another instance knows.
    asio::co_spawn(m_context, repeat(&StoreFollower::followStore, "store.follow-store"), [](std::exception_ptr error) {
        handleTaskException(std::move(error), "store.follow-store");
    });
    asio::co_spawn(m_context, repeat(&StoreFollower::followPeers, "store.follow-peers"), [](std::exception_ptr error) {
        handleTaskException(std::move(error), "store.follow-peers");
    });
}

/// Runs the steps of a task without end. An unexpected error ends a step, not the task.
awaitable<void> StoreFollower::repeat(Step step, const char *name)
{
    for (;;) {
        bool failed = false;
        try {
            co_await (this->*step)();
        } catch (const InvariantError &) {
            throw;
        } catch (const std::exception &e) {
            logEvent(LogLevel::Error, "task.failed", {{"where", name}, {"error", e.what()}});
            failed = true;
        }
        if (failed) {
            co_await sleepFor(FailureDelay);
        }
    }
}

void StoreFollower::wake()
{
    m_storeTimer.cancel();
}

void StoreFollower::receivePeerStatus(const InstanceStatus &status, TimePoint now)
{
    if (const Milliseconds age(status.fleetStoreAgeMs); age < Never) {
        recordFleetAnswer(now - age);
    }
    if (status.storeRevision > m_copy.mirror().newestRevision()) {
        m_peerTimer.cancel();
    }
}

/// Whether the other instances have failed to provide routes and upstreams in time after the start.
bool StoreFollower::peerTimeoutExpired(TimePoint now) const
{
    return !isComplete() && now - m_started >= m_peerTimeout;
}

bool StoreFollower::isComplete() const
{
    return m_serviceRegistry.routes() != nullptr && !m_serviceRegistry.upstreams().records().empty();
}

Milliseconds StoreFollower::storeAge(TimePoint now) const
{
    return timeSince(m_lastStoreAnswer, now);
}

Milliseconds StoreFollower::fleetStoreAge(TimePoint now) const
{
    return timeSince(m_lastFleetAnswer, now);
}

void StoreFollower::fillStatus(InstanceStatus &status, TimePoint now) const
{
    status.storeRevision = m_copy.mirror().newestRevision();
    status.storeAgeMs = std::uint32_t(storeAge(now).count());
    status.fleetStoreAgeMs = std::uint32_t(fleetStoreAge(now).count());
    status.storeDigest = m_copy.mirror().digest();
}

/// Waits, and reads the store if that is the task of this instance.
awaitable<void> StoreFollower::followStore()
{
    m_storeTimer.expires_after(m_storeDelay);
    co_await m_storeTimer.async_wait(NoThrowAwaitable);
    const auto now = Clock::now();
    const auto before = m_copy.mirror().newestRevision();
    m_copy.expire(now);
    if (m_copy.hasPostponed() && m_lastFleetAnswer && !m_source.isBehind(now)) {
        m_copy.usePostponed(now, *m_lastFleetAnswer);
    }
    announceIfChanged(before);
    m_storeDelay = isComplete() ? PollInterval : IncompletePollInterval;
    if (shallReadStore(now)) {
        co_await readStore();
        m_storeDelay = nextStoreDelay(now);
    }
}

bool StoreFollower::shallReadStore(TimePoint now) const
{
    return m_group.isStoreReader(fleetStoreAge(now), now) || peerTimeoutExpired(now) || now < m_ownReadsUntil;
}

/// Returns the time from a read of the store until the next one.
Milliseconds StoreFollower::nextStoreDelay(TimePoint now) const
{
    if (m_group.self().role == InstanceRole::Active) {
        return m_storeFailedSince ? ActiveRetryInterval : ReadInterval;
    }
    return m_storeFailedSince || now < m_ownReadsUntil ? InactiveRetryInterval : ReadInterval;
}

/// Pulls newer changes from another instance, or waits until there may be some.
awaitable<void> StoreFollower::followPeers()
{
    const auto now = Clock::now();
    recordActivity(now);
    const auto *peer = m_source.newer(now);
    const bool avoided = peer != nullptr && m_source.isAvoided(peer->ip, now);
    if (peer != nullptr) {
        const bool changed = co_await pullFromPeer(peer->ip, m_copy.pullPosition());
        // After a failure, another instance is asked at once. Each is avoided after its own failure, so this ends.
        if (changed || (!avoided && m_source.isAvoided(peer->ip, Clock::now()))) {
            co_return;
        }
    }
    if (const auto *differing = m_source.differing(now); differing != nullptr) {
        logEvent(LogLevel::Info,
                 "group.differs",
                 {{"from", differing->ip}, {"revision", m_copy.mirror().newestRevision().number}});
        co_await pullFromPeer(differing->ip, {});
    }
    m_peerTimer.expires_after(PollInterval);
    co_await m_peerTimer.async_wait(NoThrowAwaitable);
}

awaitable<bool> StoreFollower::pullFromPeer(const std::string &ip, Revision after)
{
    HttpChannel channel(m_context, {ip, m_settings.peers.port}, CompressedEncoding);
    const auto before = m_copy.mirror().newestRevision();
    const auto begin = Clock::now();
    const auto timeout = m_source.timeout(ip);
    auto reply = co_await channel.get(changesTarget(after), timeout);
    const auto now = Clock::now();
    const std::int64_t took = std::chrono::duration_cast<Milliseconds>(now - begin).count();
    const auto failure = reply.status == 0 ? reply.failure : statusFailure(reply.status);
    if (reply.status != 200 && isPersistent(failure)) {
        rejectPull(ip, failure, reply.status == 0 ? reply.error : "HTTP status " + std::to_string(reply.status), now);
        co_return false;
    }
    if (reply.status != 200) {
        ++m_failedPulls;
        logEvent(
            LogLevel::Warning,
            "group.pull-failed",
            {{"from", ip}, {"after", after.number}, {"status", reply.status}, {"error", reply.error}, {"ms", took}});
        // A refused or broken connection shows that the instance is gone. One that does not answer in time may only be
        // busy with a large change; its statuses decide.
        if (now - begin < timeout) {
            m_group.markUnresponsive(ip, now);
        }
        m_source.recordAnswer(ip, false, now);
        co_return false;
    }
    m_source.recordAnswer(ip, true, now);
    try {
        const auto bytes = reply.body.size();
        const auto decode = [&reply] { return decodePull(reply); };
        MirrorChanges changes;
        if (bytes < MinWorkerBytes) {
            changes = decode();
        } else {
            changes = co_await m_worker.run(decode);
        }
        co_await prepareRoutes(changes.items);
        co_await preparePeerRoutes(changes);
        logEvent(LogLevel::Info,
                 "group.pulled",
                 {{"from", ip},
                  {"after", after.number},
                  {"era", changes.revision.era},
                  {"revision", changes.revision.number},
                  {"items", changes.items.size()},
                  {"bytes", bytes},
                  {"ms", took}});
        ++m_pulls;
        const ScopedStep step(m_hooks.stepEnded, "store.apply-pull");
        m_copy.applyPull(std::move(changes), Clock::now());
    } catch (const DecodeError &e) {
        rejectPull(ip, ReplyFailure::Malformed, e.what(), now);
        co_return false;
    }
    if (m_group.self().role == InstanceRole::Active) {
        announceIfChanged(before);
    }
    co_return m_copy.mirror().newestRevision() > before;
}

/// The other instance is alive, so it stays a member of the group. Only its copy of the store cannot be used here.
void StoreFollower::rejectPull(const std::string &ip, ReplyFailure failure, const std::string &error, TimePoint now)
{
    ++m_rejectedPulls;
    logEvent(LogLevel::Error, "group.pull-rejected", {{"from", ip}, {"failure", name(failure)}, {"error", error}});
    m_source.recordRejection(ip, now);
    m_ownReadsUntil = now + OwnReadsTime;
    wake();
}

awaitable<void> StoreFollower::prepareRoutes(std::vector<StoreItem> &items)
{
    auto *routes = m_copy.newestRoutes(items);
    if (routes != nullptr && routes->value.size() >= MinWorkerBytes) {
        *routes = co_await prepare(*routes);
    }
}

awaitable<void> StoreFollower::preparePeerRoutes(MirrorChanges &changes)
{
    if (changes.routes.size() >= MinWorkerBytes && !m_copy.usesRoutes(changes.routes)) {
        StoreItem item;
        item.key = m_adapter.routesPrefix;
        item.value = changes.routes;
        item.revision = changes.revision;
        item = co_await prepare(std::move(item));
        changes.routesTable = std::move(item.routes);
    }
}

awaitable<StoreItem> StoreFollower::prepare(StoreItem item)
{
    const auto calculate = [this, &item] { return prepareItem(m_adapter, item); };
    auto prepared = co_await m_worker.run(calculate);
    prepared.routes = m_worker.destroyLater(std::move(prepared.routes));
    co_return prepared;
}

void StoreFollower::announceIfChanged(Revision before)
{
    if (m_copy.mirror().newestRevision() > before) {
        m_hooks.changed();
    }
}

void StoreFollower::recordStoreAnswer(TimePoint now)
{
    if (m_storeFailedSince) {
        logEvent(LogLevel::Info,
                 "store.regained",
                 {{"seconds", std::chrono::duration<double>(now - *m_storeFailedSince).count()}});
        m_storeFailedSince.reset();
    }
    m_lastStoreAnswer = now;
    recordFleetAnswer(now);
}

/// A pause of the process is not counted as time without an answer of the store.
void StoreFollower::recordActivity(TimePoint now)
{
    if (now - m_lastActivity > MaxInactivity && m_lastFleetAnswer) {
        logEvent(LogLevel::Info,
                 "process.paused",
                 {{"seconds", std::chrono::duration<double>(now - m_lastActivity).count()}});
        *m_lastFleetAnswer += now - m_lastActivity;
    }
    m_lastActivity = now;
}

/// Records an outage only for times in which the store answered no instance. Leases lapse only then, not while this
/// instance alone cannot reach the store.
void StoreFollower::recordFleetAnswer(TimePoint at)
{
    recordActivity(Clock::now());
    if (!m_lastFleetAnswer) {
        m_lastFleetAnswer = at;
    } else if (at > *m_lastFleetAnswer) {
        m_serviceRegistry.upstreams().recordOutage(*m_lastFleetAnswer, at);
        m_lastFleetAnswer = at;
    }
}

void StoreFollower::recordStoreFailure(const std::string &failure, TimePoint now)
{
    if (!m_storeFailedSince) {
        logEvent(LogLevel::Warning, "store.lost", {{"error", failure}});
        m_storeFailedSince = m_lastStoreAnswer.value_or(now);
    }
}

} // namespace laburnumspar::detail
