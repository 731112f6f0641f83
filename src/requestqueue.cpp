#include "laburnumspar/requestqueue.h"

#include <algorithm>

namespace laburnumspar {

namespace {

constexpr Milliseconds RateWindow{1000};
/// Offset of the rank per priority level: a request is overtaken by requests of the next higher priority whose latest
/// start is less than this much later. Strict priorities would starve less urgent requests of an overloaded service.
constexpr Milliseconds PriorityStep{100};
constexpr unsigned MaxPriority = 10;

} // namespace

void RequestQueue::add(const Entry &entry)
{
    m_entries.insert(entry);
}

void RequestQueue::remove(const Entry &entry)
{
    m_entries.erase(entry);
}

RequestQueue::Entry RequestQueue::makeEntry(unsigned priority, TimePoint startBy, Ticket ticket)
{
    return {startBy + int(std::min(priority, MaxPriority)) * PriorityStep, startBy, ticket};
}

std::optional<RequestQueue::Entry> RequestQueue::front(TimePoint now) const
{
    if (m_entries.empty()) {
        return std::nullopt;
    }
    const auto onTime
        = std::find_if(m_entries.begin(), m_entries.end(), [now](const Entry &it) { return it.startBy >= now; });
    return onTime != m_entries.end() ? *onTime : *m_entries.begin();
}

std::size_t RequestQueue::countAhead(const Entry &entry, TimePoint now) const
{
    const bool late = entry.startBy < now;
    return std::size_t(std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry &it) {
        const bool otherLate = it.startBy < now;
        return otherLate == late ? it < entry : late;
    }));
}

void RequestQueue::recordStart(TimePoint now)
{
    m_starts.push_back(now);
    while (now - m_starts.front() > RateWindow) {
        m_starts.pop_front();
    }
}

double RequestQueue::startRate(TimePoint now) const
{
    const auto inWindow
        = std::count_if(m_starts.begin(), m_starts.end(), [now](TimePoint at) { return now - at <= RateWindow; });
    return double(inWindow) / std::chrono::duration<double>(RateWindow).count();
}

} // namespace laburnumspar
