#include "gateway/storecopy.h"

#include "laburnumspar/log.h"

#include <algorithm>

// What a copy does while the store may lack changes that it had acknowledged before a loss.

namespace laburnumspar::detail {

/// Retains an upstream because another instance does. Returns false if it is not in use.
bool StoreCopy::retain(const std::string &key, TimePoint now)
{
    m_serviceRegistry.lapseUpstream(m_adapter.upstreamIdFromKey(key), now);
    return isUsed(key);
}

/// Whether an entry that the store still has would have lapsed if its upstream had left before the loss. Until then it
/// may be one of which the store has lost the removal. An upstream that is alive although its entry had been removed
/// renews the lease of the entry.
bool StoreCopy::isConfirmationDue(TimePoint now) const
{
    const auto lease = m_serviceRegistry.upstreams().leaseDuration();
    return !m_lostAt || now >= *m_lostAt + lease + UpstreamRegistry::ReregistrationTime;
}

/// Joins what the sender of a listed item knew about its upstream before the loss, if there is any, with what was known
/// here. The more recent knowledge counts. `left`: the upstream is known to have left here. `certain`: the same process
/// was leaving, or there is a newer one, which no later change can revoke.
void StoreCopy::joinKnowledge(StoreItem &item, const StoreItem &known, bool left, bool certain) const
{
    // An entry that was only listed, or is retained, does not show that the upstream was serving.
    const bool uncertain = !certain && (known.listed || known.lapsed);
    const auto knownBefore = !uncertain ? std::max(m_lostRevision, known.revision)
        : known.listed                  ? known.knownBefore
                                        : Revision();
    if (certain || knownBefore == item.knownBefore) {
        item.postponed = item.postponed || left;
    } else if (knownBefore > item.knownBefore) {
        item.postponed = left;
    }
    item.knownBefore = std::max(item.knownBefore, knownBefore);
}

/// Joins what another instance knows about an upstream that is known here at the same revision or a newer one. A write
/// since the loss goes before what was known before the loss, and that before an entry that is only listed.
void StoreCopy::mergeKnown(const StoreItem &known, const StoreItem &item, TimePoint now)
{
    if (!known.listed || known.removed || known.lapsed || item.lapsed || !isUpstreamKey(item.key)) {
        return;
    }
    if (known.revision == item.revision) {
        if (!item.removed) {
            mergeListed(known, item, now);
        }
    } else if (item.revision > known.knownBefore && showsDeparture(known, item)) {
        m_lostAt = m_lostAt.value_or(now);
        if (!isConfirmationDue(now)) {
            m_mirror.recordKnowledge(item.key, true, item.revision);
            withdraw(known);
        }
    }
}

void StoreCopy::mergeListed(const StoreItem &known, const StoreItem &item, TimePoint now)
{
    const bool newer = item.knownBefore > known.knownBefore;
    const bool left
        = newer ? item.postponed : known.postponed || (item.knownBefore == known.knownBefore && item.postponed);
    if (item.listed && left && !isConfirmationDue(now)) {
        m_mirror.recordKnowledge(item.key, true, std::max(item.knownBefore, known.knownBefore));
        if (item.postponed) {
            withdraw(known);
        }
        return;
    }
    const auto decoded = decode(item);
    if ((item.listed && !newer) || !decoded || isOlderThanKnown(*decoded, true)) {
        return;
    }
    if (item.listed) {
        m_mirror.recordKnowledge(item.key, false, item.knownBefore);
    } else {
        m_mirror.confirm(item.key);
    }
    use(*decoded, known, now);
}

/// Whether an item of another instance shows that the upstream of a listed one had left before the store lost changes.
bool StoreCopy::showsDeparture(const StoreItem &listed, const StoreItem &item) const
{
    if (item.revision.era >= listed.revision.era || item.removed || item.postponed) {
        return item.revision.era < listed.revision.era;
    }
    const auto before = decode(item);
    const auto after = decode(listed);
    const auto *left = before ? std::get_if<RegisteredUpstream>(&*before) : nullptr;
    const auto *entry = after ? std::get_if<RegisteredUpstream>(&*after) : nullptr;
    return left != nullptr && entry != nullptr && left->startedAtMs >= entry->startedAtMs
        && (left->phase == UpstreamPhase::Draining || left->startedAtMs > entry->startedAtMs);
}

/// Stops using an upstream because another instance knows that it has left. A newer process of it stays in use.
void StoreCopy::withdraw(const StoreItem &item)
{
    const auto decoded = decode(item);
    const auto *entry = decoded ? std::get_if<RegisteredUpstream>(&*decoded) : nullptr;
    const auto *used = entry != nullptr ? m_serviceRegistry.upstreams().find(entry->id) : nullptr;
    if (used != nullptr && used->phase == UpstreamPhase::Serving && used->startedAtMs <= entry->startedAtMs) {
        logEvent(LogLevel::Info,
                 "upstream.removed",
                 {{"upstream", entry->id},
                  {"reason", "had left before the store lost changes"},
                  {"revision", item.revision.number}});
        m_serviceRegistry.withdrawUpstream(entry->id);
    }
}

void StoreCopy::expire(TimePoint now)
{
    for (const auto &id : m_serviceRegistry.expireUpstreams(now)) {
        logEvent(LogLevel::Info,
                 "upstream.removed",
                 {{"upstream", id}, {"reason", "not registered again after the outage"}});
        const auto key = m_adapter.upstreamPrefix + id;
        m_mirror.removeLapsed(key);
        if (const auto *item = m_mirror.find(key); item != nullptr && !item->removed) {
            // The store lists an earlier process of the upstream, which is used only if it outlives its lease.
            m_lostAt = m_lostAt.value_or(now);
            m_mirror.recordKnowledge(key, true, item->knownBefore);
        }
    }
}

bool StoreCopy::hasPostponed() const
{
    return std::any_of(
        m_mirror.items().begin(), m_mirror.items().end(), [](const auto &it) { return it.second.postponed; });
}

void StoreCopy::usePostponed(TimePoint now, TimePoint currentAt)
{
    if (!isConfirmationDue(currentAt)) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_mirror.items()) {
        if (item.postponed) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        m_mirror.confirm(key);
        const auto &item = *m_mirror.find(key);
        const auto decoded = decode(item);
        if (decoded && !isOlderThanKnown(*decoded, true)) {
            use(*decoded, item, now);
        }
    }
}

} // namespace laburnumspar::detail
