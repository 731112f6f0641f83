#pragma once

#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace laburnumspar {

/// Memory of this process that is in use, in bytes.
inline std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace laburnumspar
