#include "callcounter.h"

#include <algorithm>

namespace laburnumspar::tools {

namespace {

constexpr std::chrono::seconds Second{1};

} // namespace

CallCounter::CallCounter(TimePoint start)
    : m_secondStart(start)
{
}

void CallCounter::started(const std::string &kind, TimePoint now)
{
    advance(now);
    ++m_calls[kind];
    ++m_thisSecond;
}

void CallCounter::watchPending(TimePoint now)
{
    advance(now);
    ++m_pending;
}

void CallCounter::watchEnded(TimePoint now)
{
    advance(now);
    --m_pending;
}

boost::json::object CallCounter::report(TimePoint now)
{
    advance(now);
    boost::json::object calls;
    for (const auto &[kind, count] : m_calls) {
        calls[kind] = count;
    }
    return {{"calls", std::move(calls)},
            {"pending_watches", m_pending},
            {"calls_per_second", m_lastSecond},
            {"peak_calls_per_second", m_peak}};
}

void CallCounter::advance(TimePoint now)
{
    const auto passed = (now - m_secondStart) / Second;
    if (passed <= 0) {
        return;
    }
    m_peak = std::max(m_peak, m_thisSecond);
    // Seconds without an event between have only the pending watches.
    m_lastSecond = passed == 1 ? m_thisSecond : m_pending;
    m_peak = std::max(m_peak, m_lastSecond);
    m_thisSecond = m_pending;
    m_secondStart += passed * Second;
}

} // namespace laburnumspar::tools
