#include "laburnumspar/instancelist.h"

#include "detail/jsonfields.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

#include <algorithm>
#include <tuple>

namespace laburnumspar {

namespace {

constexpr std::string_view ListsPath = "/instances/";

template <typename Entry>
void sortById(std::vector<Entry> &entries)
{
    // Compares the members because clang-tidy 14 mistakes a use of the defaulted operator<=> for a null pointer.
    std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) {
        return std::tie(a.id.ip, a.id.port) < std::tie(b.id.ip, b.id.port);
    });
}

template <typename Entry>
std::vector<Entry> sortAndCheckUnique(std::vector<Entry> entries)
{
    sortById(entries);
    const auto duplicate
        = std::adjacent_find(entries.begin(), entries.end(), [](const auto &a, const auto &b) { return a.id == b.id; });
    if (duplicate != entries.end()) {
        throw DecodeError("address " + toString(duplicate->id) + " is listed twice");
    }
    return entries;
}

boost::json::object parseDocument(std::string_view text)
{
    if (text.size() > MaxValueBytes) {
        throw DecodeError("document of " + std::to_string(text.size()) + " bytes exceeds the limit of "
                          + std::to_string(MaxValueBytes) + " bytes");
    }
    return detail::parseObject(text);
}

boost::json::value toJson(const Endpoint &id, const std::string &zone, UpstreamPhase phase)
{
    return {{"address", toString(id)}, {"zone", zone}, {"state", detail::stateName(phase)}};
}

std::string formatDocument(std::string_view key, boost::json::array elements)
{
    return boost::json::serialize(boost::json::object{{key, std::move(elements)}});
}

} // namespace

std::string upstreamListPath(std::string_view service)
{
    return std::string(ListsPath) + std::string(service);
}

std::optional<std::string> serviceOfUpstreamList(std::string_view path)
{
    if (path == InstanceListPath || !path.starts_with(ListsPath) || !isValidName(path.substr(ListsPath.size()))) {
        return std::nullopt;
    }
    return std::string(path.substr(ListsPath.size()));
}

std::vector<InstanceEntry> parseInstanceList(std::string_view text)
{
    const auto root = parseDocument(text);
    std::vector<InstanceEntry> entries;
    for (const auto &value : detail::arrayIn(root, "instances")) {
        const auto &object = detail::objectOf(value, "an instance");
        const bool leaving = detail::stateIn(object) == UpstreamPhase::Draining;
        entries.push_back({detail::addressIn(object), detail::zoneIn(object), leaving});
    }
    return sortAndCheckUnique(std::move(entries));
}

std::vector<UpstreamEntry> parseUpstreamList(std::string_view text, const std::string &service)
{
    const auto root = parseDocument(text);
    std::vector<UpstreamEntry> entries;
    for (const auto &value : detail::arrayIn(root, "upstreams")) {
        const auto &object = detail::objectOf(value, "an upstream");
        entries.push_back({detail::addressIn(object), service, detail::zoneIn(object), detail::stateIn(object)});
    }
    return sortAndCheckUnique(std::move(entries));
}

std::string formatInstanceList(std::vector<InstanceEntry> entries)
{
    sortById(entries);
    boost::json::array elements;
    for (const auto &entry : entries) {
        const auto phase = entry.leaving ? UpstreamPhase::Draining : UpstreamPhase::Serving;
        elements.push_back(toJson(entry.id, entry.zone, phase));
    }
    return formatDocument("instances", std::move(elements));
}

std::string formatUpstreamList(std::vector<UpstreamEntry> entries)
{
    sortById(entries);
    boost::json::array elements;
    for (const auto &entry : entries) {
        elements.push_back(toJson(entry.id, entry.zone, entry.phase));
    }
    return formatDocument("upstreams", std::move(elements));
}

std::map<std::string, std::string> formatListDocuments(const std::vector<InstanceEntry> &instances,
                                                       const std::vector<UpstreamEntry> &upstreams)
{
    std::map<std::string, std::vector<UpstreamEntry>> byService;
    for (const auto &entry : upstreams) {
        byService[entry.service].push_back(entry);
    }
    std::map<std::string, std::string> documents{{std::string(InstanceListPath), formatInstanceList(instances)}};
    for (auto &[service, entries] : byService) {
        documents[upstreamListPath(service)] = formatUpstreamList(std::move(entries));
    }
    return documents;
}

} // namespace laburnumspar
