#pragma once

#include "detail/guarded.h"
#include "laburnumspar/instancelist.h"
#include "laburnumspar/membership.h"
#include "laburnumspar/messages.h"
#include "laburnumspar/platformdialect.h"
#include "laburnumspar/settingsstore.h"

#include <atomic>

namespace laburnumspar::detail {

/// Stores settings, instance lists and upstream lists received from the platform and from peers.
class SettingsSync
{
public:
    explicit SettingsSync(Guarded<SettingsStore> &store)
        : m_store(store)
    {
    }

    void applyPlatformValue(const PlatformValue &value);
    /// Whether the version is newer than the stored one.
    bool isNewer(const SettingsVersion &version) const;
    void applyPlatformInstances(const PlatformInstances &instances);
    void applyPeerValues(const InstanceId &peer, const SettingsPullReply &values);

    /// Versions of all stored values, for a settings pull from a peer.
    SettingsPull ownVersions() const;
    /// Values that the peer lacks or has in an older version, split into replies that fit into a frame each. Contains
    /// one empty reply if there are none.
    std::vector<SettingsPullReply> makeReplies(const SettingsPull &pull) const;
    /// Whether a peer with this digest has values newer than the stored ones.
    bool isBehind(const SettingsDigest &digest) const;
    /// Number of offered values that may have changed the store.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    void offerList(const std::string &path, Revision version, const std::string &text);
    void offer(const std::string &path, Revision version, const std::string &text, std::string_view source);

    Guarded<SettingsStore> &m_store;
    std::atomic<std::uint64_t> m_revision = 0;
};

} // namespace laburnumspar::detail
