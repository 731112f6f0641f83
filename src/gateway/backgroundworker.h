#pragma once

#include "detail/pausepoint.h"
#include "net/io.h"

#include <atomic>
#include <memory>
#include <thread>
#include <type_traits>

namespace laburnumspar::detail {

/// Runs long calculations on a thread of its own, one after the other, so that they do not delay the handlers of the
/// I/O context. The context has to outlive the worker.
class BackgroundWorker
{
public:
    /// Resumes the calling coroutine on its own executor with the result of the function, or with its exception. The
    /// function must stay valid until then; it is not copied, because g++ 12 destroys closures that are temporaries of
    /// a co_await expression twice.
    template <typename Function>
    awaitable<std::invoke_result_t<const Function &>> run(const Function &function)
    {
        using Result = std::invoke_result_t<const Function &>;
        if (!m_pool) {
            m_pool = std::make_shared<asio::thread_pool>(1);
        }
        const auto task = [this, &function]() -> awaitable<Result> {
            const BusyTime busy(*this);
            const PauseHandler pauses([slice = TimeSlice()]() mutable { slice.endIfOver(); });
            co_return function();
        };
        co_return co_await asio::co_spawn(*m_pool, task, asio::use_awaitable);
    }

    /// Returns a pointer to the same object, which this thread destroys once the last copy of the pointer is released.
    /// Copies must not be released on this thread.
    template <typename T>
    std::shared_ptr<T> destroyLater(std::shared_ptr<T> object) const
    {
        auto *raw = object.get();
        const auto destroy = [pool = std::weak_ptr(m_pool), object = std::move(object)](T *) mutable {
            if (const auto running = pool.lock()) {
                asio::post(*running, [object = std::move(object)]() mutable { object.reset(); });
            }
        };
        return raw == nullptr ? nullptr : std::shared_ptr<T>(raw, destroy);
    }

    /// Returns the time for which calculations have run until now.
    Clock::duration busyTime(TimePoint now) const
    {
        const auto begin = m_busySince.load();
        const auto total = Clock::duration(m_busyTime.load());
        return begin == 0 ? total : total + (now.time_since_epoch() - Clock::duration(begin));
    }

private:
    /// Time for which a calculation may keep the processor from the I/O thread. The scheduler may not end it: batch
    /// work is not preempted by a thread that becomes ready.
    class TimeSlice
    {
    public:
        void endIfOver()
        {
            if (Clock::now() - m_begin >= Length) {
                std::this_thread::sleep_for(Pause);
                m_begin = Clock::now();
            }
        }

    private:
        static constexpr Milliseconds Length{5};
        static constexpr std::chrono::microseconds Pause{50};

        TimePoint m_begin = Clock::now();
    };

    /// Adds the time of a calculation to the sum.
    class BusyTime
    {
    public:
        explicit BusyTime(BackgroundWorker &worker)
            : m_worker(worker)
            , m_begin(Clock::now())
        {
            m_worker.m_busySince = m_begin.time_since_epoch().count();
        }
        ~BusyTime()
        {
            m_worker.m_busySince = 0;
            m_worker.m_busyTime += (Clock::now() - m_begin).count();
        }
        BusyTime(const BusyTime &) = delete;
        BusyTime &operator=(const BusyTime &) = delete;

    private:
        BackgroundWorker &m_worker;
        TimePoint m_begin;
    };

    std::atomic<Clock::rep> m_busySince{0}; ///< begin of the calculation that runs; 0 if none does
    std::atomic<Clock::rep> m_busyTime{0}; ///< of the calculations that have ended
    std::shared_ptr<asio::thread_pool> m_pool; ///< started with the first calculation; ends before the times do
};

} // namespace laburnumspar::detail
