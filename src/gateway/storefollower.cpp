#include "gateway/storefollower.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <algorithm>
#include <random>
#include <set>
#include <tuple>

namespace laburnumspar::detail {

namespace {

/// Each call to the store is priced, and with many upstreams there is a heartbeat to report at any moment.
constexpr Milliseconds ReadPause{450};
/// Longest wait of a read for changes. A silent connection is noticed a little later.
constexpr Milliseconds ChangesWait{700};
constexpr Milliseconds ReadTimeout{1000};
constexpr Milliseconds PullTimeout{500};
/// Time after which a difference between instances is no longer one that is just being passed on.
constexpr Milliseconds DifferencePatience{1200};
constexpr Milliseconds PeerFreshness{700};
/// Time after which an instance that is not active fetches news from another availability zone by itself.
constexpr Milliseconds ZonePatience{500};
constexpr Milliseconds FailurePause{250};
/// Instances that stand in are many, and each call is priced.
constexpr Milliseconds StandInPause{1000};
/// Pause between looks at what there is to do; beats of other instances end it.
constexpr Milliseconds IdlePause{300};
/// Time after the start in which other instances are expected to tell what they have read. When the whole fleet starts
/// for the first time there is no traffic yet.
constexpr Milliseconds PeerPatience{100};
constexpr Milliseconds FleetStartPatience{3500};
/// After a power cut all instances start together. The first ones read the store, and the others hear from them.
constexpr Milliseconds PatienceSpread{500};

Milliseconds ageOf(const std::optional<TimePoint> &at, TimePoint now)
{
    constexpr Milliseconds Never{3'600'000};
    return at ? std::chrono::duration_cast<Milliseconds>(now - *at) : Never;
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &context,
                             const GatewaySettings &settings,
                             const PlatformEdge &edge,
                             InstanceGroup &group,
                             ServiceBoard &board,
                             Hooks hooks)
    : m_context(context)
    , m_settings(settings)
    , m_edge(edge)
    , m_group(group)
    , m_board(board)
    , m_hooks(std::move(hooks))
    , m_started(Clock::now())
    , m_patience(PeerPatience + Milliseconds(std::random_device()() % unsigned(PatienceSpread.count())))
    , m_store(context, settings.store)
    , m_storePause(context)
    , m_peerPause(context)
{
}

void StoreFollower::start()
{
    // Two tasks, so that a call which the store does not answer holds up nothing that another instance knows.
    asio::co_spawn(
        m_context,
        [this] { return followStore(); },
        [](std::exception_ptr error) { handleTaskException(std::move(error), "store.follow-store"); });
    asio::co_spawn(
        m_context,
        [this] { return followPeers(); },
        [](std::exception_ptr error) { handleTaskException(std::move(error), "store.follow-peers"); });
}

void StoreFollower::wake()
{
    m_storePause.cancel();
}

void StoreFollower::notePeer(const InstanceStatus &status, TimePoint now)
{
    noteNews(now - Milliseconds(status.fleetStoreAgeMs));
    if (status.storeRevision > m_mirror.newestRevision()) {
        m_peerPause.cancel();
    }
}

/// Nobody has told this instance anything for a while.
bool StoreFollower::mustReadAlone(TimePoint now) const
{
    return !isComplete() && now - m_started >= (m_settings.fleetStart ? FleetStartPatience : m_patience);
}

bool StoreFollower::isComplete() const
{
    return m_board.routes() != nullptr && !m_board.registry().records().empty();
}

Milliseconds StoreFollower::age(TimePoint now) const
{
    return ageOf(m_lastAnswer, now);
}

Milliseconds StoreFollower::newsAge(TimePoint now) const
{
    return ageOf(m_lastNews, now);
}

awaitable<void> StoreFollower::followStore()
{
    Milliseconds pause = m_patience;
    for (;;) {
        m_storePause.expires_after(pause);
        co_await m_storePause.async_wait(NoThrowAwaitable);
        const auto now = Clock::now();
        expire(now);
        pause = IdlePause;
        if (m_group.isStoreReader(newsAge(now), now) || mustReadAlone(now)) {
            co_await readStore();
            const bool active = m_group.self().role == InstanceRole::Active;
            pause = !m_failedSince ? ReadPause : active ? FailurePause : StandInPause;
        }
    }
}

awaitable<void> StoreFollower::followPeers()
{
    for (;;) {
        const auto now = Clock::now();
        const auto *peer = newerPeer(now);
        if (peer != nullptr && co_await pullFromPeer(peer->ip, m_mirror.newestRevision())) {
            continue;
        }
        if (const auto *differing = differingPeer(now); differing != nullptr) {
            logEvent(
                LogLevel::Info, "group.differs", {{"from", differing->ip}, {"revision", m_mirror.newestRevision()}});
            co_await pullFromPeer(differing->ip, 0);
        }
        m_peerPause.expires_after(IdlePause);
        co_await m_peerPause.async_wait(NoThrowAwaitable);
    }
}

/// The instance to ask for what is newer than what is known here. Bytes between availability zones are dear, so only
/// active instances ask elsewhere at once; the others wait for an active one of their own zone, for a while.
const InstanceStatus *StoreFollower::newerPeer(TimePoint now)
{
    m_peers = m_group.members(now);
    const bool near
        = m_group.self().role != InstanceRole::Active && !m_group.activeInstances(m_settings.zone, now).empty();
    const auto *best = newestPeer(near);
    if (best != nullptr || !near) {
        m_newsElsewhereSince.reset();
        return best;
    }
    best = newestPeer(false);
    if (best == nullptr) {
        m_newsElsewhereSince.reset();
        return nullptr;
    }
    m_newsElsewhereSince = m_newsElsewhereSince.value_or(now);
    return now - *m_newsElsewhereSince >= ZonePatience ? best : nullptr;
}

/// The instance that knows the newest change, if it is newer than what is known here; the nearest one of several.
const InstanceStatus *StoreFollower::newestPeer(bool ownZoneOnly) const
{
    const InstanceStatus *best = nullptr;
    for (const auto &it : m_peers) {
        if (it.storeRevision <= m_mirror.newestRevision() || (ownZoneOnly && it.zone != m_settings.zone)) {
            continue;
        }
        // Instances that start together turn to different ones of those that know the same.
        const auto rank = [this](const InstanceStatus &peer) {
            return std::tuple(peer.storeRevision,
                              peer.zone == m_settings.zone,
                              std::hash<std::string>()(m_settings.ip + '/' + peer.ip));
        };
        if (best == nullptr || rank(it) > rank(*best)) {
            best = &it;
        }
    }
    return best;
}

/// An active instance that has known something else for a while: a change that was held back, or whose revision is
/// older than what is known here, does not show by its revision. One that only lags behind a moving store is passed
/// over.
const InstanceStatus *StoreFollower::differingPeer(TimePoint now)
{
    const bool active = m_group.self().role == InstanceRole::Active;
    for (const auto &peer : m_peers) {
        // Of instances that do not send their beats here, only an old digest is known.
        const bool beatsHere = active || peer.zone == m_settings.zone;
        if (peer.role != InstanceRole::Active || !beatsHere || peer.storeDigest == m_mirror.digest()
            || m_group.statusAge(peer.ip, now) >= PeerFreshness) {
            m_differences.erase(peer.ip);
            continue;
        }
        if (peer.storeRevision == 0 || peer.storeRevision > m_mirror.newestRevision()) {
            continue;
        }
        const Difference seen{
            peer.storeRevision, peer.storeDigest, peer.storeRevision == m_mirror.newestRevision(), now};
        auto &known = m_differences.try_emplace(peer.ip, seen).first->second;
        const bool moved = known.revision != seen.revision || known.digest != seen.digest;
        if (!known.sameRevision && (seen.sameRevision || moved)) {
            known = seen;
        }
        if (now - known.since >= DifferencePatience) {
            m_differences.erase(peer.ip);
            return &peer;
        }
    }
    return nullptr;
}

awaitable<bool> StoreFollower::pullFromPeer(const std::string &ip, std::uint64_t after)
{
    HttpChannel channel(m_context, {ip, m_settings.peers.port});
    const auto before = m_mirror.newestRevision();
    const auto reply = co_await channel.get("/changes?after=" + std::to_string(after), PullTimeout);
    const auto now = Clock::now();
    if (reply.status != 200) {
        logEvent(
            LogLevel::Warning, "group.pull-failed", {{"from", ip}, {"status", reply.status}, {"error", reply.failure}});
        m_group.markUnresponsive(ip, now);
        co_return false;
    }
    try {
        auto changes = decodeChanges({reinterpret_cast<const std::uint8_t *>(reply.body.data()), reply.body.size()});
        logEvent(LogLevel::Info,
                 "group.pulled",
                 {{"from", ip}, {"after", after}, {"revision", changes.revision}, {"items", changes.items.size()}});
        for (auto &item : changes.items) {
            applyItem(std::move(item), true, now);
        }
        m_cursor = std::max(m_cursor, changes.revision);
        // Also where nothing in it was new: otherwise the same would be asked for at each beat of the other instance.
        m_mirror.markCompleteUpTo(changes.revision);
    } catch (const DecodeError &e) {
        logEvent(LogLevel::Error, "group.pull-rejected", {{"from", ip}, {"error", e.what()}});
        co_return false;
    }
    if (m_group.self().role == InstanceRole::Active) {
        announceIfChanged(before);
    }
    co_return m_mirror.newestRevision() > before;
}

awaitable<void> StoreFollower::readStore()
{
    const auto before = m_mirror.newestRevision();
    if (m_cursor > 0) {
        co_await readChanges();
    }
    // At first, and at once when the history has gone: what changed in the gap shows only in the whole list.
    if (m_cursor == 0) {
        co_await readAll();
    }
    announceIfChanged(before);
}

void StoreFollower::announceIfChanged(std::uint64_t before)
{
    if (m_mirror.newestRevision() > before) {
        m_hooks.changed();
    }
}

awaitable<bool> StoreFollower::readAll()
{
    std::set<std::string> seen;
    std::uint64_t firstRevision = 0;
    const std::vector<std::string> prefixes{m_edge.upstreamPrefix, m_edge.routesPrefix};
    for (const auto &prefix : prefixes) {
        std::string after;
        bool more = true;
        while (more) {
            const auto target = m_edge.listTarget(prefix, after);
            auto page = co_await callStore(target, ReadTimeout, false);
            if (!page) {
                co_return false;
            }
            const auto now = Clock::now();
            firstRevision = firstRevision == 0 ? page->revision : firstRevision;
            more = page->truncated && !page->items.empty();
            if (more) {
                after = page->items.back().key;
            }
            for (auto &item : page->items) {
                seen.insert(item.key);
                applyItem(std::move(item), false, now);
            }
        }
    }
    // What was known and is not listed has been removed while changes were not read.
    const auto now = Clock::now();
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_mirror.items()) {
        if (!item.removed && key.starts_with(m_edge.upstreamPrefix) && !seen.contains(key)
            && item.revision < firstRevision) {
            gone.push_back(key);
        }
    }
    for (const auto &key : gone) {
        applyItem({key, {}, firstRevision, true}, false, now);
    }
    m_cursor = std::max(m_cursor, firstRevision);
    co_return true;
}

awaitable<bool> StoreFollower::readChanges()
{
    const auto target = m_edge.watchTarget("", m_cursor, ChangesWait);
    auto page = co_await callStore(target, ChangesWait + ReadTimeout / 2, true);
    if (!page) {
        co_return false;
    }
    const auto now = Clock::now();
    for (auto &item : page->items) {
        applyItem(std::move(item), false, now);
    }
    m_cursor = std::max(m_cursor, page->revision);
    co_return true;
}

awaitable<std::optional<PlatformEdge::Page>>
StoreFollower::callStore(const std::string &target, Milliseconds timeout, bool changes)
{
    constexpr unsigned HistoryGone = 410;
    ++m_storeCalls;
    const auto reply = co_await m_store.get(target, timeout);
    const auto now = Clock::now();
    if (reply.status == HistoryGone) {
        logEvent(LogLevel::Warning, "store.history-gone", {{"after", m_cursor}});
        noteAnswer(now);
        m_cursor = 0;
        co_return std::nullopt;
    }
    if (reply.status != 200) {
        noteFailure(reply.status == 0 ? reply.failure : "status " + std::to_string(reply.status), now);
        co_return std::nullopt;
    }
    try {
        auto page = changes ? m_edge.decodeChanges(reply.body) : m_edge.decodePage(reply.body);
        noteAnswer(now);
        co_return page;
    } catch (const DecodeError &e) {
        noteFailure(e.what(), now);
        co_return std::nullopt;
    }
}

void StoreFollower::noteAnswer(TimePoint now)
{
    if (m_failedSince) {
        logEvent(LogLevel::Info,
                 "store.regained",
                 {{"seconds", std::chrono::duration<double>(now - *m_failedSince).count()}});
        m_failedSince.reset();
    }
    m_lastAnswer = now;
    noteNews(now);
}

/// Leases lapse only while the store answers nobody; what one instance cannot reach says nothing of them.
void StoreFollower::noteNews(TimePoint at)
{
    if (!m_lastNews) {
        m_lastNews = at;
    } else if (at > *m_lastNews) {
        m_board.registry().recordOutage(*m_lastNews, at);
        m_lastNews = at;
    }
}

void StoreFollower::noteFailure(const std::string &failure, TimePoint now)
{
    if (!m_failedSince) {
        logEvent(LogLevel::Warning, "store.lost", {{"error", failure}});
        m_failedSince = m_lastAnswer.value_or(now);
    }
}

void StoreFollower::applyItem(StoreItem item, bool fromPeer, TimePoint now)
{
    const auto *known = m_mirror.find(item.key);
    if (known != nullptr && known->revision >= item.revision) {
        return;
    }
    if (item.removed) {
        // What was never known here is no news, unless another instance keeps it.
        if (known != nullptr || fromPeer) {
            applyRemoval(item, now);
        }
        return;
    }
    const bool changed = applyMeaning(item, now);
    if (changed) {
        m_pendingRemovals.erase(item.key);
    }
    // A heartbeat that changes nothing is not kept, unless another instance keeps it: both then know the same.
    if (changed || fromPeer) {
        m_mirror.apply(std::move(item), changed);
    }
}

void StoreFollower::applyRemoval(const StoreItem &item, TimePoint now)
{
    const auto id = m_edge.upstreamOfKey(item.key);
    if (!id.empty() && m_board.registry().find(id) != nullptr && !m_board.removeUpstream(id, now)) {
        logEvent(LogLevel::Info, "upstream.lease-lapsed", {{"upstream", id}, {"revision", item.revision}});
        m_pendingRemovals[item.key] = item.revision;
        return;
    }
    if (!id.empty()) {
        logEvent(LogLevel::Info, "upstream.removed", {{"upstream", id}, {"revision", item.revision}});
    }
    m_mirror.apply(item);
}

/// True if the item says something new.
bool StoreFollower::applyMeaning(StoreItem &item, TimePoint now)
{
    StoreMeaning meaning;
    try {
        meaning = m_edge.decodeItem(item);
    } catch (const Error &e) {
        logEvent(LogLevel::Warning,
                 "store.item-rejected",
                 {{"key", item.key}, {"revision", item.revision}, {"error", e.what()}});
        // An entry that cannot be read names no upstream to use, whatever it said before.
        const auto id = m_edge.upstreamOfKey(item.key);
        return !id.empty() && m_board.removeUpstream(id, now);
    }
    if (const auto *entry = std::get_if<RegisteredUpstream>(&meaning)) {
        item.contentHash = entry->fingerprint();
        const bool changed = m_board.putUpstream(*entry, now);
        if (changed) {
            logEvent(LogLevel::Info,
                     "upstream.changed",
                     {{"upstream", entry->id},
                      {"service", entry->service},
                      {"address", toString(entry->address)},
                      {"phase", name(entry->phase)},
                      {"revision", item.revision}});
        }
        return changed;
    }
    if (const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&meaning)) {
        const bool newer = m_board.applyRoutes(*table);
        logEvent(
            LogLevel::Info,
            newer ? "routes.applied" : "routes.ignored",
            {{"version", (*table)->version()}, {"routes", (*table)->routes().size()}, {"revision", item.revision}});
        return newer;
    }
    return false;
}

void StoreFollower::expire(TimePoint now)
{
    const auto before = m_mirror.newestRevision();
    for (const auto &id : m_board.expireUpstreams(now)) {
        logEvent(LogLevel::Info, "upstream.removed", {{"upstream", id}, {"reason", "not back after the outage"}});
    }
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        if (m_board.registry().find(m_edge.upstreamOfKey(it->first)) == nullptr) {
            // The removal counts from now, so that those who know of later changes hear of it.
            m_mirror.apply({it->first, {}, std::max(it->second, m_cursor), true});
            it = m_pendingRemovals.erase(it);
        } else {
            ++it;
        }
    }
    announceIfChanged(before);
}

} // namespace laburnumspar::detail
