#include "gateway/compression.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/messages.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstdint>

namespace laburnumspar::detail {

namespace zlib = boost::beast::zlib;

namespace {

constexpr int CompressionLevel = 3;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 6;
constexpr std::size_t MinBlockBytes = 4096;
/// The data is preceded by its uncompressed length, in network byte order.
constexpr std::size_t PrefixBytes = 4;

bool isFailure(const boost::system::error_code &ec)
{
    return ec && ec != zlib::error::end_of_stream && ec != zlib::error::need_buffers;
}

} // namespace

std::string compress(std::string_view data)
{
    std::string result(PrefixBytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(result.data()), std::uint32_t(data.size()));
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    zlib::z_params params;
    params.next_in = data.data();
    params.avail_in = data.size();
    boost::system::error_code ec;
    while (ec != zlib::error::end_of_stream) {
        const auto length = result.size();
        result.resize(length + std::max(MinBlockBytes, data.size() / 4));
        params.next_out = result.data() + length;
        params.avail_out = result.size() - length;
        ec = {};
        stream.write(params, zlib::Flush::finish, ec);
        result.resize(result.size() - params.avail_out);
        if (isFailure(ec)) {
            throw EncodeError("cannot compress: " + ec.message());
        }
    }
    return result;
}

std::string uncompress(std::string_view data, std::size_t maxLength)
{
    if (data.size() < PrefixBytes) {
        throw DecodeError("compressed message is too short");
    }
    const auto expected = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(data.data()));
    if (expected > maxLength) {
        throw DecodeError("compressed message is too long");
    }
    zlib::inflate_stream stream;
    stream.reset(WindowBits);
    zlib::z_params params;
    params.next_in = data.data() + PrefixBytes;
    params.avail_in = data.size() - PrefixBytes;
    std::string result;
    while (result.size() < expected) {
        const auto length = result.size();
        // The memory grows with the data that has arrived, not with the announced length.
        result.resize(std::min<std::size_t>(expected, length + std::max(MinBlockBytes, length)));
        params.next_out = result.data() + length;
        params.avail_out = result.size() - length;
        boost::system::error_code ec;
        stream.write(params, zlib::Flush::sync, ec);
        result.resize(result.size() - params.avail_out);
        if (isFailure(ec) || result.size() == length) {
            throw DecodeError("invalid compressed message");
        }
    }
    return result;
}

} // namespace laburnumspar::detail
