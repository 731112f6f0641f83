#include "laburnumspar/organisations.h"

#include "laburnumspar/errors.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace laburnumspar {

namespace {

constexpr std::size_t MinCapacity = 16;
/// Growth and largest share of used positions. Beyond it, probe sequences become long.
constexpr double GrowthFactor = 1.5;
constexpr double MaxUsedShare = 0.8;

using Secret = std::array<std::uint8_t, XXH3_SECRET_SIZE_MIN>;

Secret makeSecret()
{
    Secret secret;
    std::random_device random;
    std::generate(secret.begin(), secret.end(), [&random] { return std::uint8_t(random()); });
    return secret;
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    static const Secret secret = makeSecret();
    const auto hash = XXH3_128bits_withSecret(key.data(), key.size(), secret.data(), secret.size());
    return {hash.high64, hash.low64};
}

void OrganisationTable::add(Organisation organisation, const std::vector<std::string_view> &keys)
{
    const auto position = std::uint32_t(m_organisations.size());
    for (const auto key : keys) {
        if (key.empty() || key.size() > MaxKeyBytes) {
            throw SettingsError("organisations",
                                organisation.name,
                                0,
                                "each key must have 1 to " + std::to_string(MaxKeyBytes) + " bytes");
        }
        const auto digest = digestOfKey(key);
        const auto *owner = find(digest);
        if (owner != nullptr) {
            throw SettingsError(
                "organisations", organisation.name, 0, "a key must not be one of organisation '" + owner->name + "'");
        }
        // Keys may be repeated within the list of an organisation, which is not in the table yet.
        if (m_keyCount == 0 || m_owners[positionOf(digest)] == Unused) {
            insert(digest, position);
        }
    }
    m_organisations.push_back(std::move(organisation));
}

const Organisation *OrganisationTable::find(const KeyDigest &key) const
{
    if (m_keyCount == 0) {
        return nullptr;
    }
    const auto owner = m_owners[positionOf(key)];
    return owner < m_organisations.size() ? &m_organisations[owner] : nullptr;
}

std::size_t OrganisationTable::positionOf(const KeyDigest &key) const
{
    auto position = std::size_t(key.low % m_digests.size());
    while (m_owners[position] != Unused && m_digests[position] != key) {
        position = position + 1 == m_digests.size() ? 0 : position + 1;
    }
    return position;
}

void OrganisationTable::insert(const KeyDigest &key, std::uint32_t organisation)
{
    if (double(m_keyCount + 1) > MaxUsedShare * double(m_digests.size())) {
        grow();
    }
    const auto position = positionOf(key);
    m_digests[position] = key;
    m_owners[position] = organisation;
    ++m_keyCount;
}

void OrganisationTable::grow()
{
    const auto capacity = std::max(MinCapacity, std::size_t(double(m_digests.size()) * GrowthFactor));
    const auto digests = std::exchange(m_digests, std::vector<KeyDigest>(capacity));
    const auto owners = std::exchange(m_owners, std::vector<std::uint32_t>(capacity, Unused));
    for (std::size_t n = 0; n < digests.size(); ++n) {
        if (owners[n] != Unused) {
            const auto position = positionOf(digests[n]);
            m_digests[position] = digests[n];
            m_owners[position] = owners[n];
        }
    }
}

} // namespace laburnumspar
