#include "laburnumspar/storemirror.h"

#include <algorithm>

namespace laburnumspar {

StoreMirror::Change StoreMirror::apply(StoreItem item)
{
    auto &known = m_items[item.key];
    if (known.revision >= item.revision) {
        return Change::None;
    }
    m_newestChange = std::max(m_newestChange, item.revision);
    m_revision = std::max(m_revision, item.revision);
    if (item.removed) {
        item.value.clear();
    }
    known = std::move(item);
    return Change::Applied;
}

void StoreMirror::advanceTo(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

const StoreItem *StoreMirror::find(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

std::vector<StoreItem> StoreMirror::changesAfter(std::uint64_t revision) const
{
    std::vector<StoreItem> changes;
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision) {
            changes.push_back(item);
        }
    }
    return changes;
}

} // namespace laburnumspar
