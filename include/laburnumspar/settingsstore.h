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

/// Result of offering a value to the store.
struct OfferResult {
    enum class Kind : std::uint8_t {
        Accepted, ///< now in effect
        Rejected, ///< invalid, owned by another team, or a different text for a known version
        Outdated, ///< not applied: a higher version is known
        Unchanged, ///< the same text was already in effect; its version may have been raised
    };

    Kind kind = Kind::Outdated;
    std::string reason; ///< error message of a rejection; empty otherwise
};

template <>
struct EnumNames<OfferResult::Kind> {
    static constexpr std::array<std::string_view, 4> Names{"accepted", "rejected", "older", "same"};
};

/// Text of a value and its version.
struct AcceptedValue {
    Revision version;
    std::string text;

    bool operator==(const AcceptedValue &) const = default;
};

/// State of one path, as shown to operators.
struct SettingsRecord {
    std::string path;
    Revision acceptedVersion; ///< version in effect; number 0: none
    Revision rejectedVersion; ///< highest rejected version above the accepted one; number 0: none
    std::string reason; ///< error message of the rejection

    bool operator==(const SettingsRecord &) const = default;
};

/// Path under which instances exchange the rejected value of `path`, so that each of them can report the rejection.
std::string rejectedPath(std::string_view path);

/// Service settings and instance lists by path, with the versions that the platform assigned (1 and up in each era).
/// The state depends on the set of offered values only, not on their order. Not thread-safe.
class SettingsStore
{
public:
    /// Parses service settings (`/teams/<team>/services/<service>`) or an instance list (`/instances/entries`,
    /// `/instances/<service>`) and puts it into effect if it is valid and newer. A rejected value leaves the accepted
    /// one in effect; no exception is thrown for it. If several teams define one service, the team that sorts first in
    /// byte order owns it, and the values of the others are rejected.
    OfferResult offer(const std::string &path, Revision version, const std::string &text);

    /// Accepted versions by path, and the rejected versions above them by rejectedPath().
    std::vector<SettingsVersion> digest() const;
    /// settingsHash() of the digest; cached until the next change.
    std::uint64_t digestHash() const;
    /// Entries of the digest of a peer that this store lacks or has in an older version.
    std::vector<SettingsVersion> missing(const std::vector<SettingsVersion> &digest) const;
    /// Entries of the digest of this store that the digest of a peer lacks or has in an older version.
    std::vector<SettingsVersion> newerThan(const std::vector<SettingsVersion> &digest) const;
    /// Accepted value of a path, or the rejected value of a rejectedPath(); empty if there is none.
    std::optional<AcceptedValue> value(const std::string &path) const;
    /// State of every path that was offered, including paths with rejected values only.
    std::vector<SettingsRecord> dump() const;

    /// Settings of a service in effect; null if there are none.
    std::shared_ptr<const ServiceSettings> service(const std::string &name) const;
    /// Names of all services in effect.
    std::vector<std::string> services() const;
    /// Upstreams in the instance list of a service, sorted by address; never null.
    std::shared_ptr<const std::vector<UpstreamEntry>> upstreams(const std::string &service) const;
    /// Instances in the instance list of the fleet, sorted by address; never null.
    std::shared_ptr<const std::vector<InstanceEntry>> instances() const;

private:
    using Upstreams = std::shared_ptr<const std::vector<UpstreamEntry>>;
    using Instances = std::shared_ptr<const std::vector<InstanceEntry>>;
    using Parsed = std::variant<std::monostate, std::shared_ptr<const ServiceSettings>, Upstreams, Instances>;

    struct Entry {
        Revision version; ///< highest valid version; number 0: none
        std::string text;
        Parsed parsed;
        Revision invalidVersion; ///< highest invalid version
        std::string invalidText;
        std::string invalidReason;
        bool effective = false; ///< has a valid version, and no other team owns the service
    };

    static Parsed parse(const std::string &path, const std::string &text);
    /// Registers a team that defines a service and marks the value of the owning team as effective.
    void updateOwner(const ServicePath &definition);
    OfferResult reject(Entry &entry, Revision version, const std::string &text, const std::string &reason);
    /// Version to publish under rejectedPath(); empty if no version above the accepted one was rejected.
    static Revision rejectedVersion(const Entry &entry);
    /// Error message for a valid value of a service that another team owns.
    std::string ownerConflict(const std::string &path) const;
    SettingsRecord record(const std::string &path, const Entry &entry) const;
    /// Entry of a path whose value is in effect; null if there is none.
    const Entry *findEffective(const std::string &path) const;

    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::set<std::string>> m_teams; ///< teams with a valid value, by service
    mutable std::optional<std::uint64_t> m_digestHash; ///< empty after a change
};

} // namespace laburnumspar
