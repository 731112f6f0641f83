#pragma once

#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// Name of the content encoding with which instances exchange large messages: the length, then raw DEFLATE data.
constexpr char CompressedEncoding[] = "x-lspar-deflate";

/// Compresses a message of less than 4 GiB. Throws EncodeError.
std::string compress(std::string_view data);
/// Reverses compress(). Throws DecodeError if the data is invalid or longer than `maxLength` when uncompressed.
std::string uncompress(std::string_view data, std::size_t maxLength);

} // namespace laburnumspar::detail
