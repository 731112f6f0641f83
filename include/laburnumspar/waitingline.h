#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace laburnumspar {

/// Requests of one service that wait for a slot: the most urgent first, those of one urgency by their objective.
class WaitingLine
{
public:
    using Ticket = std::uint64_t;

    struct Place {
        unsigned priority = 0; ///< 0 is the most urgent
        TimePoint dueAt; ///< when the answer should be there
        Ticket ticket = 0;

        auto operator<=>(const Place &) const = default;
    };

    void add(const Place &place);
    void remove(const Place &place);
    std::optional<Place> front() const;
    std::size_t size() const
    {
        return m_places.size();
    }
    /// Number of those that go before this place.
    std::size_t ahead(const Place &place) const;

private:
    std::set<Place> m_places;
};

/// Time that a request waits behind `ahead` others where `slots` work at once, each for `meanSeconds`.
Milliseconds expectedWait(std::size_t ahead, double slots, double meanSeconds);

} // namespace laburnumspar
