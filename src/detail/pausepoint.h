#pragma once

#include <functional>

namespace laburnumspar::detail {

/// Called between the parts of a long calculation, after at most about a tenth of a millisecond of full speed. Does
/// nothing on a thread without a PauseHandler.
void pausePoint();

/// Sets the function that pausePoint() calls on the current thread, until the end of the scope.
class PauseHandler
{
public:
    explicit PauseHandler(std::function<void()> handler);
    ~PauseHandler();
    PauseHandler(const PauseHandler &) = delete;
    PauseHandler &operator=(const PauseHandler &) = delete;

private:
    std::function<void()> m_handler;
    std::function<void()> *m_outer;
};

} // namespace laburnumspar::detail
