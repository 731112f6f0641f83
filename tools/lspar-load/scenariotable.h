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

/// Range of a number, both ends included.
struct NumberRange {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// Reads one table of a scenario. All functions throw SettingsError; keys never read are errors in `finish`.
class ScenarioTable
{
public:
    ScenarioTable(const toml::table &table, std::string file, std::string name);

    void read(const char *key, std::string &value);
    void read(const char *key, bool &value);
    void read(const char *key, double &value, NumberRange range);
    void read(const char *key, unsigned &value, NumberRange range);
    void read(const char *key, Milliseconds &value, NumberRange range);
    void read(const char *key, std::vector<std::string> &value);
    void read(const char *key, std::optional<double> &value, NumberRange range);
    void require(const char *key) const;
    bool has(const char *key) const;
    void rejectUnknownKeys() const;

    [[noreturn]] void fail(const std::string &key, const std::string &allowed) const;

private:
    std::optional<double> readNumber(const char *key, NumberRange range, bool integer);

    const toml::table &m_table;
    std::string m_file;
    std::string m_name;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace laburnumspar::tools
