#pragma once

#include "laburnumspar/metrics.h"

#include <functional>
#include <string_view>

namespace laburnumspar::detail {

/// Called with the name of a step on the I/O thread and the time that it took.
using StepHook = std::function<void(std::string_view name, Clock::duration took)>;

/// Calls the hook, unless it is empty, with the time from the construction to the destruction.
class ScopedStep
{
public:
    ScopedStep(const StepHook &hook, std::string_view name)
        : m_hook(hook)
        , m_name(name)
        , m_begin(Clock::now())
    {
    }
    ~ScopedStep()
    {
        if (m_hook) {
            m_hook(m_name, Clock::now() - m_begin);
        }
    }
    ScopedStep(const ScopedStep &) = delete;
    ScopedStep &operator=(const ScopedStep &) = delete;

private:
    const StepHook &m_hook;
    std::string_view m_name;
    TimePoint m_begin;
};

/// Shows how late the ticks of the I/O thread run and which step took longest since the tick before. Not thread-safe.
class LoopMonitor
{
public:
    /// Later ticks are logged.
    static constexpr Milliseconds LateTick{50};

    explicit LoopMonitor(MetricsRegistry &metrics);

    /// `name` must outlive the monitor.
    void recordStep(std::string_view name, Clock::duration took);
    /// Records a tick that was due at `due`. `workerTime`: time for which a background calculation has run since the
    /// tick before.
    void recordTick(TimePoint due, TimePoint now, Clock::duration workerTime);
    /// Returns the longest step since the last tick; empty if there was none.
    std::string_view longestStep() const
    {
        return m_longestStep;
    }

private:
    Histogram &m_delays;
    std::string_view m_longestStep;
    Clock::duration m_longest{};
    Clock::duration m_total{}; ///< of all steps since the last tick
};

} // namespace laburnumspar::detail
