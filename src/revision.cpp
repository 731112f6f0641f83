#include "laburnumspar/revision.h"

#include <charconv>

namespace laburnumspar {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, number);
    return ec == std::errc() && ptr == end ? std::optional(number) : std::nullopt;
}

} // namespace

std::string toString(Revision revision)
{
    return std::to_string(revision.era) + '.' + std::to_string(revision.number);
}

std::optional<Revision> parseRevision(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto era = parseNumber(text.substr(0, dot));
    const auto number = parseNumber(text.substr(dot + 1));
    return era && number ? std::optional(Revision(*era, *number)) : std::nullopt;
}

} // namespace laburnumspar
