#include "detail/logbuffer.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::detail;
using namespace std::chrono_literals;

// Guards against unlimited memory use when the log is not read, and against warnings that are dropped because lines of
// lower levels fill the buffer.
BOOST_AUTO_TEST_CASE(bytesAreBoundedAndWarningsAreDroppedLast)
{
    LogBuffer buffer({1000, 1000000});
    const TimePoint now{100s};
    const std::string line(99, 'x');
    int accepted = 0;
    for (int n = 0; n < 20; ++n) {
        accepted += buffer.add(line, LogLevel::Info, now) ? 1 : 0;
    }
    BOOST_TEST(accepted == 7);
    BOOST_TEST(buffer.add(line, LogLevel::Error, now));
    for (int n = 0; n < 20; ++n) {
        buffer.add(line, LogLevel::Error, now);
    }
    BOOST_TEST(buffer.size() <= 1000U);
    BOOST_TEST(buffer.takeDroppedCount() > 20U);
    BOOST_TEST(buffer.takeDroppedCount() == 0U);
}

// Guards against a high rate of lines that takes CPU time from requests.
BOOST_AUTO_TEST_CASE(linesPerSecondAreBounded)
{
    LogBuffer buffer({1 << 20, 100});
    TimePoint now{100s};
    int accepted = 0;
    for (int n = 0; n < 500; ++n) {
        accepted += buffer.add("line", LogLevel::Info, now) ? 1 : 0;
    }
    BOOST_TEST(accepted == 100);
    now += 1s;
    BOOST_TEST(buffer.add("line", LogLevel::Info, now));
}

// Guards against bytes that are lost or repeated after a partial write.
BOOST_AUTO_TEST_CASE(partialWritesAreContinued)
{
    LogBuffer buffer({1000, 100});
    const TimePoint now{100s};
    buffer.add("abc", LogLevel::Info, now);
    buffer.add("def", LogLevel::Info, now);
    std::string written;
    int calls = 0;
    const auto write = [&](std::string_view bytes) -> std::size_t {
        if (++calls > 2) {
            return 0;
        }
        written += bytes.substr(0, 3);
        return 3;
    };
    buffer.drain(write);
    BOOST_TEST(written == "abc\nde");
    BOOST_TEST(buffer.size() == 2U);
}
