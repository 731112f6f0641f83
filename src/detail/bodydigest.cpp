#include "detail/bodydigest.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace laburnumspar::detail {

std::string bodyDigest(std::string_view body)
{
    std::array<char, 17> buf{};
    std::snprintf(
        buf.data(), buf.size(), "%016" PRIx64, static_cast<std::uint64_t>(XXH64(body.data(), body.size(), 0)));
    return buf.data();
}

} // namespace laburnumspar::detail
