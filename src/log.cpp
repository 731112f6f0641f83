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

/// Length of the UTF-8 sequence at the start of `text`; 0 if it is not a valid one.
std::size_t sequenceLength(std::string_view text)
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
    // Overlong forms, surrogates and values above U+10FFFF have a second byte out of range.
    const bool outOfRange = (first == 0xe0 && byte(1) < 0xa0) || (first == 0xed && byte(1) > 0x9f)
        || (first == 0xf0 && byte(1) < 0x90) || (first == 0xf4 && byte(1) > 0x8f);
    return outOfRange ? 0 : length;
}

/// Quoted text with JSON escapes. Bytes that are not UTF-8, as an upstream may send them, are replaced.
std::string quoted(std::string_view text)
{
    boost::json::string valid;
    valid.reserve(text.size());
    while (!text.empty()) {
        const auto length = sequenceLength(text);
        valid += length > 0 ? text.substr(0, length) : std::string_view("\xef\xbf\xbd");
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return boost::json::serialize(valid);
}

std::string keyValueText(std::string_view text)
{
    const auto plain = [](char c) { return c > ' ' && c < 0x7f && c != '=' && c != '"' && c != '\\'; };
    if (!text.empty() && std::all_of(text.begin(), text.end(), plain)) {
        return std::string(text);
    }
    return quoted(text);
}

template <typename Number>
std::string numberText(Number number)
{
    std::array<char, 32> buf{};
    return {buf.data(), std::to_chars(buf.data(), buf.data() + buf.size(), number).ptr};
}

struct ValueText {
    LogFormat format;

    std::string operator()(std::string_view text) const
    {
        return format == LogFormat::Json ? quoted(text) : keyValueText(text);
    }
    std::string operator()(bool flag) const
    {
        return flag ? "true" : "false";
    }
    std::string operator()(double number) const
    {
        // JSON has no NaN and no infinity.
        return std::isfinite(number) ? numberText(number) : "null";
    }
    std::string operator()(std::int64_t number) const
    {
        return numberText(number);
    }
    std::string operator()(std::uint64_t number) const
    {
        return numberText(number);
    }
};

std::string timeText(std::chrono::system_clock::time_point time)
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

constexpr log4cplus::LogLevel libraryLevel(LogLevel level)
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

/// Off until configureLog(), so that a library user who wants no log gets none.
std::atomic<LogLevel> currentLevel{LogLevel::Off};
std::atomic<LogFormat> currentFormat{LogFormat::Json};

std::atomic<LogFlush> currentFlush{LogFlush::EachLine};

constexpr LogLevel levelOf(log4cplus::LogLevel level)
{
    return level >= log4cplus::ERROR_LOG_LEVEL ? LogLevel::Error
        : level >= log4cplus::WARN_LOG_LEVEL   ? LogLevel::Warning
                                               : LogLevel::Info;
}

/// Writes as much as a pipe takes at once; 0 if its reader has fallen behind.
std::size_t writeWithoutWaiting(std::string_view bytes)
{
    // A pipe that is ready takes a write of this size whole.
    constexpr std::size_t AtomicWrite = 4096;
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
        return 0;
    }
    const auto n = ::write(STDOUT_FILENO, bytes.data(), std::min(bytes.size(), AtomicWrite));
    return n > 0 ? std::size_t(n) : 0;
}

/// Holds lines in a bounded buffer between the program and a reader that may be slow.
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
        const auto level = levelOf(event.getLogLevel());
        m_buffer.add(event.getMessage(), level, Clock::now());
        if (currentFlush == LogFlush::EachLine || level >= LogLevel::Warning || m_buffer.size() >= FlushSize) {
            drain();
        }
    }

private:
    static constexpr std::size_t FlushSize = 16 << 10;

    void drain()
    {
        m_buffer.drain(writeWithoutWaiting);
        if (const auto dropped = m_buffer.size() == 0 ? m_buffer.takeDropped() : 0; dropped > 0) {
            m_buffer.add(formatLogLine(currentFormat,
                                       LogLevel::Warning,
                                       std::chrono::system_clock::now(),
                                       "log.dropped",
                                       {{"lines", dropped}}),
                         LogLevel::Warning,
                         Clock::now());
            m_buffer.drain(writeWithoutWaiting);
        }
    }

    std::mutex m_mutex;
    detail::LogBuffer m_buffer{{}};
};

BufferedAppender *appenderInUse = nullptr;

log4cplus::Logger &logger()
{
    static log4cplus::Initializer initializer;
    static auto instance = [] {
        // The pool serves asynchronous appenders, which are not used; its default is four threads.
        log4cplus::setThreadPoolSize(1);
        auto made = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("laburnumspar"));
        // The logger owns the appender.
        appenderInUse = new BufferedAppender;
        made.addAppender(log4cplus::SharedAppenderPtr(appenderInUse));
        made.setAdditivity(false);
        made.setLogLevel(log4cplus::ALL_LOG_LEVEL);
        return made;
    }();
    return instance;
}

LogLevel levelNamed(std::string_view text)
{
    const auto level = fromName<LogLevel>(text);
    if (!level) {
        throw UsageError("unknown log level " + std::string(text)
                         + "; allowed: trace, debug, info, warning, error, off");
    }
    return *level;
}

} // namespace

void configureLog(std::string_view level, std::string_view format, LogFlush flush)
{
    const auto parsedFormat = fromName<LogFormat>(format);
    if (!parsedFormat) {
        throw UsageError("unknown log format " + std::string(format) + "; allowed: json, keyvalue");
    }
    const auto parsedLevel = levelNamed(level);
    logger();
    currentFormat = *parsedFormat;
    currentFlush = flush;
    currentLevel = parsedLevel;
}

void flushLog()
{
    if (appenderInUse != nullptr) {
        appenderInUse->flush();
    }
}

void setLogLevel(std::string_view level)
{
    setLogLevel(levelNamed(level));
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
    logger().log(libraryLevel(level), line);
}

std::string formatLogLine(LogFormat format,
                          LogLevel level,
                          std::chrono::system_clock::time_point time,
                          std::string_view event,
                          std::initializer_list<LogField> fields)
{
    const ValueText text{format};
    const bool json = format == LogFormat::Json;
    std::string line = json ? "{" : "";
    const auto append = [&](std::string_view key, const std::string &value) {
        if (line.size() > 1) {
            line += json ? ',' : ' ';
        }
        line += json ? quoted(key) + ':' : keyValueText(key) + '=';
        line += value;
    };
    append("time", text(timeText(time)));
    append("level", text(name(level)));
    append("event", text(event));
    for (const auto &field : fields) {
        append(field.key, std::visit(text, field.value));
    }
    return json ? line + '}' : line;
}

} // namespace laburnumspar
