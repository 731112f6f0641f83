#include "detail/jsonfields.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/platformdialect.h"
#include "laburnumspar/plugin.h"
#include "laburnumspar/settings.h"

#include <boost/url/url.hpp>

#include <algorithm>

namespace laburnumspar {

namespace {

constexpr std::string_view EntryKind = "entry";
constexpr std::string_view UpstreamKind = "upstream";

std::string target(std::string_view endpoint, std::initializer_list<boost::urls::param_view> parameters)
{
    boost::urls::url url;
    url.set_path(endpoint);
    for (const auto &parameter : parameters) {
        url.params().append(parameter);
    }
    return url.buffer();
}

/// Reads a version and its era, which is 0 for a platform that states none.
Revision versionIn(const boost::json::object &object)
{
    const auto era = object.contains("era") ? detail::numberIn(object, "era") : 0;
    return {era, detail::numberIn(object, "version")};
}

PlatformVersions parseVersions(std::string_view body)
{
    const auto root = detail::parseObject(body);
    PlatformVersions versions{versionIn(root), {}};
    for (const auto &each : detail::arrayIn(root, "values")) {
        const auto &object = detail::objectOf(each, "an element of \"values\"");
        versions.values.push_back({detail::stringIn(object, "path"), versionIn(object)});
    }
    return versions;
}

std::string serviceIn(const boost::json::object &object)
{
    auto service = detail::stringIn(object, "service");
    if (!isValidName(service)) {
        throw DecodeError("service \"" + service + "\" is not a valid name");
    }
    return service;
}

bool sameService(const InstanceEntry &, const InstanceEntry &)
{
    return true;
}

bool sameService(const UpstreamEntry &a, const UpstreamEntry &b)
{
    return a.service == b.service;
}

template <typename Entry>
void addUnique(std::vector<Entry> &entries, Entry entry)
{
    const bool known = std::any_of(
        entries.begin(), entries.end(), [&](const Entry &it) { return it.id == entry.id && sameService(it, entry); });
    if (known) {
        throw DecodeError("address " + toString(entry.id) + " is listed twice");
    }
    entries.push_back(std::move(entry));
}

// The service of an entry instance is empty or missing, because the instance serves all services.
void addInstance(const boost::json::object &object, PlatformInstances &list)
{
    const auto kind = detail::stringIn(object, "kind");
    const auto phase = detail::stateIn(object);
    if (kind == EntryKind) {
        const bool leaving = phase == UpstreamPhase::Draining;
        addUnique(list.instances, InstanceEntry{detail::addressIn(object), detail::zoneIn(object), leaving});
    } else if (kind == UpstreamKind) {
        addUnique(list.upstreams,
                  UpstreamEntry{detail::addressIn(object), serviceIn(object), detail::zoneIn(object), phase});
    } else {
        throw DecodeError("kind \"" + kind + "\" is neither \"entry\" nor \"upstream\"");
    }
}

class LsparV1Platform : public PlatformDialect
{
public:
    std::string listTarget(std::string_view prefix) const override
    {
        return target("/v1/list", {{"prefix", prefix}});
    }

    std::string readTarget(std::string_view path) const override
    {
        return target("/v1/read", {{"path", path}});
    }

    std::string watchTarget(std::string_view prefix, Revision after, Milliseconds wait) const override
    {
        const auto afterText = std::to_string(after.number);
        const auto eraText = std::to_string(after.era);
        const auto waitText = std::to_string(wait.count());
        return target("/v1/watch", {{"prefix", prefix}, {"after", afterText}, {"era", eraText}, {"wait_ms", waitText}});
    }

    std::string instancesTarget() const override
    {
        return "/v1/instances";
    }

    PlatformVersions parseList(std::string_view body) const override
    {
        return parseVersions(body);
    }

    PlatformValue parseValue(std::string_view body) const override
    {
        const auto root = detail::parseObject(body);
        return {detail::stringIn(root, "path"), versionIn(root), detail::stringIn(root, "value")};
    }

    PlatformVersions parseChanges(std::string_view body) const override
    {
        return parseVersions(body);
    }

    PlatformInstances parseInstances(std::string_view body) const override
    {
        const auto root = detail::parseObject(body);
        PlatformInstances list{versionIn(root), {}, {}};
        const auto &entries = detail::arrayIn(root, "instances");
        for (const auto &each : entries) {
            try {
                addInstance(detail::objectOf(each, "an element of \"instances\""), list);
            } catch (const DecodeError &e) {
                list.rejected.emplace_back(e.what());
            }
        }
        // A reply without a valid entry is more likely damaged than an empty list.
        if (!entries.empty() && list.rejected.size() == entries.size()) {
            throw DecodeError(list.rejected.front());
        }
        return list;
    }
};

const Registration<PlatformDialect, LsparV1Platform> registration("lspar-v1");

} // namespace

} // namespace laburnumspar
