#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace laburnumspar {

/// Requests of one service that wait for a slot: first those that can still be answered within their objective, then
/// those that are late already. In each part the earliest go first, where less urgent ones count as later.
class WaitingLine
{
public:
    using Ticket = std::uint64_t;

    struct Place {
        TimePoint rank; ///< the earliest goes first
        TimePoint startBy; ///< latest start for an answer within the objective
        Ticket ticket = 0;

        auto operator<=>(const Place &) const = default;
    };

    /// `priority`: 0 is the most urgent.
    static Place makePlace(unsigned priority, TimePoint startBy, Ticket ticket);

    void add(const Place &place);
    void remove(const Place &place);
    std::optional<Place> front(TimePoint now) const;
    std::size_t size() const
    {
        return m_places.size();
    }
    /// Number of those that go before this place.
    std::size_t ahead(const Place &place, TimePoint now) const;

    /// A request has left the line to be started.
    void noteStart(TimePoint now);
    /// Requests started a second, over the last second.
    double startRate(TimePoint now) const;

private:
    std::set<Place> m_places;
    std::deque<TimePoint> m_starts;
};

} // namespace laburnumspar
