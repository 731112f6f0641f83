#pragma once

#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// xxHash64 of a body as 16 lower-case hexadecimal digits, as in the X-Body-Digest header.
std::string bodyDigest(std::string_view body);

} // namespace laburnumspar::detail
