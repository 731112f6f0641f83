#pragma once

#include "detail/memberlist.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace laburnumspar::detail {

/// Whether the platform lists an instance as leaving.
using Hints = std::map<InstanceId, bool>;

/// Chooses the receivers of heartbeats. The number per period is fixed, whatever the size of the fleet.
class Contacts
{
public:
    Contacts(InstanceId self, const std::vector<InstanceId> &seeds, std::uint64_t randomSeed);

    const Hints &hints() const
    {
        return m_hints;
    }
    void setHints(Hints hints);
    /// Contacts the member soon: it was learned through others, or does not hear this instance.
    void request(const InstanceId &id);
    std::vector<InstanceId> choose(const Members &members);

private:
    using Chosen = std::vector<InstanceId>;

    bool usable(const InstanceId &id, const Members &members, const Chosen &chosen) const;
    std::optional<InstanceId> nextRequested(const Members &members, const Chosen &chosen);
    std::optional<InstanceId> nextOfRound(const Members &members, const Chosen &chosen);
    std::optional<InstanceId> nextOutsider(const Members &members, const Chosen &chosen);
    void startRound(const Members &members);

    InstanceId m_self;
    Hints m_seeds;
    Hints m_hints;
    std::mt19937_64 m_random;
    std::vector<InstanceId> m_round; ///< still to be contacted, last first
    std::deque<InstanceId> m_requested;
    std::uint64_t m_ticks = 0;
    std::size_t m_source = 0; ///< of outsiders, in turn: seeds, hints, dead members
    InstanceId m_seedCursor;
    InstanceId m_hintCursor;
    InstanceId m_deadCursor;
};

} // namespace laburnumspar::detail
