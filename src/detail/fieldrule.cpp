#include "detail/fieldrule.h"

#include "laburnumspar/types.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace laburnumspar::detail {

namespace {

std::string formatNumber(double number)
{
    char buf[32];
    const bool isWhole = std::floor(number) == number && number <= MaxExactNumber;
    const auto end = isWhole ? std::to_chars(buf, buf + sizeof buf, std::int64_t(number)).ptr
                             : std::to_chars(buf, buf + sizeof buf, number).ptr;
    return {buf, end};
}

/// False for a number that is no number (NaN).
bool isInRange(double number, const FieldRule &rule)
{
    return number >= rule.min && number <= rule.max;
}

bool isText(std::string_view text, const FieldRule &rule)
{
    const bool isAllowed
        = rule.words.empty() || std::find(rule.words.begin(), rule.words.end(), text) != rule.words.end();
    return isAllowed && isInRange(double(text.size()), rule);
}

bool isAddress(std::string_view text)
{
    const auto endpoint = parseEndpoint(text);
    return endpoint && endpoint->port != 0;
}

bool isUnicastAddress(std::string_view text)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address_v4(std::string(text), ec).to_uint();
    return !ec && address >= MinUnicastAddress && address <= MaxUnicastAddress;
}

} // namespace

bool keepsRule(const FieldValue &value, const FieldRule &rule)
{
    const auto *text = std::get_if<std::string_view>(&value);
    const auto *number = std::get_if<double>(&value);
    const auto *elements = std::get_if<ElementCount>(&value);
    switch (rule.type) {
    case FieldType::Text:
        return text != nullptr && isText(*text, rule);
    case FieldType::Address:
        return text != nullptr && isAddress(*text);
    case FieldType::Ipv4Address:
        return text != nullptr && isUnicastAddress(*text);
    case FieldType::Number:
        return number != nullptr && isInRange(*number, rule);
    case FieldType::WholeNumber:
        return number != nullptr && isInRange(*number, rule) && std::floor(*number) == *number;
    case FieldType::Boolean:
        return std::holds_alternative<bool>(value);
    case FieldType::Array:
    case FieldType::Object:
        return elements != nullptr && elements->type == rule.type && isInRange(double(elements->count), rule);
    }
    return false;
}

std::string describe(const FieldRule &rule)
{
    const auto range = " from " + formatNumber(rule.min) + " to " + formatNumber(rule.max);
    // Most arrays and objects have no bound of their own, so that it is not named for them.
    const auto elements = rule.max < MaxExactNumber ? " of" + range + " elements" : std::string();
    switch (rule.type) {
    case FieldType::Text:
        break;
    case FieldType::Address:
        return "an IP address with a port from 1 to 65535";
    case FieldType::Ipv4Address:
        return "an IPv4 address from 1.0.0.0 to 223.255.255.255";
    case FieldType::Number:
        return "a number" + range;
    case FieldType::WholeNumber:
        return "a whole number" + range;
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Array:
        return "an array" + elements;
    case FieldType::Object:
        return "an object" + elements;
    }
    if (rule.words.empty()) {
        return "a string of" + range + " bytes";
    }
    std::string words = "one of";
    for (const auto &it : rule.words) {
        words += ' ';
        words += it;
    }
    return words;
}

} // namespace laburnumspar::detail
