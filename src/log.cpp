#include "laburnumspar/log.h"

#include "detail/logbuffer.h"
#include "laburnumspar/errors.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>

namespace laburnumspar {

namespace {

/// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it is invalid.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t n) { return static_cast<unsigned char>(text[n]); };
    const auto first = byte(0);
    if (first < 0x80) {
        return 1;
    }
    const std::size_t length = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < length) {
        return 0;
    }
    for (std::size_t n = 1; n < length; ++n) {
        if ((byte(n) & 0xc0) != 0x80) {
            return 0;
        }
    }
    // In overlong encodings, surrogates and code points above U+10FFFF, the second byte is out of range.
    const bool outOfRange = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f)
        || (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f);
    return outOfRange ? 0 : length;
}

/// Returns the text as a JSON string. Invalid UTF-8, which upstreams may send, is replaced by U+FFFD.
std::string quoted(std::string_view text)
{
    boost::json::string valid;
    valid.reserve(text.size());
    while (!text.empty()) {
        const auto length = utf8SequenceLength(text);
        valid += length > 0 ? text.substr(0, length) : std::string_view("\xef\xbf\xbd");
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return boost::json::serialize(valid);
}

/// Returns the text as a key or value of the key=value format: quoted only if it has special characters or is empty.
std::string formatKeyValueText(std::string_view text)
{
    const auto isPlain = [](char c) { return c > ' ' && c < 0x7f && c != '=' && c != '"' && c != '\\'; };
    if (!text.empty() && std::all_of(text.begin(), text.end(), isPlain)) {
        return std::string(text);
    }
    return quoted(text);
}

template <typename Number>
std::string formatNumber(Number number)
{
    std::array<char, 32> buf{};
    return {buf.data(), std::to_chars(buf.data(), buf.data() + buf.size(), number).ptr};
}

struct ValueFormatter {
    LogFormat format;

    std::string operator()(std::string_view text) const
    {
        return format == LogFormat::Json ? quoted(text) : formatKeyValueText(text);
    }
    std::string operator()(bool flag) const
    {
        return flag ? "true" : "false";
    }
    std::string operator()(double number) const
    {
        // JSON cannot represent NaN and infinity.
        return std::isfinite(number) ? formatNumber(number) : "null";
    }
    std::string operator()(std::int64_t number) const
    {
        return formatNumber(number);
    }
    std::string operator()(std::uint64_t number) const
    {
        return formatNumber(number);
    }
};

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::floor<Milliseconds>(time.time_since_epoch());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceEpoch);
    const std::time_t whole = seconds.count();
    std::tm utc{};
    gmtime_r(&whole, &utc);
    std::array<char, 32> buf{};
    const auto length = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>((sinceEpoch - seconds).count()));
    return std::string(buf.data(), length) + fraction.data();
}

constexpr log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Off:
        break;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

/// Off until configureLog() is called, so that users of the library get no log by default.
std::atomic<LogLevel> currentLevel{LogLevel::Off};
std::atomic<LogFormat> currentFormat{LogFormat::Json};

std::atomic<LogFlush> currentFlush{LogFlush::EachLine};

constexpr LogLevel fromLog4cplusLevel(log4cplus::LogLevel level)
{
    return level >= log4cplus::ERROR_LOG_LEVEL ? LogLevel::Error
        : level >= log4cplus::WARN_LOG_LEVEL   ? LogLevel::Warning
                                               : LogLevel::Info;
}

/// Writes a first part of the bytes to stdout and returns its size; 0 if the write would block or failed.
std::size_t writeNonBlocking(std::string_view bytes)
{
    // A pipe that is ready for writing accepts up to PIPE_BUF (4096) bytes without blocking.
    constexpr std::size_t MaxWriteBytes = 4096;
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
        return 0;
    }
    const auto n = ::write(STDOUT_FILENO, bytes.data(), std::min(bytes.size(), MaxWriteBytes));
    return n > 0 ? std::size_t(n) : 0;
}

/// Writes log lines to stdout through a bounded buffer, so that a slow reader never blocks the program.
class BufferedAppender : public log4cplus::Appender
{
public:
    ~BufferedAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        flush();
        closed = true;
    }

    void flush()
    {
        std::lock_guard lock(m_mutex);
        drain();
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::lock_guard lock(m_mutex);
        const auto level = fromLog4cplusLevel(event.getLogLevel());
        m_buffer.add(event.getMessage(), level, Clock::now());
        if (currentFlush == LogFlush::EachLine || level >= LogLevel::Warning || m_buffer.size() >= FlushBytes) {
            drain();
        }
    }

private:
    static constexpr std::size_t FlushBytes = 16 << 10;

    void drain()
    {
        m_buffer.drain(writeNonBlocking);
        if (const auto dropped = m_buffer.size() == 0 ? m_buffer.takeDroppedCount() : 0; dropped > 0) {
            m_buffer.add(formatLogLine(currentFormat,
                                       LogLevel::Warning,
                                       std::chrono::system_clock::now(),
                                       "log.dropped",
                                       {{"lines", dropped}}),
                         LogLevel::Warning,
                         Clock::now());
            m_buffer.drain(writeNonBlocking);
        }
    }

    std::mutex m_mutex;
    detail::LogBuffer m_buffer{{}};
};

BufferedAppender *stdoutAppender = nullptr;

log4cplus::Logger &logger()
{
    static log4cplus::Initializer initializer;
    static auto instance = [] {
        // The thread pool is only for asynchronous appenders, which are not used. Its default size is 4.
        log4cplus::setThreadPoolSize(1);
        auto newLogger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("laburnumspar"));
        // The logger owns the appender.
        stdoutAppender = new BufferedAppender;
        newLogger.addAppender(log4cplus::SharedAppenderPtr(stdoutAppender));
        newLogger.setAdditivity(false);
        newLogger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        return newLogger;
    }();
    return instance;
}

LogLevel parseLevel(std::string_view text)
{
    const auto level = fromName<LogLevel>(text);
    if (!level) {
        throw UsageError("unknown log level \"" + std::string(text)
                         + "\"; expected trace, debug, info, warning, error or off");
    }
    return *level;
}

} // namespace

void configureLog(std::string_view level, std::string_view format, LogFlush flush)
{
    const auto parsedFormat = fromName<LogFormat>(format);
    if (!parsedFormat) {
        throw UsageError("unknown log format \"" + std::string(format) + "\"; expected json or keyvalue");
    }
    const auto parsedLevel = parseLevel(level);
    logger();
    currentFormat = *parsedFormat;
    currentFlush = flush;
    currentLevel = parsedLevel;
}

void flushLog()
{
    if (stdoutAppender != nullptr) {
        stdoutAppender->flush();
    }
}

void setLogLevel(std::string_view level)
{
    setLogLevel(parseLevel(level));
}

void setLogLevel(LogLevel level)
{
    currentLevel = level;
}

LogLevel logLevel()
{
    return currentLevel;
}

bool logEnabled(LogLevel level)
{
    return level != LogLevel::Off && level >= currentLevel.load(std::memory_order_relaxed);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!logEnabled(level)) {
        return;
    }
    const auto line = formatLogLine(currentFormat, level, std::chrono::system_clock::now(), event, fields);
    logger().log(toLog4cplusLevel(level), line);
}

std::string formatLogLine(LogFormat format,
                          LogLevel level,
                          std::chrono::system_clock::time_point time,
                          std::string_view event,
                          std::initializer_list<LogField> fields)
{
    const ValueFormatter formatValue{format};
    const bool json = format == LogFormat::Json;
    std::string line = json ? "{" : "";
    const auto append = [&](std::string_view key, const std::string &value) {
        if (line.size() > 1) {
            line += json ? ',' : ' ';
        }
        line += json ? quoted(key) + ':' : formatKeyValueText(key) + '=';
        line += value;
    };
    append("time", formatValue(formatTime(time)));
    append("level", formatValue(name(level)));
    append("event", formatValue(event));
    for (const auto &field : fields) {
        append(field.key, std::visit(formatValue, field.value));
    }
    return json ? line + '}' : line;
}

} // namespace laburnumspar
