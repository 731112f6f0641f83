#include "laburnumspar/membership.h"

#include "membershipnet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <set>

using namespace laburnumspar;
using namespace std::chrono_literals;

namespace {

// Every run checks the same cases unless RC_PARAMS names another seed.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=1 max_success=300", 0);

const ServiceLoad orders{"orders", 36, 5, 2, 1500, 90000};

/// A fleet in which all members know each other and all links are confirmed.
MembershipNet convergedNet(std::size_t size)
{
    MembershipNet net(size);
    net.run(20s);
    return net;
}

Membership singleInstance(std::uint64_t incarnation = 5)
{
    return Membership::Builder().self({"10.0.0.1", 7000}).zone("a").incarnation(incarnation).build();
}

Heartbeat heartbeatWith(std::vector<MemberRecord> members, MemberState state = MemberState::Alive)
{
    Heartbeat heartbeat;
    heartbeat.zone = "b";
    heartbeat.state = state;
    heartbeat.members = std::move(members);
    return heartbeat;
}

const InstanceId peer{"10.0.0.2", 7000};
const TimePoint start = TimePoint() + 1h;

} // namespace

// Guards against instances that find only the seeds, and against false suspicion without any fault.
BOOST_AUTO_TEST_CASE(membersLearnEachOtherAndStayAlive)
{
    auto net = convergedNet(40);
    for (std::size_t n = 0; n < net.size(); ++n) {
        BOOST_TEST(net.countObservers(n, MemberState::Alive) == 39U);
        net.at(n).takeChanges();
    }
    const auto view = net.at(5).member(net[7].id, net.now());
    BOOST_TEST(view->zone == "catania");
    BOOST_CHECK((view->callerAddress == Endpoint{net[7].id.ip, 8000}));
    BOOST_TEST(view->bidirectional);
    net.run(60s, [&net] { return !net.at(3).isViewCurrent(net.now()); });
    for (std::size_t n = 0; n < net.size(); ++n) {
        BOOST_TEST(net.at(n).takeChanges().empty());
    }
}

// Guards against a failed member that keeps its roles, and against declaring it suspect or dead too early.
BOOST_AUTO_TEST_CASE(failedMemberIsSuspectThenDead)
{
    auto net = convergedNet(20);
    net[4].running = false;
    net.run(1900ms);
    BOOST_TEST(net.countObservers(4, MemberState::Alive) == 19U);
    net.run(2600ms);
    BOOST_TEST(net.countObservers(4, MemberState::Suspect) == 19U);
    net.run(1400ms);
    BOOST_TEST(net.countObservers(4, MemberState::Suspect) == 19U);
    net.run(2600ms);
    BOOST_TEST(net.countObservers(4, MemberState::Dead) == 19U);
}

// Guards against a one-way fault that makes a working member suspect, and against a link that counts as working because
// one direction works.
BOOST_AUTO_TEST_CASE(oneWayLinkIsDetectedWithoutSuspicion)
{
    auto net = convergedNet(12);
    net.setLoss([](std::size_t from, std::size_t to) { return from == 2 && to == 3; });
    net.run(15s);
    BOOST_TEST(net.countObservers(2, MemberState::Alive) == 11U);
    BOOST_TEST(!net.at(3).bidirectional(net[2].id, net.now()));
    BOOST_TEST(!net.at(2).bidirectional(net[3].id, net.now()));
    BOOST_TEST(net.at(2).bidirectional(net[4].id, net.now()));
    BOOST_TEST(!net.at(2).bidirectional({"10.9.9.9", 1}, net.now()));
    net.setLoss({});
    net.run(5s);
    BOOST_TEST(net.at(3).bidirectional(net[2].id, net.now()));
    BOOST_TEST(net.at(2).bidirectional(net[3].id, net.now()));
}

// Guards against an instance that acts on an outdated view after a pause: heartbeats that were buffered in its socket
// do not prove that it is connected now.
BOOST_AUTO_TEST_CASE(viewAfterAPauseIsCurrentOnlyOnceAPeerConfirms)
{
    auto net = convergedNet(12);
    net[4].paused = true;
    net.run(10s);
    BOOST_TEST(net.countObservers(4, MemberState::Dead) == 11U);
    net.at(4).takeChanges();
    net[4].paused = false;
    net.setLoss([](std::size_t, std::size_t to) { return to == 4; });
    net.run(1500ms, [&net] { return net.at(4).isViewCurrent(net.now()); });
    BOOST_TEST(!net.at(4).isViewCurrent(net.now()));
    BOOST_TEST(net.at(4).counters().pauses == 1U);
    BOOST_TEST(net.at(4).takeChanges().empty()); // no other member counts as failed because of the pause
    net.setLoss({});
    BOOST_TEST(net.run(2s, [&net] { return net.at(4).isViewCurrent(net.now()); }));
    net.run(2s);
    BOOST_TEST(net.countObservers(4, MemberState::Alive) == 11U);
}

// Guards against counting a pause twice, when the caller records it and a late tick detects it.
BOOST_AUTO_TEST_CASE(recordedPauseIsCountedOnce)
{
    auto net = convergedNet(3);
    const auto from = net.now();
    net.at(0).recordPause(from, from + 8s);
    net.at(0).recordPause(from, from + 8s);
    net.at(0).tick(from + 8s);
    BOOST_TEST(net.at(0).counters().pauses == 1U);
    BOOST_TEST((net.at(0).member(net[1].id, from + 8s)->state == MemberState::Alive));
    BOOST_TEST(!net.at(0).isViewCurrent(from + 8s));
    net.at(1).tick(from + 8s); // the late tick comes first
    net.at(1).recordPause(from, from + 8s + 20ms);
    BOOST_TEST(net.at(1).counters().pauses == 1U);
    net.at(1).recordPause(from + 8s, from + 12s);
    BOOST_TEST(net.at(1).counters().pauses == 2U);
}

// Guards against a restarted member that is mistaken for its previous process.
BOOST_AUTO_TEST_CASE(higherIncarnationReplacesTheLowerOne)
{
    auto net = convergedNet(12);
    net.at(4).publish({orders}, {});
    net.run(3s);
    const auto before = net.at(6).member(net[4].id, net.now());
    BOOST_TEST(before->loads.size() == 1U);
    net.start(4);
    net.run(3s);
    const auto after = net.at(6).member(net[4].id, net.now());
    BOOST_TEST(after->incarnation > before->incarnation);
    BOOST_TEST(after->loads.empty());
    BOOST_TEST(net.countObservers(4, MemberState::Alive) == 11U);
    const auto old = net.at(6).receive({net[4].id, before->incarnation, 100000}, {}, net[4].id, net.now());
    BOOST_CHECK(old == ReceiveResult::OldIncarnation);
}

// Guards against a member that is rejected forever because its wall clock was set back before it restarted.
BOOST_AUTO_TEST_CASE(lowerIncarnationIsRaisedAboveTheKnownOne)
{
    auto net = convergedNet(6);
    const auto before = net.at(4).incarnation();
    net.start(4, before - 1000);
    net.run(4s);
    BOOST_TEST(net.at(4).incarnation() > before);
    BOOST_TEST(net.countObservers(4, MemberState::Alive) == 5U);
}

// Guards against replayed datagrams and wrong senders.
BOOST_AUTO_TEST_CASE(replaysAndWrongSendersAreRejectedAndCounted)
{
    auto membership = singleInstance();
    const auto receive = [&membership](std::uint64_t incarnation, std::uint64_t sequence, const InstanceId &from) {
        return membership.receive({peer, incarnation, sequence}, heartbeatWith({}), from, start);
    };
    BOOST_CHECK(receive(7, 10, peer) == ReceiveResult::Accepted);
    BOOST_CHECK(receive(7, 10, peer) == ReceiveResult::Replay);
    BOOST_CHECK(receive(7, 9, peer) == ReceiveResult::Replay);
    BOOST_CHECK(receive(6, 99, peer) == ReceiveResult::OldIncarnation);
    BOOST_CHECK(receive(0, 99, peer) == ReceiveResult::OldIncarnation);
    BOOST_CHECK(receive(7, 11, {"10.0.0.3", 7000}) == ReceiveResult::WrongSender);
    BOOST_CHECK(receive(7, std::uint64_t(1) << 32U, peer) == ReceiveResult::Replay);
    BOOST_CHECK(receive(8, 1, peer) == ReceiveResult::Accepted);
    const auto received = membership.counters().received;
    BOOST_TEST(received[static_cast<std::size_t>(ReceiveResult::Accepted)] == 2U);
    BOOST_TEST(received[static_cast<std::size_t>(ReceiveResult::Replay)] == 3U);
}

// Guards against a leaving member that still receives requests, or that an outdated record shows as alive again.
BOOST_AUTO_TEST_CASE(leavingReachesAllAndStays)
{
    auto net = convergedNet(40);
    net.at(4).leave();
    BOOST_TEST(net.run(3s, [&net] { return net.countObservers(4, MemberState::Leaving) == 39; }));
    net.run(5s, [&net] { return net.countObservers(4, MemberState::Leaving) != 39; });
    BOOST_TEST(net.countObservers(4, MemberState::Leaving) == 39U);
    BOOST_TEST(net.at(4).view(net.now()).front().id.ip == net[4].id.ip);
    BOOST_CHECK(net.at(4).view(net.now()).front().state == MemberState::Leaving);
    net[4].running = false;
    net.run(9s);
    BOOST_TEST(net.countObservers(4, MemberState::Dead) == 39U);
}

// Guards against decisions that go on with a member of the past, because its removal from the view is no new revision.
BOOST_AUTO_TEST_CASE(removalOfADeadMemberIsANewRevision)
{
    auto net = convergedNet(3);
    net[2].running = false;
    net.run(1min);
    BOOST_CHECK(net.state(0, 2) == MemberState::Dead);
    const auto revision = net.at(0).revision();
    net.run(1h);
    BOOST_TEST(!net.at(0).member(net[2].id, net.now()).has_value());
    BOOST_TEST(net.at(0).revision() > revision);
}

// Guards against an outdated platform list that overrides what the members themselves report.
BOOST_AUTO_TEST_CASE(platformListDoesNotOverrideMembers)
{
    auto net = convergedNet(6);
    const std::vector<InstanceEntry> live{{net[4].id, "catania", false}, {{"10.7.7.7", 7000}, "catania", false}};
    const std::vector<InstanceEntry> leaving{{net[4].id, "catania", true}};
    net.at(0).applyPlatformList(live, net.now());
    BOOST_TEST(!net.at(0).member({"10.7.7.7", 7000}, net.now()).has_value());
    std::size_t contacted = 0;
    for (int n = 1; n <= 40; ++n) {
        for (const auto &datagram : net.at(0).tick(net.now() + n * 250ms)) {
            contacted += datagram.to.ip == "10.7.7.7" ? 1 : 0;
        }
    }
    BOOST_TEST(contacted > 0U);
    net = convergedNet(6);
    net.at(0).applyPlatformList(leaving, net.now());
    net.at(0).applyPlatformList(leaving, net.now());
    net.run(3s);
    BOOST_CHECK(net.state(0, 4) == MemberState::Leaving);
    BOOST_TEST(net.countObservers(4, MemberState::Alive) == 4U); // the mark is not relayed
    net.start(4);
    net.run(3s);
    net.at(0).applyPlatformList(leaving, net.now());
    BOOST_CHECK(net.state(0, 4) == MemberState::Alive);
}

// Guards against sides of a network partition that stay separated after it ends.
BOOST_AUTO_TEST_CASE(sidesOfAPartitionMerge)
{
    auto net = convergedNet(12);
    net.setLoss([](std::size_t from, std::size_t to) { return (from < 5) != (to < 5); });
    net.run(20s);
    BOOST_TEST(net.countObservers(8, MemberState::Dead) == 5U);
    BOOST_TEST(net.countObservers(8, MemberState::Alive) == 6U);
    net.setLoss({});
    net.run(8s);
    for (std::size_t n = 0; n < net.size(); ++n) {
        BOOST_TEST(net.countObservers(n, MemberState::Alive) == 11U);
    }
}

// Guards against an isolated instance that never serves again, and against one that does not detect its isolation.
BOOST_AUTO_TEST_CASE(isolatedInstanceDetectsItsIsolation)
{
    auto net = convergedNet(6);
    net.setLoss([](std::size_t from, std::size_t to) { return from == 3 || to == 3; });
    net.run(2500ms);
    BOOST_TEST(!net.at(3).isViewCurrent(net.now()));
    BOOST_TEST(!net.at(3).hasNoLivePeers(net.now()));
    net.run(6s);
    BOOST_TEST(net.at(3).hasNoLivePeers(net.now()));
    BOOST_TEST(net.at(3).isViewCurrent(net.now()));
    BOOST_TEST(!net.at(2).hasNoLivePeers(net.now()));
}

// Guards against dispatchers selected by outdated loads, and against an upstream that stays marked as unreachable.
BOOST_AUTO_TEST_CASE(publishedStateReachesAllAndIsReplaced)
{
    auto net = convergedNet(40);
    const auto reached = [&net](std::size_t loads, std::size_t unreachable) {
        std::size_t count = 0;
        for (std::size_t n = 0; n < net.size(); ++n) {
            const auto view = net.at(n).member(net[4].id, net.now());
            count += view->loads.size() == loads && view->unreachable.size() == unreachable ? 1 : 0;
        }
        return count == net.size();
    };
    net.at(4).publish({orders}, {{"orders", {{"10.9.0.1", 80}}}});
    BOOST_TEST(net.run(3s, [&reached] { return reached(1, 1); }));
    BOOST_CHECK((net.at(9).member(net[4].id, net.now())->loads.front() == orders));
    net.at(4).publish({}, {});
    BOOST_TEST(net.run(3s, [&reached] { return reached(0, 0); }));
}

// Guards against heartbeats that grow with the fleet or with the published state.
BOOST_AUTO_TEST_CASE(heartbeatsAreBoundedAtAnySize)
{
    auto membership = singleInstance();
    std::vector<UnreachableUpstreams> unreachable{{"orders", std::vector<UpstreamId>(500, {"10.9.0.1", 80})}};
    membership.publish(std::vector<ServiceLoad>(50, orders), unreachable);
    membership.publishSettings(std::vector<SettingsVersion>(100, {std::string(200, 'x'), Revision(0, 1)}));
    BOOST_CHECK_THROW(membership.publish({{std::string(500, 'x')}}, {}), EncodeError);
    std::uint64_t sequence = 0;
    for (std::size_t n = 1; n < 3800; ++n) {
        const auto id = MembershipNet::address(n);
        membership.receive({id, 1, ++sequence}, heartbeatWith({}), id, start + Milliseconds(n));
    }
    std::size_t bytes = 0;
    for (int n = 0; n < 40; ++n) {
        const auto datagrams = membership.tick(start + 4s + n * 250ms);
        BOOST_TEST(datagrams.size() == 2U);
        for (const auto &datagram : datagrams) {
            BOOST_TEST(datagram.bytes.size() <= MaxDatagramBytes);
            bytes += datagram.bytes.size() + 28; // with IP and UDP headers
        }
    }
    BOOST_TEST(2 * bytes / 10 < 29000U); // as many are received as sent
    BOOST_TEST(membership.tick(start + 4s + 39 * 250ms + 50ms).empty());
}

// Guards against settings versions that are never announced.
BOOST_AUTO_TEST_CASE(settingsWindowCoversAllVersions)
{
    auto net = convergedNet(2);
    std::vector<SettingsVersion> versions;
    for (std::uint64_t n = 0; n < 20; ++n) {
        versions.push_back({"/teams/t/services/s" + std::to_string(n), Revision(n % 3, n)});
    }
    net.at(0).publishSettings(versions);
    std::set<Revision> seen;
    for (int n = 1; n <= 10; ++n) {
        const auto datagrams = net.at(0).tick(net.now() + n * 250ms);
        const auto message = decode(datagrams.at(0).bytes);
        const auto &digest = std::get<Heartbeat>(message.message).settings;
        BOOST_TEST(digest.hash == settingsHash(versions));
        for (const auto &version : digest.window) {
            seen.insert(version.version);
        }
    }
    BOOST_TEST(seen.size() == versions.size());
    std::swap(versions.front(), versions.back());
    BOOST_TEST(settingsHash(versions) != settingsHash(std::span(versions).first(19)));
    net.run(5s); // the ticks above ran ahead of the simulated clock
    BOOST_TEST(net.at(1).member(net[0].id, net.now())->settingsHash == settingsHash(versions));
}

// Guards against older information that replaces newer, for any order of duplicated, delayed and contradictory
// heartbeats.
BOOST_AUTO_TEST_CASE(incarnationsAndLeavingNeverGoBack)
{
    const bool holds = rc::check("incarnations and leaving never go back", [](const std::vector<std::uint32_t> &steps) {
        auto membership = singleInstance();
        auto now = start;
        const InstanceId other{"10.0.0.3", 7000};
        std::optional<MemberView> before;
        for (const auto step : steps) {
            now += Milliseconds(step % 97);
            const auto incarnation = step / 97 % 3 + 1;
            const auto sequence = static_cast<std::uint32_t>(step / 291 % 20 + 1);
            const auto state = static_cast<MemberState>(step / 5820 % 4);
            if (step / 23280 % 2 == 0) {
                membership.receive({other, incarnation, sequence}, heartbeatWith({}, state), other, now);
            } else {
                const MemberRecord record{other, {}, "b", incarnation, sequence, state, false};
                membership.receive({peer, 1, step % 4096 + 1U}, heartbeatWith({record}), peer, now);
            }
            const auto after = membership.member(other, now);
            if (before && after) {
                RC_ASSERT(after->incarnation >= before->incarnation);
                RC_ASSERT(after->incarnation > before->incarnation || before->state != MemberState::Leaving
                          || after->state == MemberState::Leaving);
            }
            before = after;
        }
    });
    BOOST_TEST(holds);
}
