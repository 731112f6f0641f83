#include "slotsemaphore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumspar::tools {

namespace asio = boost::asio;

SlotSemaphore::SlotSemaphore(unsigned slots, unsigned queueLimit)
    : m_slots(slots)
    , m_queueLimit(queueLimit)
{
}

asio::awaitable<SlotSemaphore::Result> SlotSemaphore::acquire(std::shared_ptr<Waiter> waiter, TimePoint deadline)
{
    if (!isFull()) {
        ++m_used;
        co_return Result::Acquired;
    }
    if (m_queue.size() >= m_queueLimit) {
        co_return Result::QueueFull;
    }
    m_queue.push_back(waiter);
    waiter->timer.expires_at(deadline);
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!waiter->granted) {
        m_queue.remove(waiter);
        co_return waiter->disconnected ? Result::CallerGone : Result::DeadlinePassed;
    }
    if (waiter->disconnected) {
        release();
        co_return Result::CallerGone;
    }
    co_return Result::Acquired;
}

void SlotSemaphore::release()
{
    if (m_queue.empty()) {
        --m_used;
        return;
    }
    const auto next = m_queue.front();
    m_queue.pop_front();
    next->granted = true;
    next->timer.cancel();
}

} // namespace laburnumspar::tools
