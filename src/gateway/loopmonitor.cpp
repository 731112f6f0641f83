#include "gateway/loopmonitor.h"

#include "laburnumspar/log.h"

namespace laburnumspar::detail {

namespace {

double milliseconds(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

LoopMonitor::LoopMonitor(MetricsRegistry &metrics)
    : m_delays(metrics.histogram("lspar_tick_delay_seconds"))
{
}

void LoopMonitor::recordStep(std::string_view name, Clock::duration took)
{
    m_total += took;
    if (took > m_longest) {
        m_longest = took;
        m_longestStep = name;
    }
}

void LoopMonitor::recordTick(TimePoint due, TimePoint now, Clock::duration workerTime)
{
    const auto delay = std::max(now - due, Clock::duration());
    m_delays.record(std::chrono::duration<double>(delay).count());
    if (delay > LateTick) {
        logEvent(LogLevel::Info,
                 "loop.late",
                 {{"ms", milliseconds(delay)},
                  {"step", m_longestStep},
                  {"step_ms", milliseconds(m_longest)},
                  {"steps_ms", milliseconds(m_total)},
                  {"worker_ms", milliseconds(workerTime)}});
    }
    m_longestStep = {};
    m_longest = {};
    m_total = {};
}

} // namespace laburnumspar::detail
