#include "net/io.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/log.h"

#include <cstdlib>

namespace laburnumspar::detail {

void handleTaskException(std::exception_ptr error, const char *where)
{
    if (!error) {
        return;
    }
    try {
        std::rethrow_exception(error);
    } catch (const InvariantError &e) {
        // The state is inconsistent, so further decisions based on it may be wrong.
        logEvent(LogLevel::Error, "invariant.broken", {{"where", where}, {"error", e.what()}});
        std::abort();
    } catch (const std::bad_alloc &) {
        std::abort();
    } catch (const std::exception &e) {
        logEvent(LogLevel::Error, "task.failed", {{"where", where}, {"error", e.what()}});
    }
}

awaitable<bool> sleepFor(Clock::duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    auto [ec] = co_await timer.async_wait(NoThrowAwaitable);
    co_return !ec;
}

void Cancellation::cancel()
{
    std::vector<std::pair<std::size_t, std::function<void()>>> callbacks;
    {
        std::lock_guard lock(m_mutex);
        m_cancelled = true;
        callbacks.swap(m_callbacks);
    }
    for (auto &[key, callback] : callbacks) {
        callback();
    }
}

void Cancellation::cancelByCaller()
{
    {
        std::lock_guard lock(m_mutex);
        if (m_keptWithoutCaller) {
            return;
        }
    }
    cancel();
}

void Cancellation::keepWithoutCaller()
{
    std::lock_guard lock(m_mutex);
    m_keptWithoutCaller = true;
}

bool Cancellation::isCancelled() const
{
    std::lock_guard lock(m_mutex);
    return m_cancelled;
}

std::size_t Cancellation::addCallback(std::function<void()> callback)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_cancelled) {
            m_callbacks.emplace_back(m_nextKey, std::move(callback));
            return m_nextKey++;
        }
    }
    callback();
    return 0;
}

void Cancellation::removeCallback(std::size_t key)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_callbacks, [key](const auto &entry) { return entry.first == key; });
}

CancellationScope::CancellationScope(CancellationPtr cancellation, std::function<void()> callback)
    : m_cancellation(std::move(cancellation))
    , m_key(m_cancellation ? m_cancellation->addCallback(std::move(callback)) : 0)
{
}

CancellationScope::~CancellationScope()
{
    if (m_cancellation && m_key != 0) {
        m_cancellation->removeCallback(m_key);
    }
}

} // namespace laburnumspar::detail
