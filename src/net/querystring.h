#pragma once

#include <map>
#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// Parameters of the query of a request target, by name. Of several with the same name, the first one counts.
using QueryParameters = std::map<std::string, std::string, std::less<>>;

/// Returns the parameters as they are written, without decoding escapes. Parts without a value are left out.
QueryParameters parseQuery(std::string_view target);

/// Returns the value of a parameter; empty if the query does not contain it.
std::string queryValue(const QueryParameters &query, std::string_view name);

} // namespace laburnumspar::detail
