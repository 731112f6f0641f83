#include "laburnumspar/waitingline.h"

#include <algorithm>

namespace laburnumspar {

namespace {

constexpr Milliseconds RateWindow{1000};
/// A request waits for this much more urgent work that comes later. Strict priorities would leave nothing to the less
/// urgent work of an overloaded service.
constexpr Milliseconds PriorityStep{100};
constexpr unsigned MostPriority = 10;

} // namespace

void WaitingLine::add(const Place &place)
{
    m_places.insert(place);
}

void WaitingLine::remove(const Place &place)
{
    m_places.erase(place);
}

WaitingLine::Place WaitingLine::makePlace(unsigned priority, TimePoint startBy, Ticket ticket)
{
    return {startBy + int(std::min(priority, MostPriority)) * PriorityStep, startBy, ticket};
}

std::optional<WaitingLine::Place> WaitingLine::front(TimePoint now) const
{
    if (m_places.empty()) {
        return std::nullopt;
    }
    const auto inTime
        = std::find_if(m_places.begin(), m_places.end(), [now](const Place &it) { return it.startBy >= now; });
    return inTime != m_places.end() ? *inTime : *m_places.begin();
}

std::size_t WaitingLine::ahead(const Place &place, TimePoint now) const
{
    const bool late = place.startBy < now;
    return std::size_t(std::count_if(m_places.begin(), m_places.end(), [&](const Place &it) {
        const bool itLate = it.startBy < now;
        return itLate == late ? it < place : late;
    }));
}

void WaitingLine::noteStart(TimePoint now)
{
    m_starts.push_back(now);
    while (now - m_starts.front() > RateWindow) {
        m_starts.pop_front();
    }
}

double WaitingLine::startRate(TimePoint now) const
{
    const auto inWindow
        = std::count_if(m_starts.begin(), m_starts.end(), [now](TimePoint at) { return now - at <= RateWindow; });
    return double(inWindow) / std::chrono::duration<double>(RateWindow).count();
}

} // namespace laburnumspar
