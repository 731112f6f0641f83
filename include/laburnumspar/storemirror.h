#pragma once

#include "laburnumspar/revision.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumspar {

class RouteTable;

/// Immutable text with its hash. Copies share the memory.
class SharedText
{
public:
    SharedText() = default;
    SharedText(std::string text);
    SharedText(const char *text);

    const std::string &str() const;
    operator const std::string &() const
    {
        return str();
    }
    std::size_t size() const
    {
        return str().size();
    }
    bool empty() const
    {
        return str().empty();
    }
    /// XXH32 of the text, computed when the text was set.
    std::uint32_t hash() const;
    void clear()
    {
        m_content.reset();
    }
    bool operator==(const SharedText &other) const
    {
        return m_content == other.m_content || (hash() == other.hash() && str() == other.str());
    }

private:
    struct Content;
    std::shared_ptr<const Content> m_content; ///< null for an empty text
};

/// One item of the operators' store at a revision, or its removal.
struct StoreItem {
    std::string key;
    SharedText value;
    Revision revision; ///< of the last change
    bool removed = false;
    std::uint32_t contentHash = 0; ///< equal for items of equivalent content; 0: the hash of the value is used
    Revision createdRevision{}; ///< of its creation; empty if unknown
    bool lapsed = false; ///< removed from the store, but retained because the upstream may only have to register again
    bool listed = false; ///< from a list: after a loss of the store, it may show an earlier state than its era suggests
    bool postponed = false; ///< listed after a loss although the upstream is known to have left; not to be used yet
    Revision knownBefore{}; ///< if listed: revision before the loss at which the upstream's state was known, or empty
    std::shared_ptr<const RouteTable> routes{}; ///< decoded value, if these are routes that have been decoded
    std::shared_ptr<const std::string> compressed{}; ///< compressed value, if it has been compressed
};

/// Copy of the parts of the operators' store that instances replicate to each other. For each key the newest revision
/// wins, whichever instance it comes from.
class StoreMirror
{
public:
    enum class ApplyResult : std::uint8_t {
        Unchanged, ///< the known revision is the same or newer
        Applied,
    };

    /// Replaces the known item if this one is newer. `advanceRevision`: whether newestRevision() advances, so that
    /// other instances fetch the item.
    ApplyResult apply(StoreItem item, bool advanceRevision = true);

    /// Records that the mirror contains all changes up to this revision.
    void markCompleteUpTo(Revision revision)
    {
        m_changeCount += revision > m_newestRevision ? 1 : 0;
        m_newestRevision = std::max(m_newestRevision, revision);
    }
    /// Newest revision that is known to be in the mirror; reported to the other instances.
    Revision newestRevision() const
    {
        return m_newestRevision;
    }
    /// Whether the mirror has no item that is newer than newestRevision(), for example of an unfinished list. Changes
    /// after newestRevision() do not show whether such an item was removed.
    bool isConsistent() const
    {
        return m_highestRevision <= m_newestRevision;
    }
    /// Digest of the keys and contents of all items that are neither removed nor lapsed, and of which are postponed.
    /// Independent of revisions and order.
    std::uint32_t digest() const
    {
        return m_digest;
    }
    /// Grows with each change of the items or of what is known about them.
    std::uint64_t changeCount() const
    {
        return m_changeCount;
    }
    bool empty() const
    {
        return m_items.empty();
    }
    const std::map<std::string, StoreItem> &items() const
    {
        return m_items;
    }
    /// Returns the item or its removal; null if the key is unknown.
    const StoreItem *find(const std::string &key) const;
    /// Marks an item as removed if it is lapsed, without a new revision.
    void removeLapsed(const std::string &key);
    /// Records what was known before the loss about the upstream of a listed item, without a new revision.
    void recordKnowledge(const std::string &key, bool postponed, Revision knownBefore);
    /// Marks an item as written in its era, without a new revision, so that it is neither listed nor postponed.
    void confirm(const std::string &key);
    /// Items and removals with a revision above this one.
    std::vector<StoreItem> changesAfter(Revision revision) const;
    /// Records that removals between newestRevision() and `end` may be unknown, because a list replaces the changes.
    void recordGap(Revision end);
    /// End of the newest gap; empty if there is none.
    Revision gapEnd() const
    {
        return m_gaps.empty() ? Revision() : m_gaps.back().end;
    }
    /// Whether changesAfter() has every removal that an instance with a copy up to this revision needs.
    bool hasChangesAfter(Revision revision) const;

private:
    void mark(const std::string &key, bool listed, bool postponed, Revision knownBefore);

    std::map<std::string, StoreItem> m_items; ///< removals are kept, so that an older write cannot restore the item
    struct Gap {
        Revision begin;
        Revision end;
    };

    Revision m_newestRevision;
    Revision m_highestRevision; ///< of all items
    std::vector<Gap> m_gaps; ///< the oldest first
    std::uint32_t m_digest = 0;
    std::uint64_t m_changeCount = 0;
};

} // namespace laburnumspar
