#include "laburnumspar/retrybudget.h"

#include <algorithm>

namespace laburnumspar {

RetryBudget::RetryBudget(double share, Milliseconds window, unsigned reserve)
    : m_share(std::max(share, 0.0))
    , m_stepLength(std::max(Clock::duration(window) / int(Steps), Clock::duration(1)))
    , m_reserve(reserve)
{
}

void RetryBudget::noteAttempt(TimePoint now)
{
    advance(now);
    ++m_steps[m_step % Steps].attempts;
    ++m_total.attempts;
}

double RetryBudget::left(TimePoint now)
{
    advance(now);
    return m_share * double(m_total.attempts) + m_reserve - double(m_total.retries);
}

bool RetryBudget::trySpend(TimePoint now)
{
    if (left(now) < 1) {
        return false;
    }
    ++m_steps[m_step % Steps].retries;
    ++m_total.retries;
    return true;
}

void RetryBudget::advance(TimePoint now)
{
    const std::int64_t step = now.time_since_epoch() / m_stepLength;
    if (!m_begun) {
        m_begun = true;
        m_step = step;
    }
    // Whole steps leave the window; a gap longer than the window empties every step once.
    const std::int64_t first = std::max(m_step + 1, step - std::int64_t(Steps) + 1);
    for (std::int64_t n = first; n <= step; ++n) {
        Counts &counts = m_steps[n % Steps];
        m_total.attempts -= counts.attempts;
        m_total.retries -= counts.retries;
        counts = {};
    }
    m_step = std::max(m_step, step);
}

} // namespace laburnumspar
