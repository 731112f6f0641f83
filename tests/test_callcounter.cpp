#include "lspar-platform/callcounter.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspar;
using namespace laburnumspar::tools;
using namespace std::chrono_literals;

namespace {

std::uint64_t number(CallCounter &counter, TimePoint now, const char *key)
{
    return counter.report(now).at(key).as_uint64();
}

} // namespace

// The fleet must stay below the platform's limit of calls per second, so a wrong count would hide excess load: a watch
// that stays pending has to count in every second, and seconds without a new call must not be skipped.
BOOST_AUTO_TEST_CASE(callsAndPendingWatchesCountPerSecond)
{
    const TimePoint start(100s);
    CallCounter counter(start);
    for (int n = 0; n < 5; ++n) {
        counter.recordCall("read", start + 100ms * n);
    }
    counter.recordCall("watch", start + 600ms);
    counter.beginWatch(start + 600ms);
    BOOST_TEST(number(counter, start + 900ms, "calls_per_second") == 0U);
    BOOST_TEST(number(counter, start + 1100ms, "calls_per_second") == 6U);
    counter.recordCall("list", start + 1500ms);
    BOOST_TEST(number(counter, start + 2s, "calls_per_second") == 2U);
    BOOST_TEST(number(counter, start + 9s, "calls_per_second") == 1U);
    counter.endWatch(start + 9500ms);
    BOOST_TEST(number(counter, start + 11s, "calls_per_second") == 0U);
    BOOST_TEST(number(counter, start + 11s, "peak_calls_per_second") == 6U);
    const auto report = counter.report(start + 11s);
    BOOST_TEST(boost::json::serialize(report.at("calls")) == R"({"list":1,"read":5,"watch":1})");
}
