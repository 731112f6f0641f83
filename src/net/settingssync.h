#pragma once

#include "detail/guarded.h"
#include "laburnumspar/instancelist.h"
#include "laburnumspar/membership.h"
#include "laburnumspar/messages.h"
#include "laburnumspar/platformdialect.h"
#include "laburnumspar/settingsstore.h"

#include <atomic>

namespace laburnumspar::detail {

/// Brings settings and lists from the platform and from peers into the store.
class SettingsSync
{
public:
    explicit SettingsSync(Guarded<SettingsStore> &store)
        : m_store(store)
    {
    }

    void fromPlatform(const PlatformValue &value);
    bool isNews(const SettingsVersion &version) const;
    void fromPlatform(const PlatformInstances &instances);
    void fromPeer(const InstanceId &peer, const SettingsPullReply &values);

    /// Versions to ask a peer with.
    SettingsPull known() const;
    /// What the peer is missing, in frames of bounded size; one empty frame if nothing.
    std::vector<SettingsPullReply> answer(const SettingsPull &pull) const;
    /// Whether a peer with this digest has something newer.
    bool isBehind(const SettingsDigest &digest) const;
    /// Grows with each offer that may have changed the store.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    void offerList(const std::string &path, std::uint64_t version, const std::string &text);
    void offer(const std::string &path, std::uint64_t version, const std::string &text, std::string_view source);

    Guarded<SettingsStore> &m_store;
    std::atomic<std::uint64_t> m_revision = 0;
};

} // namespace laburnumspar::detail
