#pragma once

#include "laburnumspar/types.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspar::tools {

/// Counts the calls that the simulated platform receives, in total per kind and per second. The count of a second
/// includes the calls that started in it and the watches that were already pending when it began.
class CallCounter
{
public:
    explicit CallCounter(TimePoint start);

    /// Counts a call of this kind (`read`, `list`, `watch` or `instances`).
    void recordCall(const std::string &kind, TimePoint now);
    void beginWatch(TimePoint now);
    void endWatch(TimePoint now);

    /// Body of the response to GET /control/calls.
    boost::json::object report(TimePoint now);

private:
    /// Completes the counts of all seconds that ended before `now`.
    void advance(TimePoint now);

    TimePoint m_currentSecondStart;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_pendingWatches = 0;
    std::uint64_t m_currentSecondCalls = 0;
    std::uint64_t m_lastSecondCalls = 0;
    std::uint64_t m_peakCallsPerSecond = 0;
};

} // namespace laburnumspar::tools
