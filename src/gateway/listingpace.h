#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::detail {

/// Limits how often the store is listed because a reply was not usable. The first listing may follow at once.
class ListingPace
{
public:
    bool isDue(TimePoint now) const
    {
        return now >= m_due;
    }
    /// Records that a listing begins.
    void begin(TimePoint now)
    {
        m_begun = now;
    }
    void recordCompletion();
    /// Records an unusable reply. `listed`: it contained a page of a listing, so that the next one may fail as well.
    void recordRejection(bool listed);

private:
    static constexpr Milliseconds MinInterval{1000};
    static constexpr Milliseconds MaxInterval{2000};

    TimePoint m_begun; ///< of the last listing
    TimePoint m_due; ///< earliest time of the next listing
    Milliseconds m_interval = MinInterval; ///< between the begin of two listings
};

} // namespace laburnumspar::detail
