#include "laburnumspar/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace laburnumspar {

namespace {

using Members = std::vector<const MemberView *>;

Members inState(std::span<const MemberView> members, MemberState state)
{
    Members found;
    for (const auto &member : members) {
        if (member.state == state) {
            found.push_back(&member);
        }
    }
    return found;
}

// Members of the best available state. A leaving member still responds until its requests are finished, a suspect one
// probably does not.
Members eligible(std::span<const MemberView> members)
{
    for (const auto state : {MemberState::Alive, MemberState::Leaving, MemberState::Suspect}) {
        auto found = inState(members, state);
        if (!found.empty()) {
            return found;
        }
    }
    return {};
}

// Sorts by descending score. Equal scores are sorted by address, so that every instance computes the same order.
template <typename T, typename IdOf>
void rank(std::vector<T> &items, std::string_view key, IdOf idOf)
{
    std::sort(items.begin(), items.end(), [&](const T &a, const T &b) {
        const auto scoreA = rendezvousScore(key, idOf(a));
        const auto scoreB = rendezvousScore(key, idOf(b));
        return scoreA != scoreB ? scoreA > scoreB : idOf(a) < idOf(b);
    });
}

void rank(Members &members, std::string_view key)
{
    rank(members, key, [](const MemberView *member) -> const InstanceId & { return member->id; });
}

Members ofZone(const Members &members, std::string_view zone)
{
    Members found;
    std::copy_if(members.begin(), members.end(), std::back_inserter(found), [zone](const MemberView *member) {
        return member->zone == zone;
    });
    return found;
}

std::string groupKey(std::string_view service, std::string_view zone)
{
    return "group/" + std::string(service) + '/' + std::string(zone);
}

// The port is part of the key, because several upstreams may share an IP address, in tests and on large machines.
std::string ownerKey(const UpstreamId &upstream)
{
    return "owner/" + upstream.ip + '/' + std::to_string(upstream.port);
}

} // namespace

std::uint64_t rendezvousScore(std::string_view key, const InstanceId &id)
{
    std::string text(key);
    text += '\0';
    text += id.ip;
    text += '\0';
    text += std::to_string(id.port);
    return XXH3_64bits(text.data(), text.size());
}

std::vector<GroupMember>
dispatcherGroup(std::string_view service, std::span<const MemberView> members, const UpstreamsByZone &upstreamsByZone)
{
    const auto pool = eligible(members);
    std::vector<GroupMember> group;
    for (const auto &[zone, upstreams] : upstreamsByZone) {
        auto candidates = ofZone(pool, zone);
        rank(candidates, groupKey(service, zone));
        const auto wanted = (upstreams + UpstreamsPerDispatcher - 1) / UpstreamsPerDispatcher;
        for (std::size_t n = 0; n < std::min(wanted, candidates.size()); ++n) {
            group.push_back({candidates[n]->id, zone});
        }
    }
    if (group.empty() && !pool.empty()) {
        auto candidates = pool;
        rank(candidates, groupKey(service, ""));
        group.push_back({candidates.front()->id, candidates.front()->zone});
    }
    return group;
}

std::vector<InstanceId>
ownerRanking(const UpstreamId &upstream, std::string_view zone, std::span<const GroupMember> group)
{
    std::vector<GroupMember> ranked(group.begin(), group.end());
    rank(ranked, ownerKey(upstream), [](const GroupMember &member) -> const InstanceId & { return member.id; });
    std::stable_partition(
        ranked.begin(), ranked.end(), [zone](const GroupMember &member) { return member.zone == zone; });
    std::vector<InstanceId> ids;
    for (const auto &member : ranked) {
        ids.push_back(member.id);
    }
    return ids;
}

std::optional<InstanceId> ownerOf(const UpstreamId &upstream,
                                  std::string_view zone,
                                  std::span<const GroupMember> group,
                                  std::span<const InstanceId> unreachableFrom)
{
    const auto ranking = ownerRanking(upstream, zone, group);
    if (ranking.empty()) {
        return std::nullopt;
    }
    const auto it = std::find_if(ranking.begin(), ranking.end(), [&](const InstanceId &id) {
        return std::find(unreachableFrom.begin(), unreachableFrom.end(), id) == unreachableFrom.end();
    });
    return it == ranking.end() ? ranking.front() : *it;
}

std::vector<InstanceId>
unreachableFrom(std::string_view service, const UpstreamId &upstream, std::span<const MemberView> members)
{
    std::vector<InstanceId> ids;
    for (const auto &member : members) {
        const bool reported = std::any_of(member.unreachable.begin(), member.unreachable.end(), [&](const auto &entry) {
            return entry.service == service
                && std::find(entry.upstreams.begin(), entry.upstreams.end(), upstream) != entry.upstreams.end();
        });
        if (reported) {
            ids.push_back(member.id);
        }
    }
    return ids;
}

std::vector<InstanceId> settingsReaders(std::span<const MemberView> members)
{
    auto ranked = eligible(members);
    rank(ranked, "settings-readers");
    std::set<std::string_view> zones;
    std::stable_partition(
        ranked.begin(), ranked.end(), [&zones](const MemberView *member) { return zones.insert(member->zone).second; });
    ranked.resize(std::min(ranked.size(), MaxSettingsReaders));
    std::vector<InstanceId> ids;
    for (const auto *member : ranked) {
        ids.push_back(member->id);
    }
    return ids;
}

} // namespace laburnumspar
