#include "detail/jsonfields.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

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

FieldValue fieldValue(const boost::json::value &value)
{
    if (const auto *text = value.if_string()) {
        return std::string_view(text->data(), text->size());
    }
    if (const auto *array = value.if_array()) {
        return ElementCount{FieldType::Array, array->size()};
    }
    if (const auto *object = value.if_object()) {
        return ElementCount{FieldType::Object, object->size()};
    }
    if (const auto *flag = value.if_bool()) {
        return *flag;
    }
    return value.is_number() ? FieldValue(value.to_number<double>()) : FieldValue();
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
    if (!keepsRule(fieldValue(*value), rule)) {
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
