#include "query.h"

#include <cmath>
#include <cstdlib>

namespace laburnumspar::tools {

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    auto n = target.find('?');
    while (n != std::string_view::npos) {
        const auto start = n + 1;
        n = target.find('&', start);
        const auto pair = target.substr(start, n == std::string_view::npos ? n : n - start);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
    }
    return std::nullopt;
}

double queryNumber(std::string_view target, std::string_view name, double fallback)
{
    const auto text = queryValue(target, name);
    if (!text) {
        return fallback;
    }
    char *end = nullptr;
    const double value = std::strtod(text->c_str(), &end);
    return end != text->c_str() && *end == '\0' && std::isfinite(value) ? value : fallback;
}

} // namespace laburnumspar::tools
