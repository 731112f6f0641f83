#pragma once

#include "laburnumspar/types.h"

#include <atomic>

namespace laburnumspar::detail {

/// End of a planned stop, by which all requests have to have ended. Thread-safe.
class DrainLimit
{
public:
    /// `limit`: longest duration of the stop that begins now; 0: unlimited.
    void start(TimePoint now, Milliseconds limit)
    {
        if (limit.count() > 0) {
            m_end = now + limit;
        }
    }

    bool isOver(TimePoint now) const
    {
        return now > m_end.load();
    }

    /// Whether a request with this deadline may still run when the limit is over.
    bool mayOutlast(TimePoint deadline) const
    {
        return deadline > m_end.load() - Margin;
    }

private:
    /// Time to send an answer that is ready at the deadline of its request.
    static constexpr Milliseconds Margin{100};

    std::atomic<TimePoint> m_end = TimePoint::max();
};

} // namespace laburnumspar::detail
