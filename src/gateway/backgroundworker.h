#pragma once

#include "net/io.h"

#include <optional>
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
            m_pool.emplace(1);
        }
        const auto task = [&function]() -> awaitable<Result> { co_return function(); };
        co_return co_await asio::co_spawn(*m_pool, task, asio::use_awaitable);
    }

private:
    std::optional<asio::thread_pool> m_pool; ///< started with the first calculation
};

} // namespace laburnumspar::detail
