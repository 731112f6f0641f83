#pragma once

#include "laburnumspar/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>

namespace laburnumspar::tools {

/// What interrupts a request: the timer of its current wait, and whether the caller has gone.
struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }
    void close()
    {
        closed = true;
        timer.cancel();
    }

    boost::asio::steady_timer timer;
    bool granted = false;
    bool closed = false;
};

/// The slots of one upstream with the queue in front of them. Used by one thread only.
class SlotGate
{
public:
    SlotGate(unsigned slots, unsigned queueLimit);

    enum class Result {
        Taken,
        Full, ///< no slot, and the queue is full
        Expired, ///< the deadline passed before a slot was free
        Closed, ///< the caller has gone
    };
    /// Waits for a slot until `deadline`; a taken slot must be released.
    boost::asio::awaitable<Result> take(std::shared_ptr<Waiter> waiter, TimePoint deadline);
    void release();

    bool busy() const
    {
        return m_taken >= m_slots;
    }
    unsigned taken() const
    {
        return m_taken;
    }
    std::size_t inFlight() const
    {
        return m_taken + m_queue.size();
    }

private:
    unsigned m_slots;
    unsigned m_queueLimit;
    unsigned m_taken = 0;
    std::list<std::shared_ptr<Waiter>> m_queue;
};

} // namespace laburnumspar::tools
