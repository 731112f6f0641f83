#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar {

/// Keyed hash of a key with which callers identify their organisation. It differs between processes, and the key cannot
/// be derived from it.
struct KeyDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyDigest &) const = default;
};

KeyDigest digestOfKey(std::string_view key);

/// Requests that an organisation may send to all instances together.
struct Quota {
    double rate = 0; ///< requests per second; 0: no limit
    double burst = 0; ///< further requests at once

    bool isLimited() const
    {
        return rate > 0;
    }
};

struct Organisation {
    std::string name;
    std::optional<unsigned> priority; ///< goes before the priority of the route; 0 is the most urgent
    Quota quota;
};

/// The organisations of one configuration, by their keys. Holds digests in place of the keys. Not modified after it has
/// been built.
class OrganisationTable
{
public:
    static constexpr std::size_t MaxKeyBytes = 256;

    /// Adds an organisation with its keys, each of 1 to MaxKeyBytes bytes. Throws SettingsError for an invalid key and
    /// for one that another organisation has.
    void add(Organisation organisation, const std::vector<std::string_view> &keys);
    /// Returns the organisation that has the key, or null.
    const Organisation *find(const KeyDigest &key) const;

    const std::vector<Organisation> &organisations() const
    {
        return m_organisations;
    }
    std::size_t keyCount() const
    {
        return m_keyCount;
    }

private:
    static constexpr std::uint32_t Unused = UINT32_MAX;

    /// Position of the key, or the unused position where it belongs.
    std::size_t positionOf(const KeyDigest &key) const;
    void insert(const KeyDigest &key, std::uint32_t organisation);
    void grow();

    std::vector<Organisation> m_organisations;
    // Open addressing with linear probing: a key takes 20 bytes, and a look-up mostly one cache line of each vector.
    std::vector<KeyDigest> m_digests;
    std::vector<std::uint32_t> m_owners; ///< positions in m_organisations, or Unused
    std::size_t m_keyCount = 0;
};

} // namespace laburnumspar
