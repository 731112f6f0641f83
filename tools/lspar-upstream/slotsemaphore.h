#pragma once

#include "laburnumspar/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>

namespace laburnumspar::tools {

/// Wait state of a request. Its timer bounds the wait for a slot and the execution; cancelling the timer ends either.
struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }
    /// Ends the current wait because the caller has disconnected.
    void disconnect()
    {
        disconnected = true;
        timer.cancel();
    }

    boost::asio::steady_timer timer;
    bool granted = false; ///< a released slot was passed to this request
    bool disconnected = false;
};

/// Semaphore for the slots of one upstream, with a bounded FIFO queue of waiting requests. Not thread-safe.
class SlotSemaphore
{
public:
    SlotSemaphore(unsigned slots, unsigned queueLimit);

    enum class Result {
        Acquired,
        QueueFull, ///< no slot is free and the queue is full
        DeadlinePassed, ///< the deadline passed before a slot became free
        CallerGone, ///< the caller disconnected
    };
    /// Waits for a slot until `deadline`. After Acquired, the slot must be released.
    boost::asio::awaitable<Result> acquire(std::shared_ptr<Waiter> waiter, TimePoint deadline);
    void release();

    bool isFull() const
    {
        return m_used >= m_slots;
    }
    unsigned used() const
    {
        return m_used;
    }
    /// Number of requests that use or wait for a slot.
    std::size_t inFlight() const
    {
        return m_used + m_queue.size();
    }

private:
    unsigned m_slots;
    unsigned m_queueLimit;
    unsigned m_used = 0;
    std::list<std::shared_ptr<Waiter>> m_queue;
};

} // namespace laburnumspar::tools
