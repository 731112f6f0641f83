#include "slotsemaphore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnumspar::tools {

namespace asio = boost::asio;

SlotGate::SlotGate(unsigned slots, unsigned queueLimit)
    : m_slots(slots)
    , m_queueLimit(queueLimit)
{
}

asio::awaitable<SlotGate::Result> SlotGate::take(std::shared_ptr<Waiter> waiter, TimePoint deadline)
{
    if (!busy()) {
        ++m_taken;
        co_return Result::Taken;
    }
    if (m_queue.size() >= m_queueLimit) {
        co_return Result::Full;
    }
    m_queue.push_back(waiter);
    waiter->timer.expires_at(deadline);
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!waiter->granted) {
        m_queue.remove(waiter);
        co_return waiter->closed ? Result::Closed : Result::Expired;
    }
    if (waiter->closed) {
        release();
        co_return Result::Closed;
    }
    co_return Result::Taken;
}

void SlotGate::release()
{
    if (m_queue.empty()) {
        --m_taken;
        return;
    }
    const auto next = m_queue.front();
    m_queue.pop_front();
    next->granted = true;
    next->timer.cancel();
}

} // namespace laburnumspar::tools
