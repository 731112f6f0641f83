#include "detail/contacts.h"

#include <algorithm>
#include <utility>

namespace laburnumspar::detail {

namespace {

// Every fourth period one heartbeat goes to an instance that is no live member, to find new and lost ones.
constexpr std::uint64_t OutsiderPeriods = 4;
constexpr std::size_t MaxRequested = 64;
// Entries looked at when searching for an outsider; keeps the cost of a period fixed.
constexpr std::size_t SearchLimit = 64;

template <typename Map, typename Predicate>
std::optional<InstanceId> search(const Map &map, InstanceId &cursor, Predicate matches)
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

Contacts::Contacts(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_random(randomSeed)
{
    for (const auto &seed : seeds) {
        m_seeds[seed] = false;
    }
}

void Contacts::setHints(Hints hints)
{
    m_hints = std::move(hints);
}

void Contacts::request(const InstanceId &id)
{
    if (m_requested.size() < MaxRequested
        && std::find(m_requested.begin(), m_requested.end(), id) == m_requested.end()) {
        m_requested.push_back(id);
    }
}

bool Contacts::usable(const InstanceId &id, const Members &members, const Chosen &chosen) const
{
    const auto it = members.find(id);
    return it != members.end() && it->second.state != MemberState::Dead
        && std::find(chosen.begin(), chosen.end(), id) == chosen.end();
}

std::optional<InstanceId> Contacts::nextRequested(const Members &members, const Chosen &chosen)
{
    while (!m_requested.empty()) {
        const auto id = m_requested.front();
        m_requested.pop_front();
        if (usable(id, members, chosen)) {
            return id;
        }
    }
    return std::nullopt;
}

void Contacts::startRound(const Members &members)
{
    m_round.clear();
    for (const auto &[id, member] : members) {
        if (member.state != MemberState::Dead) {
            m_round.push_back(id);
        }
    }
    std::shuffle(m_round.begin(), m_round.end(), m_random);
}

// Random, but every member once per round: independent choices would leave some member without a heartbeat for many
// rounds, and its link would count as broken.
std::optional<InstanceId> Contacts::nextOfRound(const Members &members, const Chosen &chosen)
{
    if (m_round.empty()) {
        startRound(members);
    }
    while (!m_round.empty()) {
        const auto id = m_round.back();
        m_round.pop_back();
        if (usable(id, members, chosen)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<InstanceId> Contacts::nextOutsider(const Members &members, const Chosen &chosen)
{
    const auto outside = [&](const InstanceId &id) {
        const auto it = members.find(id);
        return id != m_self && (it == members.end() || it->second.state == MemberState::Dead)
            && std::find(chosen.begin(), chosen.end(), id) == chosen.end();
    };
    const auto listed = [&](const auto &entry) { return !entry.second && outside(entry.first); };
    const auto dead = [&](const auto &entry) { return outside(entry.first); };
    for (int n = 0; n < 3; ++n) {
        const auto source = m_source++ % 3;
        const auto found = source == 0 ? search(m_seeds, m_seedCursor, listed)
            : source == 1              ? search(m_hints, m_hintCursor, listed)
                                       : search(members, m_deadCursor, dead);
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

std::vector<InstanceId> Contacts::choose(const Members &members)
{
    Chosen chosen;
    const auto add = [&chosen](std::optional<InstanceId> id) {
        if (id && chosen.size() < Fanout) {
            chosen.push_back(std::move(*id));
        }
    };
    if (m_ticks++ % OutsiderPeriods == 0) {
        add(nextOutsider(members, chosen));
    }
    if (chosen.empty()) {
        add(nextRequested(members, chosen));
    }
    while (chosen.size() < Fanout) {
        auto id = nextOfRound(members, chosen);
        if (!id) {
            break;
        }
        add(std::move(id));
    }
    // Without members, everything goes to those that might be; this shortens the start and the end of a partition.
    while (chosen.size() < Fanout) {
        auto id = nextOutsider(members, chosen);
        if (!id) {
            break;
        }
        add(std::move(id));
    }
    return chosen;
}

} // namespace laburnumspar::detail
