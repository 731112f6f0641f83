#include "gateway/compression.h"

#include "detail/pausepoint.h"
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
/// Bytes that are compressed, or result from uncompressing, between two pause points.
constexpr std::size_t MaxBlockBytes = 64 << 10;
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
    params.avail_in = 0;
    boost::system::error_code ec;
    while (ec != zlib::error::end_of_stream) {
        if (params.avail_in == 0) {
            params.next_in = data.data();
            params.avail_in = std::min(data.size(), MaxBlockBytes);
            data.remove_prefix(params.avail_in);
        }
        const auto length = result.size();
        result.resize(length + std::max(MinBlockBytes, params.avail_in / 4));
        params.next_out = result.data() + length;
        params.avail_out = result.size() - length;
        ec = {};
        stream.write(params, data.empty() ? zlib::Flush::finish : zlib::Flush::none, ec);
        result.resize(result.size() - params.avail_out);
        pausePoint();
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
        result.resize(std::min<std::size_t>(expected, length + std::clamp(length, MinBlockBytes, MaxBlockBytes)));
        params.next_out = result.data() + length;
        params.avail_out = result.size() - length;
        boost::system::error_code ec;
        stream.write(params, zlib::Flush::sync, ec);
        result.resize(result.size() - params.avail_out);
        if (isFailure(ec) || result.size() == length) {
            throw DecodeError("invalid compressed message");
        }
        pausePoint();
    }
    return result;
}

} // namespace laburnumspar::detail
