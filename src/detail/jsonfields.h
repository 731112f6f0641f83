#pragma once

#include "laburnumspar/types.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// Checked access to parts of a JSON text. All throw DecodeError, which names the member.
boost::json::object parseObject(std::string_view text);
const boost::json::object &objectOf(const boost::json::value &value, std::string_view what);
const boost::json::array &arrayIn(const boost::json::object &object, std::string_view key);
std::string stringIn(const boost::json::object &object, std::string_view key);
std::uint64_t numberIn(const boost::json::object &object, std::string_view key);

/// Member "address": an IP address with a port above 0.
Endpoint addressIn(const boost::json::object &object);
/// Member "zone": a name.
std::string zoneIn(const boost::json::object &object);
/// Member "state" of a listed instance or upstream: live, leaving or starting.
UpstreamPhase stateIn(const boost::json::object &object);
/// Word of the platform for a phase.
std::string_view stateName(UpstreamPhase phase);

} // namespace laburnumspar::detail
