#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <iostream>
#include <limits>
#include <sstream>

using namespace laburnumspar;

namespace {

const std::chrono::system_clock::time_point Time{std::chrono::milliseconds(1500)};

} // namespace

// Guards against text from outside that breaks out of its field or its line, and against invalid UTF-8 in JSON.
BOOST_AUTO_TEST_CASE(jsonFieldsAreEscaped)
{
    const std::string hostile("a\"b\\c\nd\x01\xff\xed\xa0\x80 \xc3\xa9");
    const auto line = formatLogLine(LogFormat::Json,
                                    LogLevel::Info,
                                    Time,
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

// Guards against numbers that JSON cannot carry.
BOOST_AUTO_TEST_CASE(notANumberBecomesNull)
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const auto line = formatLogLine(LogFormat::Json, LogLevel::Error, Time, "x", {{"f", nan}});
    BOOST_TEST(boost::json::parse(line).as_object().at("f").is_null());
}

// Guards against key=value text that a reader would split at the wrong place.
BOOST_AUTO_TEST_CASE(keyValueTextIsQuotedWhereNeeded)
{
    const auto line = formatLogLine(LogFormat::KeyValue,
                                    LogLevel::Warning,
                                    Time,
                                    "upstream ejected",
                                    {{"a", "x=1"}, {"b", "plain"}, {"c", ""}, {"d", "1\n2"}});
    BOOST_TEST(line
               == "time=1970-01-01T00:00:01.500Z level=warning event=\"upstream ejected\" a=\"x=1\" b=plain c=\"\" "
                  "d=\"1\\n2\"");
}

// Guards against events below the level, and against a reload with a wrong name that changes the level.
BOOST_AUTO_TEST_CASE(levelDecidesWhatIsWritten)
{
    std::ostringstream captured;
    auto *previous = std::cerr.rdbuf(captured.rdbuf());
    configureLog("warning", "keyvalue");
    logEvent(LogLevel::Info, "hidden");
    logEvent(LogLevel::Error, "shown", {{"n", 1}});
    BOOST_CHECK_THROW(setLogLevel("loud"), UsageError);
    BOOST_CHECK_THROW(configureLog("debug", "xml"), UsageError);
    logEvent(LogLevel::Info, "hidden");
    setLogLevel("off");
    logEvent(LogLevel::Error, "hidden");
    std::cerr.rdbuf(previous);
    const auto text = captured.str();
    BOOST_TEST(text.find("hidden") == std::string::npos);
    BOOST_TEST(text.find("level=error event=shown n=1\n") != std::string::npos);
}
