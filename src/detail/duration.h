#pragma once

#include "laburnumspar/types.h"

namespace laburnumspar::detail {

inline double seconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace laburnumspar::detail
