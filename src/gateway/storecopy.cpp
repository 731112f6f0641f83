#include "gateway/storecopy.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <algorithm>
#include <utility>

namespace laburnumspar::detail {

namespace {

/// An update with more items than this is logged as a whole.
constexpr std::size_t MaxItemsLoggedSingly = 40;

/// Content hash of items that cannot be decoded, so that they count as equal.
constexpr std::uint32_t InvalidContent = 1;

/// Returns 0 if the whole value counts.
std::uint32_t contentHash(const std::optional<DecodedStoreItem> &decoded)
{
    const auto *entry = decoded ? std::get_if<RegisteredUpstream>(&*decoded) : nullptr;
    return !decoded ? InvalidContent : entry != nullptr ? entry->fingerprint() : 0;
}

bool hasSameContent(const StoreItem &known, const StoreItem &item)
{
    const bool present = !known.removed && !known.lapsed;
    return present && known.contentHash == item.contentHash && (item.contentHash != 0 || known.value == item.value);
}

StoreItem removalOf(const std::string &key, Revision revision)
{
    StoreItem item;
    item.key = key;
    item.revision = revision;
    item.removed = true;
    return item;
}

} // namespace

StoreCopy::StoreCopy(const PlatformAdapter &adapter, ServiceRegistry &serviceRegistry)
    : m_adapter(adapter)
    , m_serviceRegistry(serviceRegistry)
{
}

bool StoreCopy::enterEra(std::uint64_t era, TimePoint now)
{
    if (era <= m_era) {
        return era == m_era;
    }
    logEvent(
        LogLevel::Info, "store.era", {{"era", era}, {"before", m_era}, {"revision", m_mirror.newestRevision().number}});
    m_era = era;
    m_position.reset();
    m_lostAt.reset();
    m_lostRevision = m_mirror.newestRevision();
    if (!m_mirror.empty()) {
        m_lostAt = now;
        m_serviceRegistry.upstreams().recordLoss(now);
    }
    return true;
}

bool StoreCopy::applyPage(PlatformAdapter::Page page, Listing &listing, TimePoint now)
{
    listing.begin = listing.begin.value_or(page.revision);
    if (listing.begin->era != m_era) {
        return false;
    }
    m_logItems = page.items.size() <= MaxItemsLoggedSingly;
    for (auto &item : page.items) {
        listing.keys.insert(item.key);
        item.listed = true;
        applyItem(std::move(item), ItemSource::List, now);
    }
    m_logItems = true;
    return true;
}

void StoreCopy::finishListing(const Listing &listing, TimePoint now)
{
    // Known entries that are not listed have been removed while no changes were read.
    const auto begin = listing.begin.value_or(Revision());
    if (begin.era != m_era) {
        return;
    }
    const auto removedKeys = unlistedKeys(listing.keys, begin);
    for (const auto &key : removedKeys) {
        applyItem(removalOf(key, begin), ItemSource::List, now);
    }
    m_mirror.recordGap(begin);
    advanceTo(begin);
    m_mirror.markCompleteUpTo(begin);
    logEvent(LogLevel::Info,
             "store.listed",
             {{"items", listing.keys.size()},
              {"removed", removedKeys.size()},
              {"era", begin.era},
              {"revision", begin.number}});
}

bool StoreCopy::applyChanges(PlatformAdapter::Page page, Revision after, TimePoint now)
{
    // After a loss the store has given out the asked revision again, so that it may have answered all the same.
    if (page.revision.era != after.era || page.revision.era != m_era) {
        return false;
    }
    passOverOldRoutes(page.items);
    for (auto &item : page.items) {
        applyItem(std::move(item), ItemSource::Changes, now);
    }
    advanceTo(page.revision);
    return true;
}

StoreItem *StoreCopy::newestRoutes(std::vector<StoreItem> &items) const
{
    const auto newest = std::find_if(items.rbegin(), items.rend(), [this](const StoreItem &it) {
        return it.key == m_adapter.routesPrefix && !it.removed;
    });
    const auto *known = m_mirror.find(m_adapter.routesPrefix);
    const bool newer = newest != items.rend() && (known == nullptr || known->revision < newest->revision);
    return newer ? &*newest : nullptr;
}

/// Removes the versions of the routes that a newer one among the same changes replaces. An invalid one replaces none.
void StoreCopy::passOverOldRoutes(std::vector<StoreItem> &items) const
{
    auto *newest = newestRoutes(items);
    const auto revision = newest != nullptr ? newest->revision : Revision();
    const auto isOlder
        = [&](const StoreItem &it) { return it.key == m_adapter.routesPrefix && it.revision < revision; };
    const auto older = std::count_if(items.begin(), items.end(), isOlder);
    if (older == 0) {
        return;
    }
    if (newest->routes == nullptr) {
        decodeRoutes(*newest);
    }
    if (newest->routes != nullptr) {
        logEvent(LogLevel::Info, "routes.passed-over", {{"versions", older}, {"revision", revision.number}});
        std::erase_if(items, isOlder);
    }
}

void StoreCopy::decodeRoutes(StoreItem &item) const
{
    const auto decoded = decode(item);
    if (const auto *table = decoded ? std::get_if<std::shared_ptr<const RouteTable>>(&*decoded) : nullptr) {
        item.routes = *table;
    }
}

void StoreCopy::applyPull(MirrorChanges changes, TimePoint now)
{
    const auto before = m_mirror.newestRevision();
    if (changes.revision.era < before.era) {
        logEvent(LogLevel::Info, "group.pull-outdated", {{"era", changes.revision.era}, {"known", before.era}});
        return;
    }
    // The sender may be listing the store in an era that its copy has not reached yet.
    auto era = changes.revision.era;
    for (const auto &item : changes.items) {
        era = std::max(era, item.revision.era);
    }
    enterEra(era, now);
    if (changes.afterLoss || era < m_era) {
        m_lostAt = m_lostAt.value_or(now);
    }
    std::set<std::string> keys;
    m_logItems = changes.items.size() <= MaxItemsLoggedSingly;
    for (auto &item : changes.items) {
        if (!item.removed && item.revision.era >= changes.revision.era) {
            keys.insert(item.key);
        }
        if (!isObsolete(item, changes.revision, before)) {
            applyItem(std::move(item), ItemSource::Peer, now);
        }
    }
    m_logItems = true;
    // The first changes of an era contain everything that the store has written in it.
    if (changes.revision > before && (changes.complete || before.era < changes.revision.era)) {
        const auto limit = changes.complete ? changes.revision : Revision(changes.revision.era, 0);
        for (const auto &key : unlistedKeys(keys, limit)) {
            applyItem(removalOf(key, changes.revision), ItemSource::Peer, now);
        }
    }
    if (!changes.routes.empty()) {
        useRoutesOfPeer(changes);
    }
    m_mirror.recordGap(changes.complete ? changes.revision : changes.gapEnd);
    advanceTo(changes.revision);
    // Needed even if nothing was new; otherwise each heartbeat of the other instance would cause the same pull.
    m_mirror.markCompleteUpTo(changes.revision);
}

/// Whether an instance with a copy up to `sender` has sent an item that is gone although no removal is known.
bool StoreCopy::isObsolete(const StoreItem &item, Revision sender, Revision known) const
{
    const auto *own = m_mirror.find(item.key);
    if (item.removed || (own != nullptr && !own->removed) || !isUpstreamKey(item.key)) {
        return false;
    }
    // After a loss, the sender keeps it until it is written again or its retention time is over.
    const bool unconfirmed = item.revision.era < sender.era;
    // It would be known here, had it not been removed since the sender's revision.
    const bool removedSince = sender < known && item.revision <= known;
    return unconfirmed || removedSince;
}

/// Returns the keys of known upstreams that a list lacks although they were written before a revision.
std::vector<std::string> StoreCopy::unlistedKeys(const std::set<std::string> &keys, Revision before) const
{
    std::vector<std::string> unlisted;
    for (const auto &[key, item] : m_mirror.items()) {
        const bool present = !item.removed && !item.lapsed && key.starts_with(m_adapter.upstreamPrefix);
        if (present && !keys.contains(key) && item.revision < before) {
            unlisted.push_back(key);
        }
    }
    return unlisted;
}

void StoreCopy::advanceTo(Revision revision)
{
    if (revision.number > 0 && revision.era == m_era) {
        m_position = std::max(m_position.value_or(revision), revision);
    }
}

void StoreCopy::applyItem(StoreItem item, ItemSource source, TimePoint now)
{
    const auto *known = m_mirror.find(item.key);
    if (known != nullptr && known->revision >= item.revision) {
        // A change that was listed before has not been reported to the other instances yet.
        if (source == ItemSource::Changes && known->revision == item.revision) {
            m_mirror.markCompleteUpTo(item.revision);
        }
        if (source == ItemSource::Peer) {
            mergeKnown(*known, item, now);
        }
        return;
    }
    const bool fromPeer = source == ItemSource::Peer;
    const bool afterLoss = known != nullptr && known->revision.era < item.revision.era;
    // One of which an earlier process is listed is postponed, but in use.
    const bool hadLeft = known != nullptr && (known->removed || (known->postponed && !isUsed(item.key)));
    if (item.removed || (item.lapsed && hadLeft)) {
        // The removal of an unknown upstream is kept, because other instances may know it.
        if (known != nullptr || fromPeer || isUpstreamKey(item.key)) {
            applyRemoval(removalOf(item.key, item.revision), source, now);
        }
        return;
    }
    const auto decoded = decode(item);
    if (decoded && std::holds_alternative<std::monostate>(*decoded)) {
        return;
    }
    item.contentHash = contentHash(decoded);
    // An item that has changed since a known revision of the same era was written in it.
    item.listed = item.listed && (known == nullptr || afterLoss);
    const bool outdated = decoded && isOlderThanKnown(*decoded, afterLoss);
    const bool told = item.postponed;
    if (item.listed && afterLoss && isUpstreamKey(item.key)) {
        joinKnowledge(item, *known, outdated || hadLeft, outdated);
    }
    item.postponed = item.postponed && item.listed && !item.lapsed && !isConfirmationDue(now);
    if (item.postponed) {
        if (told) {
            withdraw(item);
        }
        m_mirror.apply(std::move(item), false);
        return;
    }
    if (!decoded) {
        // An invalid entry names no usable upstream, so the one that it named before is removed.
        m_serviceRegistry.removeUpstream(m_adapter.upstreamIdFromKey(item.key), now);
    } else if (!outdated && !(item.lapsed && isUsed(item.key))) {
        use(*decoded, item, now);
    }
    if (item.lapsed && !retain(item.key, now)) {
        item = removalOf(item.key, item.revision);
    }
    // The item may have been removed and created again since its known revision, and others may have seen the removal.
    const bool recreated = known != nullptr && item.createdRevision > known->revision;
    // The first write after a loss shows that the upstream is alive.
    const bool confirmed = known != nullptr && (known->postponed || (m_lostAt && known->listed)) && !item.listed;
    const bool changed = known == nullptr || recreated || afterLoss || confirmed || !hasSameContent(*known, item);
    // An entry that only renews its heartbeat is not kept. From another instance it is kept, so that both have
    // the same copy. Only changes of the store advance the revision: an older change may be on a later page of a list,
    // and another instance may send items that are newer than the revision up to which its copy is complete.
    if (changed || fromPeer) {
        m_mirror.apply(std::move(item), changed && source == ItemSource::Changes);
    }
}

bool StoreCopy::isUsed(const std::string &key) const
{
    return m_serviceRegistry.upstreams().find(m_adapter.upstreamIdFromKey(key)) != nullptr;
}

bool StoreCopy::isUpstreamKey(const std::string &key) const
{
    return !m_adapter.upstreamIdFromKey(key).empty();
}

void StoreCopy::applyRemoval(StoreItem removal, ItemSource source, TimePoint now)
{
    const auto id = m_adapter.upstreamIdFromKey(removal.key);
    const bool used = isUsed(removal.key);
    // A removal that another instance has read before the last loss is not an effect of the loss.
    const bool beforeLoss = source == ItemSource::Peer && removal.revision.era < m_era;
    if (used && beforeLoss) {
        m_serviceRegistry.withdrawUpstream(id);
    }
    const bool retained = used && !beforeLoss && !m_serviceRegistry.removeUpstream(id, now);
    if (used) {
        logEvent(LogLevel::Info,
                 retained ? "upstream.lease-lapsed" : "upstream.removed",
                 {{"upstream", id}, {"revision", removal.revision.number}});
    }
    const bool advance = source == ItemSource::Changes;
    const auto *known = m_mirror.find(removal.key);
    if (!retained || known == nullptr || known->removed || known->postponed) {
        m_mirror.apply(std::move(removal), advance);
        return;
    }
    // Instances that start meanwhile use the upstream, too.
    auto lapsed = *known;
    lapsed.revision = removal.revision;
    lapsed.lapsed = true;
    m_mirror.apply(std::move(lapsed), advance);
}

/// Returns no value if the item is invalid.
std::optional<DecodedStoreItem> StoreCopy::decode(const StoreItem &item) const
{
    if (item.routes != nullptr) {
        return item.routes;
    }
    try {
        return m_adapter.decodeItem(item);
    } catch (const Error &e) {
        logEvent(LogLevel::Warning,
                 "store.item-rejected",
                 {{"key", item.key}, {"revision", item.revision.number}, {"error", e.what()}});
        return std::nullopt;
    }
}

/// Whether an item shows an earlier state than the known one although its revision is newer. `afterLoss`: the known one
/// is from before a loss of the store.
bool StoreCopy::isOlderThanKnown(const DecodedStoreItem &decoded, bool afterLoss) const
{
    if (const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&decoded)) {
        const auto &routes = m_serviceRegistry.routes();
        return routes != nullptr && (*table)->version() < routes->version();
    }
    const auto *entry = std::get_if<RegisteredUpstream>(&decoded);
    const auto *known = entry != nullptr ? m_serviceRegistry.upstreams().find(entry->id) : nullptr;
    if (known == nullptr) {
        return false;
    }
    if (entry->startedAtMs != known->startedAtMs) {
        return afterLoss && entry->startedAtMs < known->startedAtMs;
    }
    // A process that leaves does not return. Without a start time, only a loss makes it likely that it is the same.
    const bool sameProcess = afterLoss || entry->startedAtMs != 0;
    return sameProcess && known->phase == UpstreamPhase::Draining && entry->phase == UpstreamPhase::Serving;
}

void StoreCopy::use(const DecodedStoreItem &decoded, const StoreItem &item, TimePoint now)
{
    if (const auto *entry = std::get_if<RegisteredUpstream>(&decoded)) {
        useUpstream(*entry, item, now);
    } else if (const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&decoded)) {
        useRoutes(*table, item);
    }
}

void StoreCopy::useUpstream(const RegisteredUpstream &entry, const StoreItem &item, TimePoint now)
{
    const bool changed = m_serviceRegistry.putUpstream(entry, now);
    if (changed && m_logItems) {
        logEvent(LogLevel::Info,
                 "upstream.changed",
                 {{"upstream", entry.id},
                  {"service", entry.service},
                  {"address", toString(entry.address)},
                  {"phase", name(entry.phase)},
                  {"revision", item.revision.number}});
    }
}

void StoreCopy::useRoutes(const std::shared_ptr<const RouteTable> &table, const StoreItem &item)
{
    const bool newer = m_serviceRegistry.applyRoutes(table);
    const auto *organisations = table->organisations();
    if (newer) {
        m_routesItem = item;
        ++m_routesCount;
    }
    logEvent(LogLevel::Info,
             newer ? "routes.applied" : "routes.ignored",
             {{"version", table->version()},
              {"routes", table->routes().size()},
              {"organisations", organisations != nullptr ? organisations->organisations().size() : 0},
              {"keys", organisations != nullptr ? organisations->keyCount() : 0},
              {"revision", item.revision.number}});
}

/// Uses the routes that another instance uses, if they are newer than those in its copy.
void StoreCopy::useRoutesOfPeer(const MirrorChanges &changes)
{
    if (usesRoutes(changes.routes)) {
        return;
    }
    StoreItem item;
    item.key = m_adapter.routesPrefix;
    item.value = changes.routes;
    item.revision = changes.revision;
    item.routes = changes.routesTable;
    const auto decoded = decode(item);
    const auto *table = decoded ? std::get_if<std::shared_ptr<const RouteTable>>(&*decoded) : nullptr;
    if (table != nullptr && !isOlderThanKnown(*decoded, false)) {
        useRoutes(*table, item);
    }
}

MirrorChanges StoreCopy::changesAfter(Revision revision) const
{
    MirrorChanges changes;
    changes.revision = m_mirror.newestRevision();
    changes.complete = revision == Revision() || !m_mirror.hasChangesAfter(revision);
    changes.gapEnd = m_mirror.gapEnd();
    changes.afterLoss = m_lostAt.has_value();
    changes.items = m_mirror.changesAfter(changes.complete ? Revision() : revision);
    const auto *listed = m_mirror.find(m_adapter.routesPrefix);
    if (m_routesItem && changes.complete && (listed == nullptr || listed->value != m_routesItem->value)) {
        changes.routes = m_routesItem->value;
    }
    return changes;
}

} // namespace laburnumspar::detail
