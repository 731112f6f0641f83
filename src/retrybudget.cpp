#include "laburnumspar/retrybudget.h"

#include <algorithm>

namespace laburnumspar {

RetryBudget::RetryBudget(double share, Milliseconds window, unsigned reserve)
    : m_share(std::max(share, 0.0))
    , m_bucketLength(std::max(Clock::duration(window) / int(BucketCount), Clock::duration(1)))
    , m_reserve(reserve)
{
}

void RetryBudget::recordFirstAttempt(TimePoint now)
{
    advance(now);
    ++m_buckets[m_currentBucket % BucketCount].attempts;
    ++m_total.attempts;
}

double RetryBudget::remaining(TimePoint now)
{
    advance(now);
    return m_share * double(m_total.attempts) + m_reserve - double(m_total.retries);
}

bool RetryBudget::trySpend(TimePoint now)
{
    if (remaining(now) < 1) {
        return false;
    }
    ++m_buckets[m_currentBucket % BucketCount].retries;
    ++m_total.retries;
    return true;
}

void RetryBudget::advance(TimePoint now)
{
    const std::int64_t bucket = now.time_since_epoch() / m_bucketLength;
    if (!m_started) {
        m_started = true;
        m_currentBucket = bucket;
    }
    // The window moves by whole buckets. A gap that is longer than the window clears each bucket once.
    const std::int64_t first = std::max(m_currentBucket + 1, bucket - std::int64_t(BucketCount) + 1);
    for (std::int64_t n = first; n <= bucket; ++n) {
        Counts &counts = m_buckets[n % BucketCount];
        m_total.attempts -= counts.attempts;
        m_total.retries -= counts.retries;
        counts = {};
    }
    m_currentBucket = std::max(m_currentBucket, bucket);
}

} // namespace laburnumspar
