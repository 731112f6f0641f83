#include "laburnumspar/waitingline.h"

#include <algorithm>
#include <iterator>

namespace laburnumspar {

void WaitingLine::add(const Place &place)
{
    m_places.insert(place);
}

void WaitingLine::remove(const Place &place)
{
    m_places.erase(place);
}

std::optional<WaitingLine::Place> WaitingLine::front() const
{
    return m_places.empty() ? std::nullopt : std::optional(*m_places.begin());
}

std::size_t WaitingLine::ahead(const Place &place) const
{
    return std::size_t(std::distance(m_places.begin(), m_places.lower_bound(place)));
}

Milliseconds expectedWait(std::size_t ahead, double slots, double meanSeconds)
{
    const double seconds = double(ahead + 1) * meanSeconds / std::max(slots, 1.0);
    return Milliseconds(std::int64_t(seconds * 1000));
}

} // namespace laburnumspar
