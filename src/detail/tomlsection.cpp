#include "detail/tomlsection.h"

#include "detail/tomlkeys.h"
#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

#include <algorithm>
#include <charconv>

namespace laburnumspar::detail {

namespace {

std::string join(const std::vector<std::string_view> &words)
{
    std::string text;
    for (const auto word : words) {
        text += text.empty() ? "" : ", ";
        text += word;
    }
    return text;
}

std::string formatNumber(double value)
{
    char buf[32];
    const auto end = std::to_chars(buf, buf + sizeof buf, value).ptr;
    return {buf, end};
}

} // namespace

toml::table parseToml(std::string_view text, const std::string &file)
{
    if (text.size() > MaxValueBytes) {
        throw SettingsError(file, "text", 0, "the text must have at most " + std::to_string(MaxValueBytes) + " bytes");
    }
    if (const auto line = findDeepKey(text)) {
        throw SettingsError(
            file, "syntax", *line, "a dotted key must have at most " + std::to_string(MaxKeyParts) + " parts");
    }
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &e) {
        throw SettingsError(file, "syntax", e.source().begin.line, std::string(e.description()));
    }
}

TomlSection::TomlSection(const toml::table *table,
                         std::string file,
                         std::string name,
                         std::vector<std::string_view> keys)
    : m_table(table)
    , m_file(std::move(file))
    , m_name(std::move(name))
{
    if (!m_table || keys.empty()) {
        return;
    }
    const toml::key *unknown = nullptr;
    for (const auto &[key, node] : *m_table) {
        const bool known = std::find(keys.begin(), keys.end(), key.str()) != keys.end();
        // The table is sorted by key, but the error should name the first unknown key in the text.
        if (!known && (!unknown || key.source().begin < unknown->source().begin)) {
            unknown = &key;
        }
    }
    if (unknown) {
        fail(unknown->str(), "the key is unknown; valid keys are " + join(keys));
    }
}

TomlSection TomlSection::fromRoot(const toml::table &root,
                                  const std::string &file,
                                  const std::string &name,
                                  std::vector<std::string_view> keys)
{
    const auto *node = root.get(name);
    if (node && !node->is_table()) {
        throw SettingsError(
            file, name, node->source().begin.line, "the value must be a table, such as a section [" + name + "]");
    }
    return {node ? node->as_table() : nullptr, file, name, std::move(keys)};
}

bool TomlSection::has(std::string_view key) const
{
    return find(key) != nullptr;
}

void TomlSection::read(std::string_view key, std::string &value) const
{
    if (const auto *node = find(key)) {
        if (!node->is_string()) {
            fail(key, "the value must be a string");
        }
        value = node->as_string()->get();
    }
}

void TomlSection::read(std::string_view key, bool &value) const
{
    if (const auto *node = find(key)) {
        if (!node->is_boolean()) {
            fail(key, "the value must be true or false");
        }
        value = node->as_boolean()->get();
    }
}

void TomlSection::read(std::string_view key, unsigned &value, Range<unsigned> range) const
{
    if (const auto n = readInteger(key, {range.min, range.max})) {
        value = static_cast<unsigned>(*n);
    }
}

void TomlSection::read(std::string_view key, double &value, Range<double> range) const
{
    const auto *node = find(key);
    if (!node) {
        return;
    }
    const auto number = node->is_number() ? node->value<double>() : std::nullopt;
    // The negated comparison also rejects NaN.
    if (!number || !(*number >= range.min && *number <= range.max)) {
        fail(key, "the value must be a number from " + formatNumber(range.min) + " to " + formatNumber(range.max));
    }
    value = *number;
}

void TomlSection::read(std::string_view key, Milliseconds &value, Range<std::int64_t> range) const
{
    if (const auto n = readInteger(key, range)) {
        value = Milliseconds(*n);
    }
}

void TomlSection::read(std::string_view key, Endpoint &value) const
{
    if (const auto *node = find(key)) {
        value = parseEndpointNode(key, *node);
    }
}

void TomlSection::read(std::string_view key, std::vector<Endpoint> &value) const
{
    const auto *node = find(key);
    if (!node) {
        return;
    }
    if (!node->is_array()) {
        fail(key, "the value must be an array of \"IP:PORT\" strings");
    }
    value.clear();
    for (const auto &element : *node->as_array()) {
        value.push_back(parseEndpointNode(key, element));
    }
}

void TomlSection::readName(std::string_view key, std::string &value) const
{
    read(key, value);
    if (has(key) && !isValidName(value)) {
        fail(key, "the value must be a name of 1 to 64 letters, digits, '.', '_' or '-' that does not begin with '.'");
    }
}

void TomlSection::readChoice(std::string_view key,
                             std::string &value,
                             const std::vector<std::string_view> &choices) const
{
    read(key, value);
    if (has(key) && std::find(choices.begin(), choices.end(), value) == choices.end()) {
        fail(key, "the value must be one of " + join(choices));
    }
}

void TomlSection::require(std::string_view key) const
{
    if (!has(key)) {
        fail(key, "the key is required, because it has no default");
    }
}

std::size_t TomlSection::line(std::string_view key) const
{
    const auto *node = find(key);
    return node ? node->source().begin.line : 0;
}

void TomlSection::fail(std::string_view key, const std::string &expected) const
{
    throw SettingsError(m_file, (m_name.empty() ? "" : m_name + '.') + std::string(key), line(key), expected);
}

const toml::node *TomlSection::find(std::string_view key) const
{
    return m_table ? m_table->get(key) : nullptr;
}

Endpoint TomlSection::parseEndpointNode(std::string_view key, const toml::node &node) const
{
    const auto text = node.is_string() ? node.as_string()->get() : std::string();
    const auto endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->port == 0) {
        fail(key, "the value must be an IP address with a port from 1 to 65535, \"IP:PORT\" or \"[IPV6]:PORT\"");
    }
    return *endpoint;
}

std::optional<std::int64_t> TomlSection::readInteger(std::string_view key, Range<std::int64_t> range) const
{
    const auto *node = find(key);
    if (!node) {
        return std::nullopt;
    }
    const auto *number = node->as_integer();
    if (!number || number->get() < range.min || number->get() > range.max) {
        fail(key,
             "the value must be an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    }
    return number->get();
}

} // namespace laburnumspar::detail
