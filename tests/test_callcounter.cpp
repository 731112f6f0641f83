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

// Guards against a false count of the load on the platform, whose limit of calls a second the fleet has to keep.
BOOST_AUTO_TEST_CASE(callsAndPendingWatchesCountPerSecond)
{
    const TimePoint start(100s);
    CallCounter counter(start);
    for (int n = 0; n < 5; ++n) {
        counter.started("read", start + 100ms * n);
    }
    counter.started("watch", start + 600ms);
    counter.watchPending(start + 600ms);
    BOOST_TEST(number(counter, start + 900ms, "calls_per_second") == 0U);
    BOOST_TEST(number(counter, start + 1100ms, "calls_per_second") == 6U);
    counter.started("list", start + 1500ms);
    BOOST_TEST(number(counter, start + 2s, "calls_per_second") == 2U);
    BOOST_TEST(number(counter, start + 9s, "calls_per_second") == 1U);
    counter.watchEnded(start + 9500ms);
    BOOST_TEST(number(counter, start + 11s, "calls_per_second") == 0U);
    BOOST_TEST(number(counter, start + 11s, "peak_calls_per_second") == 6U);
    const auto report = counter.report(start + 11s);
    BOOST_TEST(boost::json::serialize(report.at("calls")) == R"({"list":1,"read":5,"watch":1})");
}
