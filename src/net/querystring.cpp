#include "net/querystring.h"

namespace laburnumspar::detail {

QueryParameters parseQuery(std::string_view target)
{
    QueryParameters parameters;
    auto begin = target.find('?');
    while (begin != std::string_view::npos) {
        const auto end = target.find('&', begin + 1);
        const auto part = target.substr(begin + 1, end == std::string_view::npos ? end : end - begin - 1);
        if (const auto separator = part.find('='); separator != std::string_view::npos) {
            parameters.emplace(part.substr(0, separator), part.substr(separator + 1));
        }
        begin = end;
    }
    return parameters;
}

std::string queryValue(const QueryParameters &query, std::string_view name)
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

} // namespace laburnumspar::detail
