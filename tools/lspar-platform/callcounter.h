#pragma once

#include "laburnumspar/types.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspar::tools {

/// Counts calls of the platform stand-in by kind and by second. A second has the calls that started in it and the
/// watches that were pending when it began.
class CallCounter
{
public:
    explicit CallCounter(TimePoint start);

    void started(const std::string &kind, TimePoint now);
    void watchPending(TimePoint now);
    void watchEnded(TimePoint now);

    /// Reply of /control/calls.
    boost::json::object report(TimePoint now);

private:
    /// Closes the seconds that have passed.
    void advance(TimePoint now);

    TimePoint m_secondStart;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_pending = 0;
    std::uint64_t m_thisSecond = 0;
    std::uint64_t m_lastSecond = 0;
    std::uint64_t m_peak = 0;
};

} // namespace laburnumspar::tools
