#include "net/settingssync.h"

#include "laburnumspar/log.h"

#include <algorithm>
#include <map>

namespace laburnumspar::detail {

namespace {

// Limit of the texts in one reply; leaves space in the frame for paths and headers.
constexpr std::size_t MaxTextBytes = MaxFrameBytes - 256 * 1024;

} // namespace

void SettingsSync::applyPlatformValue(const PlatformValue &value)
{
    offer(value.path, value.version, value.value, "platform");
}

bool SettingsSync::isNewer(const SettingsVersion &version) const
{
    return m_store.with([&](SettingsStore &store) { return !store.missing({version}).empty(); });
}

void SettingsSync::applyPlatformInstances(const PlatformInstances &instances)
{
    offerList(std::string(InstanceListPath), instances.version, formatInstanceList(instances.instances));
    std::map<std::string, std::vector<UpstreamEntry>> services;
    for (const auto &upstream : instances.upstreams) {
        services[upstream.service].push_back(upstream);
    }
    // A service that has lost its last upstream is missing in the platform's list and needs an empty one.
    for (const auto &service : m_store.with([](SettingsStore &store) { return store.services(); })) {
        services.try_emplace(service);
    }
    for (auto &[service, upstreams] : services) {
        offerList(upstreamListPath(service), instances.version, formatUpstreamList(std::move(upstreams)));
    }
}

// All lists share one version on the platform. An unchanged list keeps its stored version, because peers would
// otherwise pull it again.
void SettingsSync::offerList(const std::string &path, Revision version, const std::string &text)
{
    const auto current = m_store.with([&](SettingsStore &store) { return store.value(path); });
    if (!current || current->text != text) {
        offer(path, version, text, "platform");
    }
}

void SettingsSync::applyPeerValues(const InstanceId &peer, const SettingsPullReply &values)
{
    const auto source = toString(peer);
    for (const auto &value : values.values) {
        offer(value.path, value.version, value.text, source);
    }
}

void SettingsSync::offer(const std::string &path, Revision version, const std::string &text, std::string_view source)
{
    const auto result = m_store.with([&](SettingsStore &store) { return store.offer(path, version, text); });
    if (result.kind != OfferResult::Kind::Outdated) {
        ++m_revision;
    }
    if (result.kind == OfferResult::Kind::Accepted) {
        logEvent(LogLevel::Info,
                 "settings.accepted",
                 {{"path", path}, {"version", version.number}, {"era", version.era}, {"source", source}});
    } else if (result.kind == OfferResult::Kind::Rejected) {
        logEvent(LogLevel::Warning,
                 "settings.rejected",
                 {{"path", path},
                  {"version", version.number},
                  {"era", version.era},
                  {"source", source},
                  {"reason", result.reason}});
    }
}

SettingsPull SettingsSync::ownVersions() const
{
    return {m_store.with([](SettingsStore &store) { return store.digest(); })};
}

std::vector<SettingsPullReply> SettingsSync::makeReplies(const SettingsPull &pull) const
{
    return m_store.with([&](SettingsStore &store) {
        std::vector<SettingsPullReply> frames(1);
        std::size_t bytes = 0;
        for (const auto &entry : store.newerThan(pull.known)) {
            const auto value = store.value(entry.path);
            if (!value) {
                continue;
            }
            if (bytes + value->text.size() > MaxTextBytes) {
                frames.emplace_back();
                bytes = 0;
            }
            bytes += value->text.size();
            frames.back().values.push_back({entry.path, value->version, value->text});
        }
        return frames;
    });
}

bool SettingsSync::isBehind(const SettingsDigest &digest) const
{
    return m_store.with([&](SettingsStore &store) {
        return store.digestHash() != digest.hash && (store.digest().empty() || !store.missing(digest.window).empty());
    });
}

} // namespace laburnumspar::detail
