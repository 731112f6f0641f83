#include "detail/logbuffer.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

// Guards against logs that take all memory when nobody reads them, and against warnings lost behind plain lines.
BOOST_AUTO_TEST_CASE(bytesAreBoundedAndWarningsComeLast)
{
    LogBuffer buffer({1000, 1000000});
    const TimePoint now{100s};
    const std::string line(99, 'x');
    int taken = 0;
    for (int n = 0; n < 20; ++n) {
        taken += buffer.add(line, LogLevel::Info, now) ? 1 : 0;
    }
    BOOST_TEST(taken == 7);
    BOOST_TEST(buffer.add(line, LogLevel::Error, now));
    for (int n = 0; n < 20; ++n) {
        buffer.add(line, LogLevel::Error, now);
    }
    BOOST_TEST(buffer.size() <= 1000U);
    BOOST_TEST(buffer.takeDropped() > 20U);
    BOOST_TEST(buffer.takeDropped() == 0U);
}

// Guards against a flood of lines that takes the processor time of the requests.
BOOST_AUTO_TEST_CASE(linesASecondAreBounded)
{
    LogBuffer buffer({1 << 20, 100});
    TimePoint now{100s};
    int taken = 0;
    for (int n = 0; n < 500; ++n) {
        taken += buffer.add("line", LogLevel::Info, now) ? 1 : 0;
    }
    BOOST_TEST(taken == 100);
    now += 1s;
    BOOST_TEST(buffer.add("line", LogLevel::Info, now));
}

// Guards against bytes that are lost or repeated when the reader takes a part of them.
BOOST_AUTO_TEST_CASE(readerMayTakeParts)
{
    LogBuffer buffer({1000, 100});
    const TimePoint now{100s};
    buffer.add("abc", LogLevel::Info, now);
    buffer.add("def", LogLevel::Info, now);
    std::string written;
    int calls = 0;
    const auto reader = [&](std::string_view bytes) -> std::size_t {
        if (++calls > 2) {
            return 0;
        }
        written += bytes.substr(0, 3);
        return 3;
    };
    buffer.drain(reader);
    BOOST_TEST(written == "abc\nde");
    BOOST_TEST(buffer.size() == 2U);
}
