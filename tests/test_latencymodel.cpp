#include "laburnumspar/latencymodel.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace laburnumspar;
using namespace std::chrono_literals;

// Guards against estimates without any samples: the initial distribution is used instead.
BOOST_AUTO_TEST_CASE(initialDistributionIsUsedWithoutSamples)
{
    const LatencyModel model(100ms);
    BOOST_TEST((model.quantile(0.5) > 80ms && model.quantile(0.5) < 125ms));
    BOOST_TEST(model.shareLongerThan(1s) < 0.05);
    BOOST_TEST(model.shareLongerThan(10ms) > 0.95);
}

// Guards against an initial distribution that outweighs the samples.
BOOST_AUTO_TEST_CASE(samplesReplaceTheInitialDistribution)
{
    LatencyModel model(100ms);
    std::mt19937 random(1);
    std::lognormal_distribution<> distribution(std::log(0.4), 0.3);
    for (int n = 0; n < 300; ++n) {
        model.record(std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(distribution(random))));
    }
    BOOST_TEST((model.quantile(0.5) > 350ms && model.quantile(0.5) < 460ms));
    BOOST_TEST((model.quantile(0.9) > 530ms && model.quantile(0.9) < 720ms));
    BOOST_TEST(model.meanSeconds() > 0.38);
    BOOST_TEST(model.meanSeconds() < 0.52);
}

// Guards against the logarithm of zero: the share never reaches 0 or exceeds 1.
BOOST_AUTO_TEST_CASE(shareStaysWithinItsBounds)
{
    LatencyModel model(1ms);
    for (int n = 0; n < 2000; ++n) {
        model.record(5ms);
    }
    BOOST_TEST(model.shareLongerThan(1h) > 0);
    BOOST_TEST(model.shareLongerThan(0ms) <= 1);
}
