#pragma once

#include "laburnumspar/errors.h"
#include "laburnumspar/messages.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <cstdint>
#include <istream>
#include <ostream>
#include <span>
#include <streambuf>
#include <string>
#include <vector>

// cereal archives over memory, and field wrappers that limit the lengths of strings and lists, which cereal reads
// without a limit.
namespace laburnumspar::detail {

/// Stream buffer that reads from a byte range owned by the caller.
class ReadBuffer : public std::streambuf
{
public:
    explicit ReadBuffer(std::span<const std::uint8_t> bytes)
    {
        // std::streambuf takes non-const pointers only, but nothing writes to the get area.
        auto *begin = const_cast<char *>(reinterpret_cast<const char *>(bytes.data()));
        setg(begin, begin, begin + bytes.size());
    }

    std::size_t remaining() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

/// Stream buffer that appends to a vector, after `prefix` zero bytes.
class WriteBuffer : public std::streambuf
{
public:
    explicit WriteBuffer(std::size_t prefix = 0)
        : m_bytes(prefix)
    {
    }

    std::vector<std::uint8_t> &bytes()
    {
        return m_bytes;
    }

protected:
    int_type overflow(int_type c) override
    {
        if (!traits_type::eq_int_type(c, traits_type::eof())) {
            m_bytes.push_back(static_cast<std::uint8_t>(c));
        }
        return traits_type::not_eof(c);
    }

    std::streamsize xsputn(const char *text, std::streamsize n) override
    {
        m_bytes.insert(m_bytes.end(), text, text + n);
        return n;
    }

private:
    std::vector<std::uint8_t> m_bytes;
};

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

/// Input archive that knows the number of unread bytes.
class BoundedInputArchive : public cereal::PortableBinaryInputArchive
{
public:
    BoundedInputArchive(ReadBuffer &buf, std::istream &stream)
        : cereal::PortableBinaryInputArchive(stream)
        , m_buf(buf)
    {
    }

    std::size_t remaining() const
    {
        return m_buf.remaining();
    }

private:
    ReadBuffer &m_buf;
};

/// Number of unread bytes. cereal passes archives as their base class; every input archive here is a
/// BoundedInputArchive.
inline std::size_t remaining(InputArchive &ar)
{
    return static_cast<BoundedInputArchive &>(ar).remaining();
}

/// Writes a length in as few bytes as its limit `max` needs. Throws EncodeError if it exceeds the limit.
inline void saveLength(OutputArchive &ar, std::size_t length, std::size_t max)
{
    if (length > max) {
        throw EncodeError("length " + std::to_string(length) + " of a string or list exceeds its limit of "
                          + std::to_string(max));
    }
    if (max <= 0xff) {
        ar(static_cast<std::uint8_t>(length));
    } else if (max <= 0xffff) {
        ar(static_cast<std::uint16_t>(length));
    } else {
        ar(static_cast<std::uint32_t>(length));
    }
}

template <typename Number>
std::size_t loadNumber(InputArchive &ar)
{
    Number number = 0;
    ar(number);
    return number;
}

/// Reads a length. Each element takes at least one byte, so a length beyond the unread bytes is rejected before any
/// allocation.
inline std::size_t loadLength(InputArchive &ar, std::size_t max)
{
    const std::size_t length = max <= 0xff ? loadNumber<std::uint8_t>(ar)
        : max <= 0xffff                    ? loadNumber<std::uint16_t>(ar)
                                           : loadNumber<std::uint32_t>(ar);
    if (length > max || length > remaining(ar)) {
        throw DecodeError("length " + std::to_string(length)
                          + " of a string or list exceeds its limit or the rest of the message");
    }
    return length;
}

/// Encodes a string of at most `max` bytes.
struct StringField {
    std::string &value;
    std::size_t max;
};

inline void save(OutputArchive &ar, const StringField &text)
{
    saveLength(ar, text.value.size(), text.max);
    ar(cereal::binary_data(text.value.data(), text.value.size()));
}

inline void load(InputArchive &ar, StringField &text)
{
    text.value.resize(loadLength(ar, text.max));
    ar(cereal::binary_data(text.value.data(), text.value.size()));
}

/// Encodes a list of at most `max` elements.
template <typename T>
struct ListField {
    std::vector<T> &value;
    std::size_t max;
};

template <typename T>
void save(OutputArchive &ar, const ListField<T> &list)
{
    saveLength(ar, list.value.size(), list.max);
    for (const auto &element : list.value) {
        ar(element);
    }
}

// Appends one element at a time: a length that is too large fails at the end of the message, with no memory reserved
// for it.
template <typename T>
void load(InputArchive &ar, ListField<T> &list)
{
    const auto length = loadLength(ar, list.max);
    list.value.clear();
    for (std::size_t n = 0; n < length; ++n) {
        ar(list.value.emplace_back());
    }
}

/// Throws DecodeError for a value outside of the enumeration.
template <typename E>
E checkedEnum(std::size_t value)
{
    if (value >= EnumNames<E>::Names.size()) {
        throw DecodeError("value " + std::to_string(value) + " is outside of its enumeration");
    }
    return static_cast<E>(value);
}

/// Encodes an enumerator in one byte.
template <typename E>
struct EnumField {
    E &value;
};

template <typename E>
void save(OutputArchive &ar, const EnumField<E> &enumerated)
{
    ar(static_cast<std::uint8_t>(enumerated.value));
}

template <typename E>
void load(InputArchive &ar, EnumField<E> &enumerated)
{
    enumerated.value = checkedEnum<E>(loadNumber<std::uint8_t>(ar));
}

/// Encodes a bool in one byte. cereal itself would copy the byte into the bool, which is undefined behaviour for values
/// other than 0 and 1.
struct BoolField {
    bool &value;
};

inline void save(OutputArchive &ar, const BoolField &flag)
{
    ar(static_cast<std::uint8_t>(flag.value));
}

inline void load(InputArchive &ar, BoolField &flag)
{
    const auto value = loadNumber<std::uint8_t>(ar);
    if (value > 1) {
        throw DecodeError("a boolean field must be 0 or 1");
    }
    flag.value = value == 1;
}

} // namespace laburnumspar::detail
