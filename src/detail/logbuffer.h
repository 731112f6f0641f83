#pragma once

#include "laburnumspar/log.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// Buffer of log lines with limits for its size and for the rate of lines. Lines below LogLevel::Warning are subject to
/// the rate limit and are dropped first when the buffer fills up. Not thread-safe.
class LogBuffer
{
public:
    struct Limits {
        std::size_t bytes = 256 << 10;
        unsigned linesPerSecond = 2000; ///< of levels below Warning
    };

    explicit LogBuffer(Limits limits);

    /// Appends the line and a line break. Returns false if the line was dropped because of a limit.
    bool add(std::string_view line, LogLevel level, TimePoint now);
    /// Passes the buffered bytes to `write`, which returns how many of them it has written, until none are left or it
    /// returns 0.
    void drain(const std::function<std::size_t(std::string_view)> &write);
    std::size_t size() const
    {
        return m_bytes.size();
    }
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    /// Applies the limits to a line of `length` bytes; counts the line for the rate limit if it is accepted.
    bool admitLine(std::size_t length, LogLevel level, TimePoint now);

    Limits m_limits;
    std::string m_bytes;
    std::uint64_t m_dropped = 0;
    TimePoint m_secondStart;
    unsigned m_linesThisSecond = 0;
};

} // namespace laburnumspar::detail
