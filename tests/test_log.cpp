#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <limits>
#include <string>

#include <unistd.h>

using namespace laburnumspar;

namespace {

const std::chrono::system_clock::time_point EventTime{std::chrono::milliseconds(1500)};

/// Redirects stdout to a temporary file during its lifetime.
class CapturedOutput
{
public:
    CapturedOutput()
        : m_file(std::tmpfile())
        , m_previous(::dup(STDOUT_FILENO))
    {
        ::dup2(::fileno(m_file), STDOUT_FILENO);
    }
    ~CapturedOutput()
    {
        ::dup2(m_previous, STDOUT_FILENO);
        ::close(m_previous);
        std::fclose(m_file);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    std::string text()
    {
        std::string result(1 << 16, '\0');
        const auto n = ::pread(::fileno(m_file), result.data(), result.size(), 0);
        result.resize(n > 0 ? std::size_t(n) : 0);
        return result;
    }

private:
    std::FILE *m_file;
    int m_previous;
};

} // namespace

// Guards against untrusted text that ends its field or line, and against invalid UTF-8 in JSON.
BOOST_AUTO_TEST_CASE(jsonFieldsAreEscaped)
{
    const std::string hostile("a\"b\\c\nd\x01\xff\xed\xa0\x80 \xc3\xa9");
    const auto line = formatLogLine(LogFormat::Json,
                                    LogLevel::Info,
                                    EventTime,
                                    "call",
                                    {{"text", hostile}, {"n", -3}, {"f", 0.25}, {"ok", true}, {"big", ~0ULL}});
    BOOST_TEST(line.find('\n') == std::string::npos);
    const auto value = boost::json::parse(line).as_object();
    BOOST_TEST(value.at("time").as_string() == "1970-01-01T00:00:01.500Z");
    BOOST_TEST(value.at("level").as_string() == "info");
    BOOST_TEST(value.at("text").as_string()
               == "a\"b\\c\nd\x01\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd \xc3\xa9");
    BOOST_TEST(value.at("n").as_int64() == -3);
    BOOST_TEST(value.at("ok").as_bool());
    BOOST_TEST(value.at("big").as_uint64() == ~0ULL);
}

// Guards against numbers that JSON cannot represent.
BOOST_AUTO_TEST_CASE(notANumberBecomesNull)
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const auto line = formatLogLine(LogFormat::Json, LogLevel::Error, EventTime, "x", {{"f", nan}});
    BOOST_TEST(boost::json::parse(line).as_object().at("f").is_null());
}

// Guards against key=value text that a parser would split at the wrong position.
BOOST_AUTO_TEST_CASE(keyValueTextIsQuotedWhereNeeded)
{
    const auto line = formatLogLine(LogFormat::KeyValue,
                                    LogLevel::Warning,
                                    EventTime,
                                    "upstream ejected",
                                    {{"a", "x=1"}, {"b", "plain"}, {"c", ""}, {"d", "1\n2"}});
    BOOST_TEST(line
               == "time=1970-01-01T00:00:01.500Z level=warning event=\"upstream ejected\" a=\"x=1\" b=plain c=\"\" "
                  "d=\"1\\n2\"");
}

// Guards against events below the level that are written, and against an invalid name that changes the level.
BOOST_AUTO_TEST_CASE(eventsBelowTheLevelAreNotWritten)
{
    CapturedOutput captured;
    configureLog("warning", "keyvalue");
    logEvent(LogLevel::Info, "hidden");
    logEvent(LogLevel::Error, "shown", {{"n", 1}});
    BOOST_CHECK_THROW(setLogLevel("loud"), UsageError);
    BOOST_CHECK_THROW(configureLog("debug", "xml"), UsageError);
    logEvent(LogLevel::Info, "hidden");
    setLogLevel("off");
    logEvent(LogLevel::Error, "hidden");
    const auto text = captured.text();
    BOOST_TEST(text.find("hidden") == std::string::npos);
    BOOST_TEST(text.find("level=error event=shown n=1\n") != std::string::npos);
}

// Guards against buffered lines that are written one at a time, which costs too much, or that flushLog() does not
// write.
BOOST_AUTO_TEST_CASE(bufferedLinesAreWrittenOnFlush)
{
    CapturedOutput captured;
    configureLog("info", "keyvalue", LogFlush::Buffered);
    logEvent(LogLevel::Info, "held");
    BOOST_TEST(captured.text().find("held") == std::string::npos);
    flushLog();
    BOOST_TEST(captured.text().find("held") != std::string::npos);
    setLogLevel("off");
}
