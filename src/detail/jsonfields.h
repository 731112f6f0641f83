#pragma once

#include "laburnumspar/types.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

// Validated access to the members of a JSON document. All functions but stateName() throw DecodeError, whose message
// names the member that is missing or invalid.

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
