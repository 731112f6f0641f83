#pragma once

#include "laburnumspar/types.h"

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar::detail {

/// Allowed values of a number, both included.
template <typename T>
struct Range {
    T least;
    T most;
};

/// Parses a text of at most MaxValueBytes. Throws SettingsError with the line of the first fault.
toml::table parseToml(std::string_view text, const std::string &file);

/// Typed, checked access to one table of a settings text. All members throw SettingsError.
class TomlSection
{
public:
    /// Refuses keys that are not in `keys`, unless that is empty. `table` may be null: a section that the text omits.
    TomlSection(const toml::table *table, std::string file, std::string name, std::vector<std::string_view> keys);

    /// Section `name` below the root; null table if it is missing.
    static TomlSection
    of(const toml::table &root, const std::string &file, const std::string &name, std::vector<std::string_view> keys);

    bool has(std::string_view key) const;
    /// Leave `value` as it is if the key is missing.
    void read(std::string_view key, std::string &value) const;
    void read(std::string_view key, bool &value) const;
    void read(std::string_view key, unsigned &value, Range<unsigned> range) const;
    void read(std::string_view key, double &value, Range<double> range) const;
    void read(std::string_view key, Milliseconds &value, Range<std::int64_t> range) const;
    void read(std::string_view key, Endpoint &value) const;
    void read(std::string_view key, std::vector<Endpoint> &value) const;
    void readName(std::string_view key, std::string &value) const;
    void readChoice(std::string_view key, std::string &value, const std::vector<std::string_view> &choices) const;
    void require(std::string_view key) const;

    std::size_t line(std::string_view key) const;
    [[noreturn]] void fail(std::string_view key, const std::string &allowed) const;

private:
    const toml::node *find(std::string_view key) const;
    Endpoint endpoint(std::string_view key, const toml::node &node) const;
    std::optional<std::int64_t> integer(std::string_view key, Range<std::int64_t> range) const;

    const toml::table *m_table;
    std::string m_file;
    std::string m_name;
};

} // namespace laburnumspar::detail
