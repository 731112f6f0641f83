#pragma once

#include "laburnumspar/log.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// Lines on their way to the output, bounded in bytes and in lines a second. Lines below a warning are dropped first.
class LogBuffer
{
public:
    struct Limits {
        std::size_t bytes = 256 << 10;
        unsigned linesPerSecond = 2000; ///< of levels below a warning
    };

    explicit LogBuffer(Limits limits);

    /// False if the line was dropped.
    bool add(std::string_view line, LogLevel level, TimePoint now);
    /// Offers the bytes to `write`, which returns how many it took, until it takes none.
    void drain(const std::function<std::size_t(std::string_view)> &write);
    std::size_t size() const
    {
        return m_bytes.size();
    }
    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    bool hasRoom(std::size_t length, LogLevel level, TimePoint now);

    Limits m_limits;
    std::string m_bytes;
    std::uint64_t m_dropped = 0;
    TimePoint m_secondStart;
    unsigned m_linesThisSecond = 0;
};

} // namespace laburnumspar::detail
