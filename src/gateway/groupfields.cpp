#include "gateway/groupfields.h"

namespace laburnumspar::detail {

namespace {

bool isInRange(std::uint64_t number, const WireRule &rule)
{
    return number >= rule.min && number <= rule.max;
}

std::string describe(const WireRule &rule)
{
    const bool isText = rule.type == WireType::Text;
    return "field \"" + std::string(rule.name) + "\" must be " + (isText ? "a text of " : "a whole number from ")
        + std::to_string(rule.min) + " to " + std::to_string(rule.max) + (isText ? " bytes" : "");
}

void requireRange(std::uint64_t number, const WireRule &rule)
{
    if (!isInRange(number, rule)) {
        throw DecodeError(describe(rule));
    }
}

/// Calls `read`, which reads a part of the field.
template <typename Read>
auto loadPart(const WireRule &rule, Read &&read)
{
    try {
        return read();
    } catch (const cereal::Exception &) {
        throw DecodeError("field \"" + std::string(rule.name) + "\" is missing or incomplete");
    }
}

std::uint64_t loadLengthOf(InputArchive &ar, const WireRule &rule)
{
    return rule.max <= 0xff  ? loadNumber<std::uint8_t>(ar)
        : rule.max <= 0xffff ? loadNumber<std::uint16_t>(ar)
                             : loadNumber<std::uint32_t>(ar);
}

std::uint64_t loadAnyNumber(InputArchive &ar, const WireRule &rule)
{
    switch (rule.type) {
    case WireType::Uint8:
        return loadNumber<std::uint8_t>(ar);
    case WireType::Uint16:
        return loadNumber<std::uint16_t>(ar);
    case WireType::Uint32:
        return loadNumber<std::uint32_t>(ar);
    case WireType::Uint64:
        return loadNumber<std::uint64_t>(ar);
    case WireType::Text:
        break;
    }
    return loadLengthOf(ar, rule);
}

} // namespace

void saveField(OutputArchive &ar, const WireRule &rule, std::uint64_t number)
{
    if (!isInRange(number, rule)) {
        throw EncodeError(describe(rule));
    }
    switch (rule.type) {
    case WireType::Uint8:
        ar(std::uint8_t(number));
        break;
    case WireType::Uint16:
        ar(std::uint16_t(number));
        break;
    case WireType::Uint32:
        ar(std::uint32_t(number));
        break;
    case WireType::Uint64:
        ar(number);
        break;
    case WireType::Text:
        saveLength(ar, number, rule.max);
        break;
    }
}

std::uint64_t loadField(InputArchive &ar, const WireRule &rule)
{
    const auto number = loadPart(rule, [&] { return loadAnyNumber(ar, rule); });
    requireRange(number, rule);
    return number;
}

std::size_t loadCount(InputArchive &ar, const WireRule &rule)
{
    const auto count = loadField(ar, rule);
    if (count > remaining(ar)) {
        throw DecodeError("field \"" + std::string(rule.name) + "\" exceeds the rest of the message");
    }
    return count;
}

void saveText(OutputArchive &ar, const WireRule &rule, std::string_view text)
{
    saveField(ar, rule, text.size());
    ar(cereal::binary_data(text.data(), text.size()));
}

std::string loadText(InputArchive &ar, const WireRule &rule)
{
    std::string text(loadCount(ar, rule), '\0');
    loadPart(rule, [&] { ar(cereal::binary_data(text.data(), text.size())); });
    return text;
}

bool keepsRule(std::string_view text, const WireRule &rule)
{
    return isInRange(text.size(), rule);
}

} // namespace laburnumspar::detail
