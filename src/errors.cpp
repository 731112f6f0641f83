#include "laburnumspar/errors.h"

#include <utility>

namespace laburnumspar {

namespace {

std::string
formatMessage(const std::string &file, const std::string &key, std::size_t line, const std::string &expected)
{
    const std::string location = line == 0 ? file : file + ':' + std::to_string(line);
    return location + ": " + key + ": " + expected;
}

} // namespace

SettingsError::SettingsError(std::string file, std::string key, std::size_t line, std::string expected)
    : Error(formatMessage(file, key, line, expected))
    , m_file(std::move(file))
    , m_key(std::move(key))
    , m_line(line)
    , m_expected(std::move(expected))
{
}

void requireInvariant(bool holds, const char *invariant)
{
    if (!holds) {
        throw InvariantError(std::string("invariant violated: ") + invariant);
    }
}

} // namespace laburnumspar
