#include "laburnumspar/settingsstore.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/instancelist.h"

#include <xxhash.h>

namespace laburnumspar {

namespace {

using Kind = OfferResult::Kind;

template <typename T>
std::shared_ptr<const T> shared(T value)
{
    return std::make_shared<const T>(std::move(value));
}

} // namespace

// Per path, the store keeps the highest valid and the highest invalid version. Both are maxima over the offers, and
// everything else is derived from them, so the state cannot depend on the order of the offers.
OfferResult SettingsStore::offer(const std::string &path, std::uint64_t version, const std::string &text)
{
    if (version == 0) {
        return {Kind::Older, {}};
    }
    auto &entry = m_entries[path];
    if (version < entry.version) {
        return {Kind::Older, {}};
    }
    const bool sameText = entry.version > 0 && text == entry.text;
    if (version == entry.version && !sameText) {
        return {Kind::Rejected, path + ": version " + std::to_string(version) + " is in use with another text"};
    }
    if (!sameText) {
        try {
            entry.parsed = parse(path, text);
        } catch (const Error &e) {
            return reject(entry, version, e.what());
        }
        entry.text = text;
    }
    entry.version = version;
    m_digestHash.reset();
    if (const auto owner = parseServicePath(path)) {
        m_claims[owner->service].insert(owner->team);
    }
    if (auto reason = conflict(path); !reason.empty()) {
        return {Kind::Rejected, std::move(reason)};
    }
    return {sameText ? Kind::Same : Kind::Accepted, {}};
}

std::vector<SettingsVersion> SettingsStore::digest() const
{
    std::vector<SettingsVersion> digest;
    for (const auto &[path, entry] : m_entries) {
        if (inEffect(path)) {
            digest.push_back({path, entry.version});
        }
    }
    return digest;
}

// Kept until the next change: every heartbeat carries the hash, and a digest has thousands of paths at the target size.
std::uint64_t SettingsStore::digestHash() const
{
    if (!m_digestHash) {
        std::string text;
        for (const auto &entry : digest()) {
            text += entry.path + '@' + std::to_string(entry.version) + '\n';
        }
        m_digestHash = XXH3_64bits(text.data(), text.size());
    }
    return *m_digestHash;
}

std::vector<SettingsVersion> SettingsStore::missing(const std::vector<SettingsVersion> &digest) const
{
    std::vector<SettingsVersion> missing;
    for (const auto &theirs : digest) {
        const auto it = m_entries.find(theirs.path);
        const bool known = it != m_entries.end()
            && (theirs.version <= it->second.version || theirs.version == it->second.invalidVersion);
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

std::optional<AcceptedValue> SettingsStore::value(const std::string &path) const
{
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

std::shared_ptr<const std::vector<InstanceEntry>> SettingsStore::entries() const
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

OfferResult SettingsStore::reject(Entry &entry, std::uint64_t version, const std::string &reason)
{
    if (version > entry.invalidVersion) {
        entry.invalidVersion = version;
        entry.invalidReason = reason;
    }
    return {Kind::Rejected, reason};
}

std::string SettingsStore::conflict(const std::string &path) const
{
    const auto own = parseServicePath(path);
    const auto claim = own ? m_claims.find(own->service) : m_claims.end();
    if (claim == m_claims.end() || *claim->second.begin() == own->team) {
        return {};
    }
    return path + ": service " + own->service + " belongs to team " + *claim->second.begin()
        + ", which comes before team " + own->team;
}

SettingsRecord SettingsStore::record(const std::string &path, const Entry &entry) const
{
    auto reason = entry.version > 0 ? conflict(path) : std::string();
    const bool effective = entry.version > 0 && reason.empty();
    if (entry.invalidVersion > entry.version) {
        return {path, effective ? entry.version : 0, entry.invalidVersion, entry.invalidReason};
    }
    return {path, effective ? entry.version : 0, effective ? 0 : entry.version, std::move(reason)};
}

const SettingsStore::Entry *SettingsStore::inEffect(const std::string &path) const
{
    const auto it = m_entries.find(path);
    return it != m_entries.end() && it->second.version > 0 && conflict(path).empty() ? &it->second : nullptr;
}

} // namespace laburnumspar
