#include "laburnumspar/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace laburnumspar;

namespace {

const std::vector<std::string> zones{"palermo", "catania", "messina"};

std::vector<MemberView> fleet(std::size_t size)
{
    std::vector<MemberView> members(size);
    for (std::size_t n = 0; n < size; ++n) {
        members[n].id = {"10.0.0." + std::to_string(n + 1), 7000};
        members[n].zone = zones[n % zones.size()];
    }
    return members;
}

const UpstreamsByZone upstreams{{"palermo", 7}, {"catania", 7}, {"messina", 6}};

UpstreamId upstream(std::size_t n)
{
    return {"10.9.0." + std::to_string(n + 1), 80};
}

MemberView &find(std::vector<MemberView> &members, const InstanceId &id)
{
    return *std::find_if(members.begin(), members.end(), [&id](const auto &member) { return member.id == id; });
}

} // namespace

// Guards against two dispatchers in a zone with few upstreams, which would both hold its slots, and against a
// dispatcher for a zone without upstreams.
BOOST_AUTO_TEST_CASE(groupHasOneMemberPerZone)
{
    const auto group = dispatcherGroup("orders", fleet(40), upstreams);
    std::set<std::string> seen;
    for (const auto &member : group) {
        BOOST_TEST(seen.insert(member.zone).second);
    }
    BOOST_TEST(group.size() == 3U);
    BOOST_TEST(dispatcherGroup("orders", fleet(40), {{"palermo", 64}}).size() == 1U);
    BOOST_TEST(dispatcherGroup("orders", fleet(40), {{"palermo", 65}}).size() == 2U);
    BOOST_TEST(dispatcherGroup("orders", fleet(40), {{"palermo", 0}, {"catania", 3}}).size() == 1U);
}

// Guards against roles that depend on the order of the members, which differs between instances.
BOOST_AUTO_TEST_CASE(rolesDoNotDependOnTheOrderOfMembers)
{
    auto members = fleet(40);
    const auto group = dispatcherGroup("orders", members, upstreams);
    const auto readers = settingsReaders(members);
    std::reverse(members.begin(), members.end());
    BOOST_CHECK(dispatcherGroup("orders", members, upstreams) == group);
    BOOST_CHECK(settingsReaders(members) == readers);
}

// Guards against roles that move although the member that has them stays.
BOOST_AUTO_TEST_CASE(leavingMemberMovesOnlyItsOwnRoles)
{
    const auto members = fleet(40);
    const auto group = dispatcherGroup("orders", members, upstreams);
    for (std::size_t n = 0; n < members.size(); ++n) {
        auto others = members;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
        const auto after = dispatcherGroup("orders", others, upstreams);
        for (std::size_t z = 0; z < group.size(); ++z) {
            BOOST_TEST((after[z] == group[z] || group[z].id == members[n].id));
        }
    }
}

// Guards against assigning roles to members that are leaving or unresponsive while alive ones are available.
BOOST_AUTO_TEST_CASE(leavingAndSuspectMembersHaveRolesOnlyAsALastResort)
{
    auto members = fleet(6);
    for (const auto state : {MemberState::Leaving, MemberState::Suspect, MemberState::Dead}) {
        const auto before = dispatcherGroup("orders", members, upstreams);
        find(members, before.front().id).state = state;
        for (const auto &member : dispatcherGroup("orders", members, upstreams)) {
            BOOST_CHECK(find(members, member.id).state == MemberState::Alive);
        }
    }
    for (auto &member : members) {
        member.state = MemberState::Suspect;
    }
    members[4].state = MemberState::Leaving;
    BOOST_CHECK((settingsReaders(members) == std::vector{members[4].id}));
    members[4].state = MemberState::Dead;
    BOOST_TEST(settingsReaders(members).size() == 3U);
    for (auto &member : members) {
        member.state = MemberState::Dead;
    }
    BOOST_TEST(dispatcherGroup("orders", members, upstreams).empty());
}

// Guards against upstreams without an owner if their zone has no instance.
BOOST_AUTO_TEST_CASE(upstreamsOfAZoneWithoutMembersAreOwnedByOtherZones)
{
    auto members = fleet(40);
    std::erase_if(members, [](const auto &member) { return member.zone == "messina"; });
    const auto group = dispatcherGroup("orders", members, upstreams);
    BOOST_TEST(group.size() == 2U);
    std::set<InstanceId> owners;
    for (std::size_t n = 0; n < 20; ++n) {
        owners.insert(*ownerOf(upstream(n), "messina", group, {}));
    }
    BOOST_TEST(owners.size() == 2U);
    BOOST_TEST(dispatcherGroup("orders", members, {{"messina", 6}}).size() == 1U);
    BOOST_TEST(!ownerOf(upstream(0), "messina", {}, {}).has_value());
}

// Guards against an owner that cannot reach its upstream, and against an upstream without an owner if no dispatcher can
// reach it.
BOOST_AUTO_TEST_CASE(ownershipMovesAwayFromInstancesThatCannotReachTheUpstream)
{
    auto members = fleet(40);
    const auto group = dispatcherGroup("orders", members, upstreams);
    const auto ranking = ownerRanking(upstream(0), "catania", group);
    BOOST_CHECK(find(members, ranking[0]).zone == "catania");
    find(members, ranking[0]).unreachable = {{"orders", {upstream(0)}}};
    find(members, ranking[1]).unreachable = {{"catalogue", {upstream(0)}}};
    const auto from = unreachableFrom("orders", upstream(0), members);
    BOOST_CHECK((from == std::vector{ranking[0]}));
    BOOST_CHECK(ownerOf(upstream(0), "catania", group, from) == ranking[1]);
    BOOST_CHECK(ownerOf(upstream(1), "catania", group, {}) == ranking[0]);
    BOOST_CHECK(ownerOf(upstream(0), "catania", group, ranking) == ranking[0]);
}

// Guards against choosing all settings readers in one zone: they would lose access to the settings together.
BOOST_AUTO_TEST_CASE(settingsReadersAreInDifferentZones)
{
    auto members = fleet(40);
    std::set<std::string> seen;
    for (const auto &id : settingsReaders(members)) {
        seen.insert(find(members, id).zone);
    }
    BOOST_TEST(seen.size() == 3U);
    std::erase_if(members, [](const auto &member) { return member.zone != "palermo"; });
    BOOST_TEST(settingsReaders(members).size() == 3U);
    BOOST_TEST(settingsReaders(std::span(members).first(1)).size() == 1U);
}

// Guards against a hash that assigns most services to a few members.
BOOST_AUTO_TEST_CASE(servicesAreSpreadOverTheMembers)
{
    std::map<InstanceId, int> roles;
    for (int n = 0; n < 1000; ++n) {
        for (const auto &member : dispatcherGroup("service-" + std::to_string(n), fleet(39), upstreams)) {
            ++roles[member.id];
        }
    }
    BOOST_TEST(roles.size() == 39U);
    for (const auto &[id, count] : roles) {
        BOOST_TEST(count > 38); // the mean is 77; half of it is more than four standard deviations below
        BOOST_TEST(count < 116);
    }
}
