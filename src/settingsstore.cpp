#include "laburnumspar/settingsstore.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/instancelist.h"
#include "laburnumspar/membership.h"

#include <algorithm>

namespace laburnumspar {

namespace {

using Kind = OfferResult::Kind;

constexpr char RejectedPrefix = '!'; // distinct from paths of values, which start with '/'

/// Returns the path of the value for a rejectedPath(), or empty for any other path.
std::optional<std::string> pathFromRejected(const std::string &path)
{
    return !path.empty() && path.front() == RejectedPrefix ? std::optional(path.substr(1)) : std::nullopt;
}

template <typename T>
std::shared_ptr<const T> makeSharedConst(T value)
{
    return std::make_shared<const T>(std::move(value));
}

} // namespace

std::string rejectedPath(std::string_view path)
{
    return RejectedPrefix + std::string(path);
}

// Per path, the store keeps the highest valid and the highest invalid version. Both are maxima over all offers, and the
// rest of the state is derived from them, so the state does not depend on the order of the offers.
OfferResult SettingsStore::offer(const std::string &offeredPath, Revision version, const std::string &text)
{
    if (version.number == 0) {
        return {Kind::Outdated, {}};
    }
    if (const auto path = pathFromRejected(offeredPath)) {
        return offer(*path, version, text);
    }
    const auto &path = offeredPath;
    auto &entry = m_entries[path];
    if (version < entry.version) {
        return {Kind::Outdated, {}};
    }
    const bool sameText = entry.version.number > 0 && text == entry.text;
    if (version == entry.version && sameText && entry.effective) {
        return {Kind::Unchanged, {}};
    }
    if (version == entry.version && !sameText) {
        return {Kind::Rejected, path + ": version " + toString(version) + " already exists with a different text"};
    }
    if (!sameText) {
        try {
            entry.parsed = parse(path, text);
        } catch (const Error &e) {
            return reject(entry, version, text, e.what());
        }
        entry.text = text;
    }
    entry.version = version;
    m_digestHash.reset();
    entry.effective = true;
    if (const auto definition = parseServicePath(path)) {
        updateOwner(*definition);
    }
    if (!entry.effective) {
        return {Kind::Rejected, ownerConflict(path)};
    }
    return {sameText ? Kind::Unchanged : Kind::Accepted, {}};
}

std::vector<SettingsVersion> SettingsStore::digest() const
{
    std::vector<SettingsVersion> digest;
    for (const auto &[path, entry] : m_entries) {
        if (entry.effective) {
            digest.push_back({path, entry.version});
        }
        if (const auto rejected = rejectedVersion(entry); rejected.number > 0) {
            digest.push_back({rejectedPath(path), rejected});
        }
    }
    return digest;
}

// Cached because a digest has thousands of paths at the target fleet size, and each heartbeat is compared with its
// hash.
std::uint64_t SettingsStore::digestHash() const
{
    if (!m_digestHash) {
        m_digestHash = settingsHash(digest());
    }
    return *m_digestHash;
}

std::vector<SettingsVersion> SettingsStore::missing(const std::vector<SettingsVersion> &digest) const
{
    std::vector<SettingsVersion> missing;
    for (const auto &peerEntry : digest) {
        const auto rejected = pathFromRejected(peerEntry.path);
        const auto it = m_entries.find(rejected.value_or(peerEntry.path));
        const bool known = it != m_entries.end()
            && (peerEntry.version <= it->second.version || peerEntry.version == it->second.invalidVersion
                || (rejected && peerEntry.version < it->second.invalidVersion));
        if (!known && peerEntry.version.number > 0) {
            missing.push_back(peerEntry);
        }
    }
    return missing;
}

std::vector<SettingsVersion> SettingsStore::newerThan(const std::vector<SettingsVersion> &digest) const
{
    std::map<std::string_view, Revision> peerVersions;
    for (const auto &entry : digest) {
        peerVersions[entry.path] = entry.version;
    }
    auto newer = this->digest();
    std::erase_if(newer, [&peerVersions](const auto &own) {
        const auto it = peerVersions.find(own.path);
        return it != peerVersions.end() && it->second >= own.version;
    });
    return newer;
}

// A valid version counts as rejected, too, if another team owns the service.
Revision SettingsStore::rejectedVersion(const Entry &entry)
{
    const auto displaced = entry.effective ? Revision() : entry.version;
    const auto invalid = entry.invalidVersion > entry.version ? entry.invalidVersion : Revision();
    return std::max(displaced, invalid);
}

std::optional<AcceptedValue> SettingsStore::value(const std::string &path) const
{
    if (const auto rejected = pathFromRejected(path)) {
        const auto it = m_entries.find(*rejected);
        const auto version = it == m_entries.end() ? Revision() : rejectedVersion(it->second);
        if (version.number == 0) {
            return std::nullopt;
        }
        const bool displaced = version == it->second.version;
        return AcceptedValue{version, displaced ? it->second.text : it->second.invalidText};
    }
    const auto *entry = findEffective(path);
    return entry ? std::optional(AcceptedValue{entry->version, entry->text}) : std::nullopt;
}

std::vector<SettingsRecord> SettingsStore::dump() const
{
    std::vector<SettingsRecord> records;
    for (const auto &[path, entry] : m_entries) {
        records.push_back(record(path, entry));
    }
    return records;
}

std::shared_ptr<const ServiceSettings> SettingsStore::service(const std::string &name) const
{
    const auto it = m_teams.find(name);
    if (it == m_teams.end()) {
        return nullptr;
    }
    const auto &entry = m_entries.at(toString(ServicePath{*it->second.begin(), name}));
    return std::get<std::shared_ptr<const ServiceSettings>>(entry.parsed);
}

std::vector<std::string> SettingsStore::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, teams] : m_teams) {
        names.push_back(name);
    }
    return names;
}

std::shared_ptr<const std::vector<UpstreamEntry>> SettingsStore::upstreams(const std::string &service) const
{
    const auto *entry = findEffective(upstreamListPath(service));
    const auto *list = entry ? std::get_if<Upstreams>(&entry->parsed) : nullptr;
    return list ? *list : makeSharedConst(std::vector<UpstreamEntry>());
}

std::shared_ptr<const std::vector<InstanceEntry>> SettingsStore::instances() const
{
    const auto *entry = findEffective(std::string(InstanceListPath));
    return entry ? std::get<Instances>(entry->parsed) : makeSharedConst(std::vector<InstanceEntry>());
}

SettingsStore::Parsed SettingsStore::parse(const std::string &path, const std::string &text)
{
    try {
        if (path == InstanceListPath) {
            return makeSharedConst(parseInstanceList(text));
        }
        if (const auto service = serviceOfUpstreamList(path)) {
            return makeSharedConst(parseUpstreamList(text, *service));
        }
    } catch (const DecodeError &e) {
        throw DecodeError(path + ": " + e.what());
    }
    if (!parseServicePath(path)) {
        throw SettingsError(
            path,
            "path",
            0,
            "the path must be /teams/<team>/services/<service>, /instances/entries or /instances/<service>");
    }
    return makeSharedConst(parseServiceSettings(text, path));
}

void SettingsStore::updateOwner(const ServicePath &definition)
{
    auto &teams = m_teams[definition.service];
    teams.insert(definition.team);
    for (const auto &team : teams) {
        m_entries.at(toString(ServicePath{team, definition.service})).effective = team == *teams.begin();
    }
}

OfferResult SettingsStore::reject(Entry &entry, Revision version, const std::string &text, const std::string &reason)
{
    if (version > entry.invalidVersion) {
        entry.invalidVersion = version;
        entry.invalidText = text;
        m_digestHash.reset();
        entry.invalidReason = reason;
    }
    return {Kind::Rejected, reason};
}

std::string SettingsStore::ownerConflict(const std::string &path) const
{
    const auto own = parseServicePath(path);
    return path + ": service " + own->service + " belongs to team " + *m_teams.at(own->service).begin()
        + ", which sorts before team " + own->team;
}

SettingsRecord SettingsStore::record(const std::string &path, const Entry &entry) const
{
    const auto accepted = entry.effective ? entry.version : Revision();
    if (entry.invalidVersion > entry.version) {
        return {path, accepted, entry.invalidVersion, entry.invalidReason};
    }
    return entry.effective ? SettingsRecord{path, accepted, Revision(), {}}
                           : SettingsRecord{path, Revision(), entry.version, ownerConflict(path)};
}

const SettingsStore::Entry *SettingsStore::findEffective(const std::string &path) const
{
    const auto it = m_entries.find(path);
    return it != m_entries.end() && it->second.effective ? &it->second : nullptr;
}

} // namespace laburnumspar
