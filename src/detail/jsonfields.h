#pragma once

#include "detail/fieldrule.h"
#include "laburnumspar/types.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

// Validated access to the members of a JSON document. All functions but stateName() throw DecodeError, whose message
// names the member that is missing or invalid.

/// Returns the member if it keeps the rule, or null if it is optional and missing.
const boost::json::value *checkedMember(const boost::json::object &object, const FieldRule &rule);
/// Checks the members that the rules name. Others may be there, too.
void checkMembers(const boost::json::object &object, std::span<const FieldRule> rules);
std::string textIn(const boost::json::object &object, const FieldRule &rule);
std::optional<double> optionalNumberIn(const boost::json::object &object, const FieldRule &rule);
double requiredNumberIn(const boost::json::object &object, const FieldRule &rule);

/// Parses a document whose root is an object.
boost::json::object parseObject(std::string_view text);
/// `what`: name of the value in the error message.
const boost::json::object &objectOf(const boost::json::value &value, std::string_view what);
const boost::json::array &arrayIn(const boost::json::object &object, std::string_view key);
std::string stringIn(const boost::json::object &object, std::string_view key);
std::uint64_t numberIn(const boost::json::object &object, std::string_view key);

/// Member "address": an IP address with a port above 0.
Endpoint addressIn(const boost::json::object &object);
/// Member "zone": a valid name.
std::string zoneIn(const boost::json::object &object);
/// Member "state" of an instance or upstream in a list: "live", "leaving" or "starting".
UpstreamPhase stateIn(const boost::json::object &object);
/// Name of a phase in instance lists.
std::string_view stateName(UpstreamPhase phase);

} // namespace laburnumspar::detail
