#pragma once

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
};

/// Copy of the parts of the operators' store that instances pass on to one another. For each key the newest revision
/// wins, whichever instance it comes from.
class StoreMirror
{
public:
    enum class Change : std::uint8_t {
        None, ///< older than what is known, or the same
        Applied,
    };

    Change apply(StoreItem item);
    /// Raises the revision up to which all changes are known.
    void advanceTo(std::uint64_t revision);

    /// Revision of the newest change in the mirror.
    std::uint64_t newestChange() const
    {
        return m_newestChange;
    }
    /// Revision up to which nothing is missing, as far as this instance knows.
    std::uint64_t revision() const
    {
        return m_revision;
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
    std::uint64_t m_newestChange = 0;
    std::uint64_t m_revision = 0;
};

} // namespace laburnumspar
