#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace laburnumspar {

/// Queue of the requests of one service that wait for a slot. Requests that can still meet their objective are served
/// before those that are late already. Within each group they are ordered by the latest start that meets the objective
/// plus an offset that grows as the priority falls.
class RequestQueue
{
public:
    using Ticket = std::uint64_t;

    struct Entry {
        TimePoint rank; ///< order within a group; the earliest is served first
        TimePoint startBy; ///< latest start that meets the objective
        Ticket ticket = 0;

        auto operator<=>(const Entry &) const = default;
    };

    /// `priority`: 0 is the most urgent.
    static Entry makeEntry(unsigned priority, TimePoint startBy, Ticket ticket);

    void add(const Entry &entry);
    void remove(const Entry &entry);
    /// Entry to be started next; nothing if the queue is empty.
    std::optional<Entry> front(TimePoint now) const;
    std::size_t size() const
    {
        return m_entries.size();
    }
    /// Number of entries that are served before this one.
    std::size_t countAhead(const Entry &entry, TimePoint now) const;

    /// Records that a request has been started.
    void recordStart(TimePoint now);
    /// Requests started per second, over the last second.
    double startRate(TimePoint now) const;

private:
    std::set<Entry> m_entries;
    std::deque<TimePoint> m_starts;
};

} // namespace laburnumspar
