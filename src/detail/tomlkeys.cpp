// toml++ 3.3 limits the depth of nested values but not the number of parts of a dotted key. Each part becomes a nested
// table, and a key of a few hundred kilobytes overflows the stack when these tables are destroyed.
#include "detail/tomlkeys.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

// Returns the position after the string that begins at `pos`. A single-line string ends at the line break at the
// latest.
std::size_t skipString(std::string_view text, std::size_t pos)
{
    const char quote = text[pos];
    const bool hasEscapes = quote == '"';
    const std::string_view delimiter = hasEscapes ? "\"\"\"" : "'''";
    const bool isMultiLine = text.substr(pos).starts_with(delimiter);
    pos += isMultiLine ? 3 : 1;
    for (; pos < text.size(); ++pos) {
        if (hasEscapes && text[pos] == '\\') {
            ++pos;
        } else if (isMultiLine && text.substr(pos).starts_with(delimiter)) {
            // The string may end with up to two quotes directly before the closing delimiter.
            const auto end = text.find_first_not_of(quote, pos);
            return std::min({end, pos + 5, text.size()});
        } else if (!isMultiLine && (text[pos] == quote || text[pos] == '\n')) {
            return pos + (text[pos] == quote ? 1 : 0);
        }
    }
    return text.size();
}

std::size_t lineNumber(std::string_view text, std::size_t pos)
{
    return 1
        + static_cast<std::size_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(pos), '\n'));
}

} // namespace

std::optional<std::size_t> findDeepKey(std::string_view text)
{
    constexpr std::string_view KeyTerminators = "=,[]{}\n";
    std::size_t dots = 0;
    for (std::size_t pos = 0; pos < text.size();) {
        const char c = text[pos];
        if (c == '"' || c == '\'') {
            pos = skipString(text, pos);
            continue;
        }
        if (c == '#') {
            pos = std::min(text.find('\n', pos), text.size());
            continue;
        }
        dots = KeyTerminators.find(c) != std::string_view::npos ? 0 : dots + (c == '.' ? 1 : 0);
        if (dots >= MaxKeyParts) {
            return lineNumber(text, pos);
        }
        ++pos;
    }
    return std::nullopt;
}

} // namespace laburnumspar::detail
