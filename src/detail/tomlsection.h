#pragma once

#include "laburnumspar/types.h"

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspar::detail {

/// Closed interval of valid values.
template <typename T>
struct Range {
    T min;
    T max;
};

/// Parses a text of at most MaxValueBytes. Throws SettingsError with the line of the first error.
toml::table parseToml(std::string_view text, const std::string &file);

/// Typed and validated access to one table of a settings text. All members throw SettingsError for invalid values.
class TomlSection
{
public:
    /// `table`: null if the text does not have the section. `name`: prefix of its keys in error messages; empty for the
    /// root. `keys`: the valid keys; others are an error. If it is empty, all keys are valid.
    TomlSection(const toml::table *table, std::string file, std::string name, std::vector<std::string_view> keys);

    /// Section `name` of the root, with a null table if it is missing.
    static TomlSection fromRoot(const toml::table &root,
                                const std::string &file,
                                const std::string &name,
                                std::vector<std::string_view> keys);

    bool has(std::string_view key) const;
    /// The read functions leave `value` unchanged if the key is missing.
    void read(std::string_view key, std::string &value) const;
    void read(std::string_view key, bool &value) const;
    void read(std::string_view key, unsigned &value, Range<unsigned> range) const;
    void read(std::string_view key, double &value, Range<double> range) const;
    void read(std::string_view key, Milliseconds &value, Range<std::int64_t> range) const;
    void read(std::string_view key, Endpoint &value) const;
    void read(std::string_view key, std::vector<Endpoint> &value) const;
    /// Reads a string for which isValidName() holds.
    void readName(std::string_view key, std::string &value) const;
    /// Reads a string that is one of `choices`.
    void readChoice(std::string_view key, std::string &value, const std::vector<std::string_view> &choices) const;
    /// Throws if the key is missing.
    void require(std::string_view key) const;

    /// Line number of the value, starting at 1; 0 if the key is missing.
    std::size_t line(std::string_view key) const;
    /// Throws SettingsError for the key. `expected` is a sentence as described there.
    [[noreturn]] void fail(std::string_view key, const std::string &expected) const;

private:
    const toml::node *find(std::string_view key) const;
    Endpoint parseEndpointNode(std::string_view key, const toml::node &node) const;
    std::optional<std::int64_t> readInteger(std::string_view key, Range<std::int64_t> range) const;

    const toml::table *m_table;
    std::string m_file;
    std::string m_name;
};

} // namespace laburnumspar::detail
