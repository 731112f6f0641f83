#pragma once

#include <unistd.h>

#include <string>

namespace laburnumspar {

/// Returns a loopback address that no other running process uses, so that tests with fixed ports can run beside each
/// other. `n`: from 0 to 15, for several addresses in one process.
inline std::string loopbackAddress(unsigned n)
{
    const auto pid = static_cast<unsigned>(::getpid());
    const unsigned second = 64 + n * 8 + (pid >> 16) % 8;
    return "127." + std::to_string(second) + '.' + std::to_string(pid >> 8 & 0xff) + '.' + std::to_string(pid & 0xff);
}

} // namespace laburnumspar
