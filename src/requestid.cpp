#include "laburnumspar/requestid.h"

#include "detail/messagefields.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <span>

namespace laburnumspar {

namespace {

using Bytes = std::vector<std::uint8_t>;

// Address tag, address, port, incarnation, sequence and checksum. Both sizes are multiples of three, so that the Base64
// text needs no padding and each identifier has exactly one text form.
constexpr std::size_t ChecksumBytes = 4;
constexpr std::size_t Ipv4IdBytes = 1 + 4 + 2 + 8 + 8 + ChecksumBytes;
constexpr std::size_t Ipv6IdBytes = 1 + 16 + 2 + 8 + 8 + ChecksumBytes;
static_assert(Ipv4IdBytes % 3 == 0 && Ipv6IdBytes % 3 == 0);

constexpr std::size_t textSize(std::size_t bytes)
{
    return bytes / 3 * 4;
}

std::uint32_t checksum(std::span<const std::uint8_t> bytes)
{
    return XXH32(bytes.data(), bytes.size(), 0);
}

std::string toBase64(const Bytes &bytes)
{
    namespace iterators = boost::archive::iterators;
    using Encoder = iterators::base64_from_binary<iterators::transform_width<Bytes::const_iterator, 6, 8>>;
    return {Encoder(bytes.begin()), Encoder(bytes.end())};
}

// The size of the text must be a multiple of four, and all characters must be in the Base64 alphabet.
Bytes fromBase64(std::string_view text)
{
    namespace iterators = boost::archive::iterators;
    using Decoder = iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;
    Bytes bytes(text.size() / 4 * 3);
    auto decoder = Decoder(text.begin());
    for (auto &byte : bytes) {
        byte = static_cast<std::uint8_t>(*decoder);
        ++decoder;
    }
    return bytes;
}

bool isBase64(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '+' || c == '/';
    });
}

RequestId readId(std::span<const std::uint8_t> bytes)
{
    detail::ReadBuffer buf(bytes);
    std::istream stream(&buf);
    detail::BoundedInputArchive ar(buf, stream);
    RequestId id;
    ar(id.owner, id.incarnation, id.sequence);
    if (buf.remaining() != 0 || id.owner == InstanceId()) {
        throw DecodeError("malformed request identifier");
    }
    return id;
}

} // namespace

std::string toString(const RequestId &id)
{
    detail::WriteBuffer buf;
    std::ostream stream(&buf);
    detail::OutputArchive ar(stream, detail::OutputArchive::Options::LittleEndian());
    ar(id.owner, id.incarnation, id.sequence);
    if (id.owner == InstanceId()) {
        throw EncodeError("the owner of a request identifier is not set");
    }
    auto bytes = buf.bytes();
    bytes.erase(bytes.begin()); // cereal's byte order marker, always little endian here
    const auto sum = checksum(bytes);
    for (std::size_t n = 0; n < ChecksumBytes; ++n) {
        bytes.push_back(static_cast<std::uint8_t>(sum >> (8 * n)));
    }
    return toBase64(bytes);
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if ((text.size() != textSize(Ipv4IdBytes) && text.size() != textSize(Ipv6IdBytes)) || !isBase64(text)) {
        return std::nullopt;
    }
    auto bytes = fromBase64(text);
    std::uint32_t sum = 0;
    for (std::size_t n = 0; n < ChecksumBytes; ++n) {
        sum |= static_cast<std::uint32_t>(bytes[bytes.size() - ChecksumBytes + n]) << (8 * n);
    }
    bytes.resize(bytes.size() - ChecksumBytes);
    if (checksum(bytes) != sum) {
        return std::nullopt;
    }
    try {
        bytes.insert(bytes.begin(), 1); // byte order marker of cereal: little endian
        return readId(bytes);
    } catch (const DecodeError &) {
        return std::nullopt;
    } catch (const cereal::Exception &) {
        return std::nullopt;
    }
}

} // namespace laburnumspar
