#pragma once

#include "laburnumspar/types.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace laburnumspar {

enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
    Off, ///< disables logging; not a level of an event
};

enum class LogFormat : std::uint8_t {
    Json,
    KeyValue,
};

template <>
struct EnumNames<LogLevel> {
    static constexpr std::array<std::string_view, 6> Names{"trace", "debug", "info", "warning", "error", "off"};
};

template <>
struct EnumNames<LogFormat> {
    static constexpr std::array<std::string_view, 2> Names{"json", "keyvalue"};
};

/// A key and value of a log event. Does not own its key and text, which must outlive it.
struct LogField {
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

    template <typename Text>
    requires std::convertible_to<const Text &, std::string_view> LogField(std::string_view fieldKey, const Text &text)
        : key(fieldKey)
        , value(std::in_place_type<std::string_view>, text)
    {
    }

    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view fieldKey, Number number)
        : key(fieldKey)
        , value(toValue(number))
    {
    }

    std::string_view key;
    Value value;

private:
    template <typename Number>
    static Value toValue(Number number)
    {
        if constexpr (std::is_same_v<Number, bool>) {
            return number;
        } else if constexpr (std::is_floating_point_v<Number>) {
            return static_cast<double>(number);
        } else if constexpr (std::is_signed_v<Number>) {
            return static_cast<std::int64_t>(number);
        } else {
            return static_cast<std::uint64_t>(number);
        }
    }
};

/// When log lines are written to stdout.
enum class LogFlush : std::uint8_t {
    EachLine,
    Buffered, ///< on flushLog(), on a warning or error, or when the buffer has reached its flush size
};

/// Enables the log, which writes one line per event to stdout and never blocks: if the reader is too slow, lines are
/// dropped and counted. `level`: a name of LogLevel. `format`: a name of LogFormat. Throws UsageError for other names.
void configureLog(std::string_view level, std::string_view format, LogFlush flush = LogFlush::EachLine);
/// Writes the buffered lines, as far as possible without blocking.
void flushLog();
/// Sets the level by its name. Throws UsageError for an unknown name.
void setLogLevel(std::string_view level);
void setLogLevel(LogLevel level);
LogLevel logLevel();
/// Returns whether events of this level are written.
bool logEnabled(LogLevel level);

/// Writes an event if its level is enabled.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Formats an event as the line that logEvent() writes, without the line break.
std::string formatLogLine(LogFormat format,
                          LogLevel level,
                          std::chrono::system_clock::time_point time,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

} // namespace laburnumspar
