// toml++ 3.3 limits the depth of nested values, but not the parts of a dotted key: each part is a nested table, and a
// value of a few hundred kilobytes overflows the stack when its tables are destroyed.
#include "detail/tomlkeys.h"

#include <algorithm>

namespace laburnumspar::detail {

namespace {

// Position after the string that begins at `at`. Strings on one line end at its end at the latest.
std::size_t skipString(std::string_view text, std::size_t at)
{
    const char quote = text[at];
    const bool escapes = quote == '"';
    const std::string_view longQuote = escapes ? "\"\"\"" : "'''";
    const bool isLong = text.substr(at).starts_with(longQuote);
    at += isLong ? 3 : 1;
    for (; at < text.size(); ++at) {
        if (escapes && text[at] == '\\') {
            ++at;
        } else if (isLong && text.substr(at).starts_with(longQuote)) {
            // Up to two quotes may stand directly before the closing ones.
            const auto end = text.find_first_not_of(quote, at);
            return std::min({end, at + 5, text.size()});
        } else if (!isLong && (text[at] == quote || text[at] == '\n')) {
            return at + (text[at] == quote ? 1 : 0);
        }
    }
    return text.size();
}

std::size_t lineAt(std::string_view text, std::size_t at)
{
    return 1 + static_cast<std::size_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
}

} // namespace

std::optional<std::size_t> findDeepKey(std::string_view text)
{
    constexpr std::string_view Ends = "=,[]{}\n";
    std::size_t dots = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char c = text[at];
        if (c == '"' || c == '\'') {
            at = skipString(text, at);
            continue;
        }
        if (c == '#') {
            at = std::min(text.find('\n', at), text.size());
            continue;
        }
        dots = Ends.find(c) != std::string_view::npos ? 0 : dots + (c == '.' ? 1 : 0);
        if (dots >= MaxKeyParts) {
            return lineAt(text, at);
        }
        ++at;
    }
    return std::nullopt;
}

} // namespace laburnumspar::detail
