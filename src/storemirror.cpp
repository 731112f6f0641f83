#include "laburnumspar/storemirror.h"

#include <xxhash.h>

#include <algorithm>

namespace laburnumspar {

namespace {

// Revisions do not count: an instance that was there first keeps the revision of the first write, and one that came
// later that of a renewal which says the same.
std::uint32_t itemDigest(const StoreItem &item)
{
    if (item.revision == 0 || item.removed) {
        return 0;
    }
    const auto contentHash = item.contentHash != 0 ? item.contentHash : XXH32(item.value.data(), item.value.size(), 0);
    return XXH32(item.key.data(), item.key.size(), contentHash);
}

} // namespace

StoreMirror::ApplyResult StoreMirror::apply(StoreItem item, bool advanceRevision)
{
    auto &known = m_items[item.key];
    if (known.revision >= item.revision) {
        return ApplyResult::Unchanged;
    }
    if (advanceRevision) {
        m_newestRevision = std::max(m_newestRevision, item.revision);
    }
    if (item.removed) {
        item.value.clear();
    }
    // The digests of the items are added by XOR, so that the order does not count and an item can be taken out again.
    m_digest ^= itemDigest(known) ^ itemDigest(item);
    known = std::move(item);
    return ApplyResult::Applied;
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
