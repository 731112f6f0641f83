#include "laburnumspar/errors.h"
#include "laburnumspar/metrics.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <thread>
#include <vector>

using namespace laburnumspar;
using namespace std::chrono_literals;

// Guards against lost increments when several workers count the same event.
BOOST_AUTO_TEST_CASE(concurrentIncrementsAreAllCounted)
{
    MetricsRegistry registry;
    std::vector<std::jthread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&] {
            for (int it = 0; it < 1000; ++it) {
                registry.counter("requests_total", {{"service", "orders"}}).add();
                registry.distribution("run_seconds").record(0.5);
            }
        });
    }
    threads.clear();
    BOOST_TEST(registry.counter("requests_total", {{"service", "orders"}}).value() == 4000U);
    BOOST_TEST(registry.distribution("run_seconds").summary().count == 4000U);
}

// Guards against a label value that ends its quotes or its line and injects another sample.
BOOST_AUTO_TEST_CASE(labelValuesAreEscaped)
{
    MetricsRegistry registry;
    registry.counter("requests_total", {{"team", "a\"b\\c\nd"}}).add(3);
    registry.gauge("slots").set(2.5);
    BOOST_TEST(registry.prometheus()
               == "# TYPE requests_total counter\nrequests_total{team=\"a\\\"b\\\\c\\nd\"} 3\n"
                  "# TYPE slots gauge\nslots 2.5\n");
}

// Guards against quantiles that include old values. The count and the sum are totals of all values.
BOOST_AUTO_TEST_CASE(quantilesAreRecent)
{
    MetricsRegistry registry(10s);
    auto &runs = registry.distribution("run_seconds");
    const TimePoint start{};
    for (int n = 1; n <= 10000; ++n) {
        runs.record(n / 10000.0, start);
    }
    const auto first = runs.summary(start + 1s);
    BOOST_TEST(std::abs(first.quantiles[0] - 0.5) < 0.01);
    BOOST_TEST(std::abs(first.quantiles[2] - 0.99) < 0.01);
    for (int n = 0; n < 100; ++n) {
        runs.record(7, start + 11s);
    }
    const auto later = runs.summary(start + 21s);
    BOOST_TEST(later.quantiles[0] == 7);
    BOOST_TEST(later.count == 10100U);
    BOOST_TEST(std::isnan(runs.summary(start + 60s).quantiles[0]));
}

// Guards against estimates from fewer values than the estimator has markers, which are meaningless.
BOOST_AUTO_TEST_CASE(fewValuesGiveExactQuantiles)
{
    Distribution runs(10s);
    for (const double value : {3.0, 1.0, 2.0}) {
        runs.record(value, TimePoint());
    }
    const auto summary = runs.summary(TimePoint());
    BOOST_TEST(summary.quantiles[0] == 2);
    BOOST_TEST(summary.quantiles[3] == 3);
    BOOST_TEST(summary.sum == 6);
}

// Guards against buckets that are not cumulative: each bucket counts all values up to its bound.
BOOST_AUTO_TEST_CASE(histogramBucketsAreCumulative)
{
    MetricsRegistry registry;
    auto &runs = registry.histogram("run_seconds", {{"service", "orders"}});
    for (const double value : {0.004, 0.005, 0.3, 100.0}) {
        runs.record(value);
    }
    const auto text = registry.prometheus();
    BOOST_TEST(text.find("# TYPE run_seconds histogram\n") == 0U);
    BOOST_TEST((text.find("run_seconds_bucket{service=\"orders\",le=\"0.005\"} 2\n") != std::string::npos));
    BOOST_TEST((text.find("run_seconds_bucket{service=\"orders\",le=\"0.25\"} 2\n") != std::string::npos));
    BOOST_TEST((text.find("run_seconds_bucket{service=\"orders\",le=\"16\"} 3\n") != std::string::npos));
    BOOST_TEST((text.find("run_seconds_bucket{service=\"orders\",le=\"+Inf\"} 4\n") != std::string::npos));
    BOOST_TEST((text.find("run_seconds_count{service=\"orders\"} 4\n") != std::string::npos));
    BOOST_TEST(std::abs(runs.sum() - 100.309) < 1e-9);
}

// Guards against two kinds of metrics with one name, and against names that are invalid in the text format.
BOOST_AUTO_TEST_CASE(misusedNamesAreRejected)
{
    MetricsRegistry registry;
    registry.counter("requests_total");
    BOOST_CHECK_THROW(registry.gauge("requests_total"), InvariantError);
    BOOST_CHECK_THROW(registry.counter("no spaces"), InvariantError);
    BOOST_CHECK_THROW(registry.counter("fine", {{"not-fine", "x"}}), InvariantError);
}
