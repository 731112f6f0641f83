#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumspar {

/// One item of the operators' store as it was at a revision, or its removal.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the last change
    bool removed = false;
    std::uint32_t contentHash
        = 0; ///< equal where two items say the same, whatever their revisions; 0: follows from the value
};

/// Copy of the parts of the operators' store that instances pass on to one another. For each key the newest revision
/// wins, whichever instance it comes from.
class StoreMirror
{
public:
    enum class ApplyResult : std::uint8_t {
        Unchanged, ///< older than what is known, or the same
        Applied,
    };

    /// `isNews`: the other instances need to know soon.
    ApplyResult apply(StoreItem item, bool advanceRevision = true);

    /// All that changed up to this revision is in the mirror.
    void markCompleteUpTo(std::uint64_t revision)
    {
        m_newestRevision = std::max(m_newestRevision, revision);
    }
    /// Revision of the newest change that is known to be in the mirror.
    std::uint64_t newestRevision() const
    {
        return m_newestRevision;
    }
    /// Equal where the items of two mirrors say the same.
    std::uint32_t digest() const
    {
        return m_digest;
    }
    bool empty() const
    {
        return m_items.empty();
    }
    const std::map<std::string, StoreItem> &items() const
    {
        return m_items;
    }
    const StoreItem *find(const std::string &key) const;
    /// Items and removals that changed after a revision.
    std::vector<StoreItem> changesAfter(std::uint64_t revision) const;

private:
    std::map<std::string, StoreItem> m_items; ///< removals stay, so that an older write cannot come back
    std::uint64_t m_newestRevision = 0;
    std::uint32_t m_digest = 0;
};

} // namespace laburnumspar
