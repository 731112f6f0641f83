#pragma once

#include "laburnumspar/fleet.h"
#include "laburnumspar/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumspar {

/// What became of an offered value.
struct OfferResult {
    enum class Kind : std::uint8_t {
        Accepted, ///< in effect from now on
        Rejected, ///< invalid; what was in effect before still is
        Outdated, ///< not applied: a higher version is known
        Unchanged, ///< the same text was already in effect; its version may have been raised
    };

    Kind kind = Kind::Outdated;
    std::string reason; ///< why it was rejected; empty otherwise
};

template <>
struct EnumNames<OfferResult::Kind> {
    static constexpr std::array<std::string_view, 4> Names{"accepted", "rejected", "older", "same"};
};

/// A text in effect.
struct AcceptedValue {
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const AcceptedValue &) const = default;
};

/// State of one path for operators.
struct SettingsRecord {
    std::string path;
    std::uint64_t acceptedVersion = 0; ///< 0: nothing is in effect
    std::uint64_t rejectedVersion = 0; ///< last rejected version above the accepted one; 0: none
    std::string reason; ///< of the rejection

    bool operator==(const SettingsRecord &) const = default;
};

/// Path under which the rejected value of `path` travels between instances, so that every one of them can show it.
std::string rejectedPath(std::string_view path);

/// Service settings and instance lists in effect, by path, with the versions that the platform assigned (from 1).
/// The state depends on the set of offers only, not on their order. Not thread-safe.
class SettingsStore
{
public:
    /// Takes service settings (`/teams/<team>/services/<service>`) and instance lists (`/instances/entries`,
    /// `/instances/<service>`). Never throws for an invalid value. Where several teams define one service, the
    /// team that comes first in byte order keeps it, and the values of the others are rejected.
    OfferResult offer(const std::string &path, std::uint64_t version, const std::string &text);

    /// Accepted versions, by path, and under rejectedPath() the rejected ones above them.
    std::vector<SettingsVersion> digest() const;
    /// settingsHash() of the digest; kept until the next change.
    std::uint64_t digestHash() const;
    /// Entries of the digest of a peer that are newer than what this store knows.
    std::vector<SettingsVersion> missing(const std::vector<SettingsVersion> &digest) const;
    /// Entries of this store that are newer than, or missing from, the digest of a peer.
    std::vector<SettingsVersion> newerThan(const std::vector<SettingsVersion> &digest) const;
    /// Accepted value, or the rejected one for a rejectedPath(); empty if there is none.
    std::optional<AcceptedValue> value(const std::string &path) const;
    /// Every path that was offered, also those that only had rejected values.
    std::vector<SettingsRecord> dump() const;

    /// Null if the service is unknown.
    std::shared_ptr<const ServiceSettings> service(const std::string &name) const;
    /// Names of all services in effect.
    std::vector<std::string> services() const;
    /// Listed upstreams of a service, by address; never null.
    std::shared_ptr<const std::vector<UpstreamEntry>> upstreams(const std::string &service) const;
    /// Listed instances of the fleet, by address; never null.
    std::shared_ptr<const std::vector<InstanceEntry>> instances() const;

private:
    using Upstreams = std::shared_ptr<const std::vector<UpstreamEntry>>;
    using Instances = std::shared_ptr<const std::vector<InstanceEntry>>;
    using Parsed = std::variant<std::monostate, std::shared_ptr<const ServiceSettings>, Upstreams, Instances>;

    struct Entry {
        std::uint64_t version = 0; ///< highest valid version; 0: none
        std::string text;
        Parsed parsed;
        std::uint64_t invalidVersion = 0; ///< highest invalid version
        std::string invalidText;
        std::string invalidReason;
        bool effective = false; ///< has a valid version, and no team with a better claim to the service
    };

    static Parsed parse(const std::string &path, const std::string &text);
    /// Marks which of the teams that define a service has it.
    void claim(const ServicePath &owner);
    OfferResult reject(Entry &entry, std::uint64_t version, const std::string &text, const std::string &reason);
    /// Version to show under rejectedPath(); 0 if nothing above the accepted one was refused.
    static std::uint64_t refusedVersion(const Entry &entry);
    /// Why the valid value at a service path is not in effect.
    std::string conflict(const std::string &path) const;
    SettingsRecord record(const std::string &path, const Entry &entry) const;
    const Entry *inEffect(const std::string &path) const;

    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::set<std::string>> m_claims; ///< teams with a valid value, by service
    mutable std::optional<std::uint64_t> m_digestHash; ///< empty after a change
};

} // namespace laburnumspar
