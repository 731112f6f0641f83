#include "callcounter.h"

#include <algorithm>

namespace laburnumspar::tools {

namespace {

constexpr std::chrono::seconds Second{1};

} // namespace

CallCounter::CallCounter(TimePoint start)
    : m_currentSecondStart(start)
{
}

void CallCounter::recordCall(const std::string &kind, TimePoint now)
{
    advance(now);
    ++m_calls[kind];
    ++m_currentSecondCalls;
}

void CallCounter::beginWatch(TimePoint now)
{
    advance(now);
    ++m_pendingWatches;
}

void CallCounter::endWatch(TimePoint now)
{
    advance(now);
    --m_pendingWatches;
}

boost::json::object CallCounter::report(TimePoint now)
{
    advance(now);
    boost::json::object calls;
    for (const auto &[kind, count] : m_calls) {
        calls[kind] = count;
    }
    return {{"calls", std::move(calls)},
            {"pending_watches", m_pendingWatches},
            {"calls_per_second", m_lastSecondCalls},
            {"peak_calls_per_second", m_peakCallsPerSecond}};
}

void CallCounter::advance(TimePoint now)
{
    const auto passed = (now - m_currentSecondStart) / Second;
    if (passed <= 0) {
        return;
    }
    m_peakCallsPerSecond = std::max(m_peakCallsPerSecond, m_currentSecondCalls);
    // No call was recorded in the seconds between, so their counts are the pending watches.
    m_lastSecondCalls = passed == 1 ? m_currentSecondCalls : m_pendingWatches;
    m_peakCallsPerSecond = std::max(m_peakCallsPerSecond, m_lastSecondCalls);
    m_currentSecondCalls = m_pendingWatches;
    m_currentSecondStart += passed * Second;
}

} // namespace laburnumspar::tools
