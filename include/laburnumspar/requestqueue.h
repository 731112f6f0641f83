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
class RequestQueue
{
public:
    using Ticket = std::uint64_t;

    struct Entry {
        TimePoint rank; ///< the earliest goes first
        TimePoint startBy; ///< latest start for an answer within the objective
        Ticket ticket = 0;

        auto operator<=>(const Entry &) const = default;
    };

    /// `priority`: 0 is the most urgent.
    static Entry makeEntry(unsigned priority, TimePoint startBy, Ticket ticket);

    void add(const Entry &entry);
    void remove(const Entry &entry);
    std::optional<Entry> front(TimePoint now) const;
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// Number of those that go before this place.
    std::size_t countAhead(const Entry &entry, TimePoint now) const;

    /// A request has left the line to be started.
    void recordStart(TimePoint now);
    /// Requests started a second, over the last second.
    double startRate(TimePoint now) const;

private:
    std::set<Entry> m_entries;
    std::deque<TimePoint> m_starts;
};

} // namespace laburnumspar
