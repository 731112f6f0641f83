#include "laburnumspar/storemirror.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace laburnumspar {

namespace {

/// Changes the digest of items that are postponed.
constexpr std::uint32_t PostponedMark = 0x9e3779b9;

/// Older gaps are joined.
constexpr std::size_t MaxGaps = 8;

/// Revisions are left out: instances that started earlier keep the revision of the first write, and one that started
/// later has the revision of a renewal with the same content.
std::uint32_t itemDigest(const StoreItem &item)
{
    if (item.revision == Revision() || item.removed || item.lapsed) {
        return 0;
    }
    const auto contentHash = item.contentHash != 0 ? item.contentHash : item.value.hash();
    return XXH32(item.key.data(), item.key.size(), item.postponed ? contentHash ^ PostponedMark : contentHash);
}

std::uint32_t textHash(std::string_view text)
{
    return XXH32(text.data(), text.size(), 0);
}

} // namespace

struct SharedText::Content {
    std::string text;
    std::uint32_t hash;
};

SharedText::SharedText(std::string text)
{
    if (!text.empty()) {
        const auto hash = textHash(text);
        m_content = std::make_shared<const Content>(Content{std::move(text), hash});
    }
}

SharedText::SharedText(const char *text)
    : SharedText(std::string(text))
{
}

const std::string &SharedText::str() const
{
    static const std::string empty;
    return m_content ? m_content->text : empty;
}

std::uint32_t SharedText::hash() const
{
    static const auto emptyHash = textHash({});
    return m_content ? m_content->hash : emptyHash;
}

StoreMirror::ApplyResult StoreMirror::apply(StoreItem item, bool advanceRevision)
{
    auto &known = m_items[item.key];
    if (known.revision >= item.revision) {
        return ApplyResult::Unchanged;
    }
    ++m_changeCount;
    m_highestRevision = std::max(m_highestRevision, item.revision);
    if (advanceRevision) {
        m_newestRevision = std::max(m_newestRevision, item.revision);
    }
    if (item.removed) {
        item.value.clear();
    }
    // XOR makes the digest independent of the order and allows an item to be removed from it.
    m_digest ^= itemDigest(known) ^ itemDigest(item);
    known = std::move(item);
    return ApplyResult::Applied;
}

const StoreItem *StoreMirror::find(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

std::vector<StoreItem> StoreMirror::changesAfter(Revision revision) const
{
    std::vector<StoreItem> changes;
    for (const auto &[key, item] : m_items) {
        if (item.revision > revision) {
            changes.push_back(item);
        }
    }
    return changes;
}

void StoreMirror::removeLapsed(const std::string &key)
{
    const auto it = m_items.find(key);
    if (it == m_items.end() || !it->second.lapsed) {
        return;
    }
    ++m_changeCount;
    auto &item = it->second;
    item.removed = true;
    item.lapsed = false;
    item.value.clear();
}

void StoreMirror::recordKnowledge(const std::string &key, bool postponed, Revision knownBefore)
{
    mark(key, true, postponed, knownBefore);
}

void StoreMirror::confirm(const std::string &key)
{
    mark(key, false, false, {});
}

void StoreMirror::mark(const std::string &key, bool listed, bool postponed, Revision knownBefore)
{
    const auto it = m_items.find(key);
    if (it == m_items.end()) {
        return;
    }
    auto &item = it->second;
    if (item.listed == listed && item.postponed == postponed && item.knownBefore == knownBefore) {
        return;
    }
    ++m_changeCount;
    m_digest ^= itemDigest(item);
    item.listed = listed;
    item.postponed = postponed;
    item.knownBefore = knownBefore;
    m_digest ^= itemDigest(item);
}

void StoreMirror::recordGap(Revision end)
{
    if (end <= m_newestRevision) {
        return;
    }
    ++m_changeCount;
    m_gaps.push_back({m_newestRevision, end});
    if (m_gaps.size() > MaxGaps) {
        m_gaps[1].begin = m_gaps[0].begin;
        m_gaps.erase(m_gaps.begin());
    }
}

bool StoreMirror::hasChangesAfter(Revision revision) const
{
    // An instance that knew what this one knew at the begin of a gap receives the removals that ended the gap.
    return std::none_of(
        m_gaps.begin(), m_gaps.end(), [revision](const Gap &it) { return it.begin < revision && revision < it.end; });
}

} // namespace laburnumspar
