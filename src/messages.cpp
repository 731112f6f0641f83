#include "laburnumspar/messages.h"

#include "detail/messagefields.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace laburnumspar {

namespace {

constexpr std::uint32_t Magic = 0x5250534c; // "LSPR"
constexpr std::uint8_t ProtocolVersion = 2;
constexpr std::size_t DigestOffset = 10;

struct FrameHeader {
    std::uint8_t kind = 0;
    std::uint32_t length = 0; ///< bytes after the header
    std::uint64_t digest = 0;
};

template <typename Number>
void writeLittleEndian(std::uint8_t *to, Number number)
{
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
        to[n] = static_cast<std::uint8_t>(number >> (8 * n));
    }
}

template <typename Number>
Number readLittleEndian(const std::uint8_t *from)
{
    Number number = 0;
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
        number |= static_cast<Number>(from[n]) << (8 * n);
    }
    return number;
}

// The seed includes the kind, so that a message is never decoded as one of another kind.
std::uint64_t computeDigest(std::uint8_t kind, std::span<const std::uint8_t> payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), ProtocolVersion << 8 | kind);
}

std::size_t maxMessageBytes(std::size_t kind)
{
    return kind == 0 ? MaxDatagramBytes : MaxFrameBytes;
}

FrameHeader readHeader(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < FrameHeaderBytes) {
        throw DecodeError("message is shorter than its header");
    }
    if (readLittleEndian<std::uint32_t>(bytes.data()) != Magic) {
        throw DecodeError("message does not start with \"LSPR\"");
    }
    if (bytes[4] != ProtocolVersion) {
        throw DecodeError("protocol version " + std::to_string(bytes[4]) + " is not supported");
    }
    FrameHeader header;
    header.kind = bytes[5];
    header.length = readLittleEndian<std::uint32_t>(bytes.data() + 6);
    header.digest = readLittleEndian<std::uint64_t>(bytes.data() + DigestOffset);
    if (header.kind >= std::variant_size_v<Message>) {
        throw DecodeError("unknown message kind");
    }
    if (header.length > maxMessageBytes(header.kind) - FrameHeaderBytes) {
        throw DecodeError("message exceeds the size limit of its kind");
    }
    return header;
}

template <std::size_t Kind>
Message loadMessage(detail::InputArchive &ar)
{
    std::variant_alternative_t<Kind, Message> message;
    ar(message);
    return message;
}

template <std::size_t... Kinds>
Message loadMessage(detail::InputArchive &ar, std::size_t kind, std::index_sequence<Kinds...>)
{
    using Loader = Message (*)(detail::InputArchive &);
    constexpr std::array<Loader, sizeof...(Kinds)> Loaders{&loadMessage<Kinds>...};
    return Loaders[kind](ar);
}

template <typename T>
std::size_t measureEncoded(const T &save)
{
    detail::WriteBuffer buf;
    std::ostream stream(&buf);
    detail::OutputArchive ar(stream);
    const auto before = buf.bytes().size();
    save(ar);
    return buf.bytes().size() - before;
}

} // namespace

std::vector<std::uint8_t> encode(const Envelope &envelope, const Message &message)
{
    detail::WriteBuffer buf(FrameHeaderBytes);
    std::ostream stream(&buf);
    detail::OutputArchive ar(stream, detail::OutputArchive::Options::LittleEndian());
    ar(envelope);
    std::visit([&ar](const auto &body) { ar(body); }, message);
    auto &bytes = buf.bytes();
    if (bytes.size() > maxMessageBytes(message.index())) {
        throw EncodeError("message of " + std::to_string(bytes.size()) + " bytes exceeds the size limit of its kind");
    }
    const auto kind = static_cast<std::uint8_t>(message.index());
    const auto payload = std::span(bytes).subspan(FrameHeaderBytes);
    writeLittleEndian(bytes.data(), Magic);
    bytes[4] = ProtocolVersion;
    bytes[5] = kind;
    writeLittleEndian(bytes.data() + 6, static_cast<std::uint32_t>(payload.size()));
    writeLittleEndian(bytes.data() + DigestOffset, computeDigest(kind, payload));
    return std::move(bytes);
}

DecodedMessage decode(std::span<const std::uint8_t> bytes)
{
    const auto header = readHeader(bytes);
    const auto payload = bytes.subspan(FrameHeaderBytes);
    if (payload.size() != header.length) {
        throw DecodeError(payload.size() < header.length ? "message is truncated"
                                                         : "unexpected bytes after the message");
    }
    if (computeDigest(header.kind, payload) != header.digest) {
        throw DecodeError("message digest does not match");
    }
    detail::ReadBuffer buf(payload);
    std::istream stream(&buf);
    try {
        detail::BoundedInputArchive ar(buf, stream);
        DecodedMessage decoded;
        ar(decoded.envelope);
        decoded.message = loadMessage(ar, header.kind, std::make_index_sequence<std::variant_size_v<Message>>());
        if (buf.remaining() != 0) {
            throw DecodeError("unexpected bytes after the last field");
        }
        return decoded;
    } catch (const cereal::Exception &exception) {
        throw DecodeError(exception.what());
    }
}

std::size_t frameLength(std::span<const std::uint8_t> header)
{
    return FrameHeaderBytes + readHeader(header).length;
}

std::size_t encodedSize(const MemberRecord &record)
{
    return measureEncoded([&record](auto &ar) { detail::saveRecord(ar, record, 0); });
}

std::size_t encodedSize(const PublishedState &state)
{
    return measureEncoded([&state](auto &ar) { ar(state); });
}

std::size_t encodedSize(const SettingsVersion &version)
{
    return measureEncoded([&version](auto &ar) { ar(version); });
}

} // namespace laburnumspar
