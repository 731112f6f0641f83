#include "laburnumspar/storemirror.h"

#include <xxhash.h>

#include <algorithm>

namespace laburnumspar {

namespace {

std::uint32_t itemDigest(const StoreItem &item)
{
    return item.revision == 0 ? 0 : XXH32(item.key.data(), item.key.size(), std::uint32_t(item.revision));
}

} // namespace

StoreMirror::Change StoreMirror::apply(StoreItem item, bool isNews)
{
    auto &known = m_items[item.key];
    if (known.revision >= item.revision) {
        return Change::None;
    }
    if (isNews) {
        m_newestChange = std::max(m_newestChange, item.revision);
    }
    if (item.removed) {
        item.value.clear();
    }
    // The digests of the items are added by XOR, so that the order does not count and an item can be taken out again.
    m_digest ^= itemDigest(known) ^ itemDigest(item);
    known = std::move(item);
    return Change::Applied;
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
