#include "detail/peerselector.h"

#include <algorithm>
#include <utility>

namespace laburnumspar::detail {

namespace {

// Every fourth period one heartbeat goes to an instance that is not a live member, to discover new instances and those
// that became reachable again.
constexpr std::uint64_t DiscoveryPeriods = 4;
constexpr std::size_t MaxPrioritized = 64;
// Entries examined per search for a discovery target; bounds the cost of a period.
constexpr std::size_t SearchLimit = 64;

template <typename Map, typename Predicate>
std::optional<InstanceId> findAfter(const Map &map, InstanceId &cursor, Predicate matches)
{
    std::optional<InstanceId> found;
    visitAfter(map, cursor, SearchLimit, [&](const auto &entry) {
        if (found) {
            return false;
        }
        if (matches(entry)) {
            found = entry.first;
        }
        return true;
    });
    return found;
}

} // namespace

PeerSelector::PeerSelector(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_random(randomSeed)
{
    for (const auto &seed : seeds) {
        m_seeds[seed] = false;
    }
}

void PeerSelector::setListedInstances(ListedInstances instances)
{
    m_listed = std::move(instances);
}

void PeerSelector::prioritize(const InstanceId &id)
{
    if (m_prioritized.size() < MaxPrioritized
        && std::find(m_prioritized.begin(), m_prioritized.end(), id) == m_prioritized.end()) {
        m_prioritized.push_back(id);
    }
}

bool PeerSelector::isCandidate(const InstanceId &id, const Members &members, const Selection &selection) const
{
    const auto it = members.find(id);
    return it != members.end() && it->second.state != MemberState::Dead
        && std::find(selection.begin(), selection.end(), id) == selection.end();
}

std::optional<InstanceId> PeerSelector::nextPrioritized(const Members &members, const Selection &selection)
{
    while (!m_prioritized.empty()) {
        const auto id = m_prioritized.front();
        m_prioritized.pop_front();
        if (isCandidate(id, members, selection)) {
            return id;
        }
    }
    return std::nullopt;
}

void PeerSelector::startRound(const Members &members)
{
    m_round.clear();
    for (const auto &[id, member] : members) {
        if (member.state != MemberState::Dead) {
            m_round.push_back(id);
        }
    }
    std::shuffle(m_round.begin(), m_round.end(), m_random);
}

// Every member is selected once per round, in random order. With independent random choices, some member would receive
// no heartbeat for many rounds, and its link would count as broken.
std::optional<InstanceId> PeerSelector::nextInRound(const Members &members, const Selection &selection)
{
    if (m_round.empty()) {
        startRound(members);
    }
    while (!m_round.empty()) {
        const auto id = m_round.back();
        m_round.pop_back();
        if (isCandidate(id, members, selection)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<InstanceId> PeerSelector::nextDiscoveryTarget(const Members &members, const Selection &selection)
{
    const auto isDiscoverable = [&](const InstanceId &id) {
        const auto it = members.find(id);
        return id != m_self && (it == members.end() || it->second.state == MemberState::Dead)
            && std::find(selection.begin(), selection.end(), id) == selection.end();
    };
    const auto listedCandidate = [&](const auto &entry) { return !entry.second && isDiscoverable(entry.first); };
    const auto deadCandidate = [&](const auto &entry) { return isDiscoverable(entry.first); };
    for (int n = 0; n < 3; ++n) {
        const auto source = m_discoverySource++ % 3;
        const auto found = source == 0 ? findAfter(m_seeds, m_seedCursor, listedCandidate)
            : source == 1              ? findAfter(m_listed, m_listedCursor, listedCandidate)
                                       : findAfter(members, m_deadCursor, deadCandidate);
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

std::vector<InstanceId> PeerSelector::select(const Members &members)
{
    Selection selection;
    const auto add = [&selection](std::optional<InstanceId> id) {
        if (id && selection.size() < Fanout) {
            selection.push_back(std::move(*id));
        }
    };
    if (m_ticks++ % DiscoveryPeriods == 0) {
        add(nextDiscoveryTarget(members, selection));
    }
    if (selection.empty()) {
        add(nextPrioritized(members, selection));
    }
    while (selection.size() < Fanout) {
        auto id = nextInRound(members, selection);
        if (!id) {
            break;
        }
        add(std::move(id));
    }
    // With too few live members, the remaining heartbeats go to discovery targets as well. This speeds up joining the
    // fleet and the recovery from a network partition.
    while (selection.size() < Fanout) {
        auto id = nextDiscoveryTarget(members, selection);
        if (!id) {
            break;
        }
        add(std::move(id));
    }
    return selection;
}

} // namespace laburnumspar::detail
