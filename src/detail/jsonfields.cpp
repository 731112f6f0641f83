#include "detail/jsonfields.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

#include <algorithm>
#include <cmath>

namespace laburnumspar::detail {

namespace {

std::string quoted(std::string_view key)
{
    return '"' + std::string(key) + '"';
}

const boost::json::value &memberOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (!value) {
        throw DecodeError("member " + quoted(key) + " is missing");
    }
    return *value;
}

std::string describe(const FieldRule &rule)
{
    const auto range = [&rule] {
        return " from " + std::to_string(std::uint64_t(rule.min)) + " to " + std::to_string(std::uint64_t(rule.max));
    };
    switch (rule.type) {
    case FieldType::Text:
        break;
    case FieldType::Address:
        return "an IP address with a port from 1 to 65535";
    case FieldType::Number:
        return "a number" + range();
    case FieldType::WholeNumber:
        return "a whole number" + range();
    case FieldType::Boolean:
        return "true or false";
    case FieldType::Array:
        return "an array";
    case FieldType::Object:
        return "an object";
    }
    if (rule.words.empty()) {
        return "a string of" + range() + " bytes";
    }
    std::string words = "one of";
    for (const auto &it : rule.words) {
        words += ' ';
        words += it;
    }
    return words;
}

bool isNumber(const boost::json::value &value, const FieldRule &rule)
{
    if (!value.is_number()) {
        return false;
    }
    const auto number = value.to_number<double>();
    const bool inRange = number >= rule.min && number <= rule.max;
    return inRange && (rule.type == FieldType::Number || std::floor(number) == number);
}

bool isText(const boost::json::value &value, const FieldRule &rule)
{
    const auto *text = value.if_string();
    if (text == nullptr || double(text->size()) < rule.min || double(text->size()) > rule.max) {
        return false;
    }
    const std::string_view word{text->data(), text->size()};
    return rule.words.empty() || std::find(rule.words.begin(), rule.words.end(), word) != rule.words.end();
}

bool isAddress(const boost::json::value &value)
{
    const auto *text = value.if_string();
    const auto endpoint = text != nullptr ? parseEndpoint({text->data(), text->size()}) : std::nullopt;
    return endpoint && endpoint->port != 0;
}

bool keepsRule(const boost::json::value &value, const FieldRule &rule)
{
    switch (rule.type) {
    case FieldType::Text:
        return isText(value, rule);
    case FieldType::Address:
        return isAddress(value);
    case FieldType::Number:
    case FieldType::WholeNumber:
        return isNumber(value, rule);
    case FieldType::Boolean:
        return value.is_bool();
    case FieldType::Array:
        return value.is_array();
    case FieldType::Object:
        return value.is_object();
    }
    return false;
}

} // namespace

const boost::json::value *checkedMember(const boost::json::object &object, const FieldRule &rule)
{
    const auto *value = object.if_contains({rule.name.data(), rule.name.size()});
    if (value == nullptr || value->is_null()) {
        if (rule.presence == Presence::Required) {
            throw DecodeError("field " + quoted(rule.name) + " is missing; it must be " + describe(rule));
        }
        return nullptr;
    }
    if (!keepsRule(*value, rule)) {
        throw DecodeError("field " + quoted(rule.name) + " must be " + describe(rule));
    }
    return value;
}

void checkMembers(const boost::json::object &object, std::span<const FieldRule> rules)
{
    for (const auto &rule : rules) {
        checkedMember(object, rule);
    }
}

std::string textIn(const boost::json::object &object, const FieldRule &rule)
{
    const auto *value = checkedMember(object, rule);
    return value != nullptr ? std::string(value->get_string()) : std::string();
}

std::optional<double> optionalNumberIn(const boost::json::object &object, const FieldRule &rule)
{
    const auto *value = checkedMember(object, rule);
    return value != nullptr ? std::optional(value->to_number<double>()) : std::nullopt;
}

double requiredNumberIn(const boost::json::object &object, const FieldRule &rule)
{
    return optionalNumberIn(object, rule).value_or(0);
}

boost::json::object parseObject(std::string_view text)
{
    boost::system::error_code ec;
    auto value = boost::json::parse(text, ec);
    if (ec) {
        throw DecodeError("invalid JSON: " + ec.message());
    }
    objectOf(value, "the document");
    return std::move(value.as_object());
}

const boost::json::object &objectOf(const boost::json::value &value, std::string_view what)
{
    const auto *object = value.if_object();
    if (!object) {
        throw DecodeError(std::string(what) + " is not a JSON object");
    }
    return *object;
}

const boost::json::array &arrayIn(const boost::json::object &object, std::string_view key)
{
    const auto *array = memberOf(object, key).if_array();
    if (!array) {
        throw DecodeError("member " + quoted(key) + " is not an array");
    }
    return *array;
}

std::string stringIn(const boost::json::object &object, std::string_view key)
{
    const auto *text = memberOf(object, key).if_string();
    if (!text) {
        throw DecodeError("member " + quoted(key) + " is not a string");
    }
    return {text->data(), text->size()};
}

std::uint64_t numberIn(const boost::json::object &object, std::string_view key)
{
    boost::system::error_code ec;
    const auto number = memberOf(object, key).to_number<std::uint64_t>(ec);
    if (ec) {
        throw DecodeError("member " + quoted(key) + " is not a non-negative integer");
    }
    return number;
}

Endpoint addressIn(const boost::json::object &object)
{
    const auto text = stringIn(object, "address");
    const auto endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->port == 0) {
        throw DecodeError("address " + quoted(text) + " is not an IP address with a port from 1 to 65535");
    }
    return *endpoint;
}

std::string zoneIn(const boost::json::object &object)
{
    auto zone = stringIn(object, "zone");
    if (!isValidName(zone)) {
        throw DecodeError("zone " + quoted(zone) + " is not a valid name");
    }
    return zone;
}

UpstreamPhase stateIn(const boost::json::object &object)
{
    const auto state = stringIn(object, "state");
    for (const auto phase : {UpstreamPhase::Starting, UpstreamPhase::Serving, UpstreamPhase::Draining}) {
        if (state == stateName(phase)) {
            return phase;
        }
    }
    throw DecodeError("state " + quoted(state) + " must be one of live, leaving, starting");
}

std::string_view stateName(UpstreamPhase phase)
{
    switch (phase) {
    case UpstreamPhase::Starting:
        return "starting";
    case UpstreamPhase::Serving:
        return "live";
    case UpstreamPhase::Draining:
        return "leaving";
    }
    return "invalid";
}

} // namespace laburnumspar::detail
