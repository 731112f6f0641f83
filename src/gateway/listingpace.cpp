#include "gateway/listingpace.h"

#include <algorithm>

namespace laburnumspar::detail {

void ListingPace::recordCompletion()
{
    m_interval = MinInterval;
}

void ListingPace::recordRejection(bool listed)
{
    if (listed) {
        m_interval = std::min(2 * m_interval, MaxInterval);
    }
    m_due = m_begun + m_interval;
}

} // namespace laburnumspar::detail
