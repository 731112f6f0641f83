#include "detail/logbuffer.h"

#include <utility>

namespace laburnumspar::detail {

namespace {

/// One part in this many of the buffer is reserved for warnings and errors.
constexpr std::size_t ReservedDivisor = 4;

} // namespace

LogBuffer::LogBuffer(Limits limits)
    : m_limits(limits)
{
}

bool LogBuffer::add(std::string_view line, LogLevel level, TimePoint now)
{
    if (!admitLine(line.size() + 1, level, now)) {
        ++m_dropped;
        return false;
    }
    m_bytes += line;
    m_bytes += '\n';
    return true;
}

bool LogBuffer::admitLine(std::size_t length, LogLevel level, TimePoint now)
{
    if (level >= LogLevel::Warning) {
        return m_bytes.size() + length <= m_limits.bytes;
    }
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesThisSecond = 0;
    }
    if (m_linesThisSecond >= m_limits.linesPerSecond
        || m_bytes.size() + length > m_limits.bytes - m_limits.bytes / ReservedDivisor) {
        return false;
    }
    ++m_linesThisSecond;
    return true;
}

void LogBuffer::drain(const std::function<std::size_t(std::string_view)> &write)
{
    std::size_t written = 0;
    while (written < m_bytes.size()) {
        const auto n = write(std::string_view(m_bytes).substr(written));
        if (n == 0) {
            break;
        }
        written += n;
    }
    m_bytes.erase(0, written);
}

std::uint64_t LogBuffer::takeDroppedCount()
{
    return std::exchange(m_dropped, 0);
}

} // namespace laburnumspar::detail
