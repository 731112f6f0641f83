#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace laburnumspar {

/// Queue of the requests of one service that wait for a slot. Requests that can still meet their objective are served
/// before those that are late already. Within each group they are ordered by the latest start that meets the objective
/// plus an offset that grows as the priority falls, and by as much as their organisation is ahead of its fair part of
/// the recent starts.
///
/// Answers a service with too little room, while one organisation may send many times as much as the others.
class RequestQueue
{
public:
    using Ticket = std::uint64_t;

    /// For whom a request waits.
    struct Owner {
        std::string organisation; ///< empty: none
        double weight = 1; ///< of its part of the service, relative to the other organisations
    };

    struct Entry {
        TimePoint rank; ///< order within a group and organisation; the earliest is served first
        TimePoint startBy; ///< latest start that meets the objective
        Ticket ticket = 0;

        auto operator<=>(const Entry &) const = default;
    };

    /// `priority`: 0 is the most urgent.
    static Entry makeEntry(unsigned priority, TimePoint startBy, Ticket ticket);

    void add(const Entry &entry, const Owner &owner);
    void remove(const Entry &entry, const Owner &owner);
    /// Removes an entry whose owner is not known any more.
    void drop(const Entry &entry);
    /// Entry to be started next; nothing if the queue is empty.
    std::optional<Entry> front(TimePoint now) const;
    std::size_t size() const
    {
        return m_size;
    }
    /// Number of entries that are served before this one.
    std::size_t countAhead(const Entry &entry, const Owner &owner, TimePoint now) const;

    /// Records that a request has been started.
    void recordStart(TimePoint now, const Owner &owner);
    /// Requests started per second, over the last second.
    double startRate(TimePoint now) const;

private:
    /// An organisation with requests in the queue or recent starts.
    struct Part {
        std::set<Entry> entries;
        std::size_t started = 0; ///< recently
        double weight = 1;
    };
    struct Start {
        TimePoint at;
        std::string organisation;
    };

    Part &partOf(const Owner &owner);
    /// Time by which an organisation is ahead of its fair part of the recent starts.
    Clock::duration lead(const Part &part) const;
    void release(const std::string &organisation);

    std::map<std::string, Part> m_parts; ///< by organisation
    std::deque<Start> m_starts;
    std::size_t m_size = 0;
    double m_weights = 0; ///< of all parts
};

} // namespace laburnumspar
