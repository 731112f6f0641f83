#include "detail/pausepoint.h"

#include <utility>

namespace laburnumspar::detail {

namespace {

thread_local std::function<void()> *currentHandler = nullptr;

} // namespace

void pausePoint()
{
    if (currentHandler != nullptr) {
        (*currentHandler)();
    }
}

PauseHandler::PauseHandler(std::function<void()> handler)
    : m_handler(std::move(handler))
    , m_outer(std::exchange(currentHandler, &m_handler))
{
}

PauseHandler::~PauseHandler()
{
    currentHandler = m_outer;
}

} // namespace laburnumspar::detail
