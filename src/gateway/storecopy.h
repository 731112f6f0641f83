#pragma once

#include "gateway/groupmessages.h"
#include "gateway/serviceregistry.h"

#include <set>

namespace laburnumspar::detail {

/// The copy of the operators' store, and the routes and upstreams that follow from it. Decides which items are newer.
/// Performs no I/O. Not thread-safe.
///
/// When the store returns from an older copy of its own, it has lost its latest changes until they are written again.
/// What is known here stays in use meanwhile, as far as it is more recent than what the store shows.
class StoreCopy
{
public:
    /// A list of the store that arrives in several pages.
    struct Listing {
        std::set<std::string> keys; ///< of the items that were listed
        std::optional<Revision> begin; ///< revision of the first page
    };

    StoreCopy(const PlatformAdapter &adapter, ServiceRegistry &serviceRegistry);

    const StoreMirror &mirror() const
    {
        return m_mirror;
    }
    /// Newest era of the store that it or another instance has reported.
    std::uint64_t era() const
    {
        return m_era;
    }
    /// All changes of the store up to this revision are known. Without a value the store has to be listed.
    std::optional<Revision> position() const
    {
        return m_position;
    }
    /// Revision after which another instance is asked for changes; empty to ask for everything.
    Revision pullPosition() const
    {
        return m_mirror.isConsistent() ? m_mirror.newestRevision() : Revision();
    }
    /// Forgets the position, because the store no longer has the changes after it.
    void forgetPosition()
    {
        m_position.reset();
    }

    /// Records the era in which the store has answered. After a loss, it has to be listed. Returns false if the answer
    /// is older than what is known.
    bool enterEra(std::uint64_t era, TimePoint now);
    /// Returns the newest version of the routes among the items; null if it is known already or there is none. Its
    /// decoded and compressed value may be set before the items are applied.
    StoreItem *newestRoutes(std::vector<StoreItem> &items) const;
    /// Whether the routes in use have this value.
    bool usesRoutes(const SharedText &value) const
    {
        return m_routesItem && m_routesItem->value == value;
    }
    /// Applies a page of a list, which is complete only with the last one. Returns false if the store has lost changes
    /// since the first page, so that the list cannot be completed.
    bool applyPage(PlatformAdapter::Page page, Listing &listing, TimePoint now);
    /// Removes what a complete list does not contain. Does nothing if the store has lost changes since the first page.
    void finishListing(const Listing &listing, TimePoint now);
    /// Applies the changes of the store after a revision. Returns false if the store has lost the revision meanwhile.
    bool applyChanges(PlatformAdapter::Page page, Revision after, TimePoint now);
    /// Applies the changes that another instance has sent, unless it has not noticed a loss of the store yet.
    void applyPull(MirrorChanges changes, TimePoint now);
    /// Grows with each change of what changesAfter() returns.
    std::uint64_t changeCount() const
    {
        return m_mirror.changeCount() + m_routesCount;
    }
    /// Returns what an instance with a copy up to this revision needs to know.
    MirrorChanges changesAfter(Revision revision) const;
    /// Removes retained upstreams whose retention time is over.
    void expire(TimePoint now);
    /// Whether the store lists upstreams that had left before a loss, and that are not in use yet.
    bool hasPostponed() const;
    /// Uses these upstreams if they have outlived their lease. `currentAt`: when the store last answered an instance
    /// whose changes are all known here.
    void usePostponed(TimePoint now, TimePoint currentAt);

private:
    enum class ItemSource : std::uint8_t {
        Peer, ///< another instance; complete up to the revision that it states
        List, ///< a list of the store, which is complete only with its last page
        Changes, ///< the changes of the store
    };

    void passOverOldRoutes(std::vector<StoreItem> &items) const;
    void decodeRoutes(StoreItem &item) const;
    void applyItem(StoreItem item, ItemSource source, TimePoint now);
    void applyRemoval(StoreItem item, ItemSource source, TimePoint now);
    std::optional<DecodedStoreItem> decode(const StoreItem &item) const;
    bool isOlderThanKnown(const DecodedStoreItem &decoded, bool afterLoss) const;
    void use(const DecodedStoreItem &decoded, const StoreItem &item, TimePoint now);
    void useUpstream(const RegisteredUpstream &entry, const StoreItem &item, TimePoint now);
    void mergeKnown(const StoreItem &known, const StoreItem &item, TimePoint now);
    void mergeListed(const StoreItem &known, const StoreItem &item, TimePoint now);
    void joinKnowledge(StoreItem &item, const StoreItem &known, bool left, bool certain) const;
    bool showsDeparture(const StoreItem &listed, const StoreItem &item) const;
    void withdraw(const StoreItem &item);
    void useRoutes(const std::shared_ptr<const RouteTable> &table, const StoreItem &item);
    void useRoutesOfPeer(const MirrorChanges &changes);
    bool retain(const std::string &key, TimePoint now);
    bool isUsed(const std::string &key) const;
    bool isUpstreamKey(const std::string &key) const;
    std::vector<std::string> unlistedKeys(const std::set<std::string> &keys, Revision before) const;
    bool isObsolete(const StoreItem &item, Revision sender, Revision known) const;
    bool isConfirmationDue(TimePoint now) const;
    void advanceTo(Revision revision);

    const PlatformAdapter &m_adapter;
    ServiceRegistry &m_serviceRegistry;
    StoreMirror m_mirror;
    std::uint64_t m_era = 0;
    std::optional<Revision> m_position;
    /// When a loss of the store before m_era was noticed, here or first through others.
    std::optional<TimePoint> m_lostAt;
    Revision m_lostRevision; ///< all changes up to this one were known when m_era began
    std::optional<StoreItem> m_routesItem; ///< item whose routes are in use
    std::uint64_t m_routesCount = 0; ///< of changes of m_routesItem
    bool m_logItems = true; ///< log each changed upstream, and not only the update as a whole
};

} // namespace laburnumspar::detail
