#pragma once

#include "laburnumspar/types.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace laburnumspar::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

template <typename AsioEndpoint>
Endpoint fromAsio(const AsioEndpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

/// Completion token for coroutines that returns the error code as a value instead of throwing it.
inline constexpr auto NoThrowAwaitable = asio::as_tuple(asio::use_awaitable);

/// Handles an exception that escaped from a detached coroutine: logs it under the name `where`, or aborts the process
/// if it is an InvariantError or std::bad_alloc. Does nothing if `error` is null.
void handleTaskException(std::exception_ptr error, const char *where);

/// Starts a detached coroutine on a strand of its own. Exceptions are passed to handleTaskException() with `where`.
template <typename Function>
void spawn(asio::io_context &context, const char *where, Function function)
{
    asio::co_spawn(asio::make_strand(context), std::move(function), [where](std::exception_ptr error) {
        handleTaskException(std::move(error), where);
    });
}

/// Waits for the given time. Returns false if the wait was cancelled.
awaitable<bool> sleepFor(Clock::duration duration);

/// A value that is set once, by any thread, and awaited by one coroutine. Copies share the value.
template <typename T>
class OneShot
{
public:
    OneShot()
        : m_state(std::make_shared<State>())
    {
    }

    /// Sets the value unless it has already been set. Returns true if this call set it.
    bool set(T value) const
    {
        std::function<void(T)> waiter;
        {
            std::lock_guard lock(m_state->mutex);
            if (m_state->done) {
                return false;
            }
            m_state->done = true;
            if (!m_state->waiter) {
                m_state->value = std::move(value);
                return true;
            }
            waiter = std::move(m_state->waiter);
        }
        waiter(std::move(value));
        return true;
    }

    /// Waits for the value. May be called only once.
    awaitable<T> wait() const
    {
        // The coroutine frame owns the state. The lambda captures a plain pointer, because g++ 12 destroys the captures
        // of a lambda in a co_await expression twice.
        const auto owner = m_state;
        auto initiate = [state = owner.get()](auto handler) { arm(*state, std::move(handler)); };
        co_return co_await asio::async_initiate<decltype(asio::use_awaitable), void(T)>(initiate, asio::use_awaitable);
    }

private:
    struct State {
        std::mutex mutex;
        bool done = false;
        std::optional<T> value;
        std::function<void(T)> waiter;
    };

    template <typename Handler>
    static void arm(State &state, Handler handler)
    {
        auto shared = std::make_shared<Handler>(std::move(handler));
        auto complete = [shared](T value) {
            auto executor = asio::get_associated_executor(*shared);
            asio::post(executor, [shared, value = std::move(value)]() mutable { (*shared)(std::move(value)); });
        };
        std::unique_lock lock(state.mutex);
        if (!state.value) {
            state.waiter = std::move(complete);
            return;
        }
        T value = std::move(*state.value);
        lock.unlock();
        complete(std::move(value));
    }

    std::shared_ptr<State> m_state;
};

/// Notifies the tasks of one request that the request has been cancelled. Held by shared pointers, because the tasks
/// end in any order. Thread-safe.
class Cancellation
{
public:
    /// Calls all registered callbacks. Callbacks added later are called immediately.
    void cancel();
    /// To be called when the caller has closed its connection or its sending side. Cancels the request unless
    /// `keepWithoutCaller()` has been called before.
    void cancelByCaller();
    /// The request goes on if its caller leaves, because its effect is wanted. Other reasons still cancel it.
    void keepWithoutCaller();
    bool isCancelled() const;
    /// Returns a key for `removeCallback`, or 0 if the request has already been cancelled and the callback was called.
    std::size_t addCallback(std::function<void()> callback);
    void removeCallback(std::size_t key);

private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    bool m_keptWithoutCaller = false;
    std::size_t m_nextKey = 1;
    std::vector<std::pair<std::size_t, std::function<void()>>> m_callbacks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

/// Registers a cancellation callback for its own lifetime. The cancellation may be null.
class CancellationScope
{
public:
    CancellationScope(CancellationPtr cancellation, std::function<void()> callback);
    ~CancellationScope();
    CancellationScope(const CancellationScope &) = delete;
    CancellationScope &operator=(const CancellationScope &) = delete;

private:
    CancellationPtr m_cancellation;
    std::size_t m_key;
};

} // namespace laburnumspar::detail
