#pragma once

#include "laburnumspar/types.h"

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace laburnumspar::tools {

/// Closed range of numbers.
struct NumberRange {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// Reads the values of one TOML table of a scenario. Throws SettingsError if a value is invalid.
class ScenarioTable
{
public:
    /// `file` and `name`, which is the key of the table, are used in error messages.
    ScenarioTable(const toml::table &table, std::string file, std::string name);

    /// Each overload leaves `value` unchanged if the key is missing, but resets an optional one.
    void read(const char *key, std::string &value);
    void read(const char *key, bool &value);
    void read(const char *key, double &value, NumberRange range);
    void read(const char *key, unsigned &value, NumberRange range);
    void read(const char *key, Milliseconds &value, NumberRange range);
    void read(const char *key, std::vector<std::string> &value);
    void read(const char *key, std::optional<double> &value, NumberRange range);
    /// Throws SettingsError if the key is missing.
    void require(const char *key) const;
    bool has(const char *key) const;
    /// Throws SettingsError if the table has a key that was never passed to read().
    void rejectUnknownKeys() const;

    /// Throws SettingsError for the key. `expected` is a sentence that says what is valid.
    [[noreturn]] void fail(const std::string &key, const std::string &expected) const;

private:
    std::optional<double> readNumber(const char *key, NumberRange range, bool integer);

    const toml::table &m_table;
    std::string m_file;
    std::string m_name;
    std::set<std::string, std::less<>> m_knownKeys; ///< keys passed to read()
};

} // namespace laburnumspar::tools
