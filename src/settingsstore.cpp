#include "laburnumspar/settingsstore.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/instancelist.h"
#include "laburnumspar/membership.h"

#include <algorithm>

namespace laburnumspar {

namespace {

using Kind = OfferResult::Kind;

constexpr char RejectedMark = '!'; // paths start with '/'

/// Path of the value itself, for a rejectedPath().
std::optional<std::string> pathOfRejected(const std::string &path)
{
    return !path.empty() && path.front() == RejectedMark ? std::optional(path.substr(1)) : std::nullopt;
}

template <typename T>
std::shared_ptr<const T> shared(T value)
{
    return std::make_shared<const T>(std::move(value));
}

} // namespace

std::string rejectedPath(std::string_view path)
{
    return RejectedMark + std::string(path);
}

// Per path, the store keeps the highest valid and the highest invalid version. Both are maxima over the offers, and
// everything else is derived from them, so the state cannot depend on the order of the offers.
OfferResult SettingsStore::offer(const std::string &offeredPath, std::uint64_t version, const std::string &text)
{
    if (version == 0) {
        return {Kind::Outdated, {}};
    }
    if (const auto path = pathOfRejected(offeredPath)) {
        return offer(*path, version, text);
    }
    const auto &path = offeredPath;
    auto &entry = m_entries[path];
    if (version < entry.version) {
        return {Kind::Outdated, {}};
    }
    const bool sameText = entry.version > 0 && text == entry.text;
    if (version == entry.version && sameText && entry.effective) {
        return {Kind::Unchanged, {}};
    }
    if (version == entry.version && !sameText) {
        return {Kind::Rejected, path + ": version " + std::to_string(version) + " is in use with another text"};
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
    if (const auto owner = parseServicePath(path)) {
        claim(*owner);
    }
    if (!entry.effective) {
        return {Kind::Rejected, conflict(path)};
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
        if (const auto refused = refusedVersion(entry)) {
            digest.push_back({rejectedPath(path), refused});
        }
    }
    return digest;
}

// A digest has thousands of paths at the target size, and every heartbeat is compared with its hash.
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
    for (const auto &theirs : digest) {
        const auto rejected = pathOfRejected(theirs.path);
        const auto it = m_entries.find(rejected.value_or(theirs.path));
        const bool known = it != m_entries.end()
            && (theirs.version <= it->second.version || theirs.version == it->second.invalidVersion
                || (rejected && theirs.version < it->second.invalidVersion));
        if (!known && theirs.version > 0) {
            missing.push_back(theirs);
        }
    }
    return missing;
}

std::vector<SettingsVersion> SettingsStore::newerThan(const std::vector<SettingsVersion> &digest) const
{
    std::map<std::string_view, std::uint64_t> theirs;
    for (const auto &entry : digest) {
        theirs[entry.path] = entry.version;
    }
    auto newer = this->digest();
    std::erase_if(newer, [&theirs](const auto &own) {
        const auto it = theirs.find(own.path);
        return it != theirs.end() && it->second >= own.version;
    });
    return newer;
}

// A valid version of a service that another team has counts as refused, too.
std::uint64_t SettingsStore::refusedVersion(const Entry &entry)
{
    const auto displaced = entry.effective ? 0 : entry.version;
    const auto invalid = entry.invalidVersion > entry.version ? entry.invalidVersion : 0;
    return std::max(displaced, invalid);
}

std::optional<AcceptedValue> SettingsStore::value(const std::string &path) const
{
    if (const auto rejected = pathOfRejected(path)) {
        const auto it = m_entries.find(*rejected);
        const auto refused = it == m_entries.end() ? 0 : refusedVersion(it->second);
        if (refused == 0) {
            return std::nullopt;
        }
        const bool displaced = refused == it->second.version;
        return AcceptedValue{refused, displaced ? it->second.text : it->second.invalidText};
    }
    const auto *entry = inEffect(path);
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
    const auto claim = m_claims.find(name);
    if (claim == m_claims.end()) {
        return nullptr;
    }
    const auto &entry = m_entries.at(toString(ServicePath{*claim->second.begin(), name}));
    return std::get<std::shared_ptr<const ServiceSettings>>(entry.parsed);
}

std::vector<std::string> SettingsStore::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, teams] : m_claims) {
        names.push_back(name);
    }
    return names;
}

std::shared_ptr<const std::vector<UpstreamEntry>> SettingsStore::upstreams(const std::string &service) const
{
    const auto *entry = inEffect(upstreamListPath(service));
    const auto *list = entry ? std::get_if<Upstreams>(&entry->parsed) : nullptr;
    return list ? *list : shared(std::vector<UpstreamEntry>());
}

std::shared_ptr<const std::vector<InstanceEntry>> SettingsStore::instances() const
{
    const auto *entry = inEffect(std::string(InstanceListPath));
    return entry ? std::get<Instances>(entry->parsed) : shared(std::vector<InstanceEntry>());
}

SettingsStore::Parsed SettingsStore::parse(const std::string &path, const std::string &text)
{
    try {
        if (path == InstanceListPath) {
            return shared(parseInstanceList(text));
        }
        if (const auto service = serviceOfUpstreamList(path)) {
            return shared(parseUpstreamList(text, *service));
        }
    } catch (const DecodeError &e) {
        throw DecodeError(path + ": " + e.what());
    }
    if (!parseServicePath(path)) {
        throw SettingsError(
            path,
            "path",
            0,
            "/teams/<team>/services/<service>, /instances/entries and /instances/<service> are allowed");
    }
    return shared(parseServiceSettings(text, path));
}

void SettingsStore::claim(const ServicePath &owner)
{
    auto &teams = m_claims[owner.service];
    teams.insert(owner.team);
    for (const auto &team : teams) {
        m_entries.at(toString(ServicePath{team, owner.service})).effective = team == *teams.begin();
    }
}

OfferResult
SettingsStore::reject(Entry &entry, std::uint64_t version, const std::string &text, const std::string &reason)
{
    if (version > entry.invalidVersion) {
        entry.invalidVersion = version;
        entry.invalidText = text;
        m_digestHash.reset();
        entry.invalidReason = reason;
    }
    return {Kind::Rejected, reason};
}

std::string SettingsStore::conflict(const std::string &path) const
{
    const auto own = parseServicePath(path);
    return path + ": service " + own->service + " belongs to team " + *m_claims.at(own->service).begin()
        + ", which comes before team " + own->team;
}

SettingsRecord SettingsStore::record(const std::string &path, const Entry &entry) const
{
    const auto accepted = entry.effective ? entry.version : 0;
    if (entry.invalidVersion > entry.version) {
        return {path, accepted, entry.invalidVersion, entry.invalidReason};
    }
    return entry.effective ? SettingsRecord{path, accepted, 0, {}}
                           : SettingsRecord{path, 0, entry.version, conflict(path)};
}

const SettingsStore::Entry *SettingsStore::inEffect(const std::string &path) const
{
    const auto it = m_entries.find(path);
    return it != m_entries.end() && it->second.effective ? &it->second : nullptr;
}

} // namespace laburnumspar
