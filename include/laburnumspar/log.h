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
    Off, ///< no events at all; not a level of an event
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

/// One key and value of an event. Refers to the text that it was made from.
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

enum class LogFlush : std::uint8_t {
    EachLine,
    Buffered, ///< by flushLog(), or when there is much to write
};

/// Sends the events to stdout, one a line, without ever waiting for a reader: lines that it does not take in time are
/// dropped and counted. `format`: "json" or "keyvalue". Throws UsageError for unknown names.
void configureLog(std::string_view level, std::string_view format, LogFlush flush = LogFlush::EachLine);
/// Writes what has been held back, as far as the reader takes it.
void flushLog();
/// Throws UsageError for an unknown name.
void setLogLevel(std::string_view level);
void setLogLevel(LogLevel level);
LogLevel logLevel();
bool logEnabled(LogLevel level);

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// The line that logEvent() writes, without the line end.
std::string formatLogLine(LogFormat format,
                          LogLevel level,
                          std::chrono::system_clock::time_point time,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

} // namespace laburnumspar
