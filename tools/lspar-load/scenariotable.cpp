#include "scenariotable.h"

#include "laburnumspar/errors.h"

#include <cmath>
#include <sstream>

namespace laburnumspar::tools {

namespace {

std::string describeRange(NumberRange range, bool integer)
{
    std::ostringstream out;
    out << (integer ? "the value must be an integer" : "the value must be a number") << " of at least " << range.min;
    if (range.max < std::numeric_limits<double>::max()) {
        out << " and at most " << range.max;
    }
    return out.str();
}

} // namespace

ScenarioTable::ScenarioTable(const toml::table &table, std::string file, std::string name)
    : m_table(table)
    , m_file(std::move(file))
    , m_name(std::move(name))
{
}

void ScenarioTable::fail(const std::string &key, const std::string &expected) const
{
    const auto *node = m_table.get(key);
    const auto line = node ? node->source().begin.line : m_table.source().begin.line;
    throw SettingsError(m_file, m_name.empty() ? key : m_name + "." + key, line, expected);
}

bool ScenarioTable::has(const char *key) const
{
    return m_table.contains(key);
}

void ScenarioTable::require(const char *key) const
{
    if (!has(key)) {
        fail(key, "the key must be present");
    }
}

std::optional<double> ScenarioTable::readNumber(const char *key, NumberRange range, bool integer)
{
    m_knownKeys.insert(key);
    const auto *node = m_table.get(key);
    if (!node) {
        return std::nullopt;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    const bool valid
        = value && *value >= range.min && *value <= range.max && (!integer || std::trunc(*value) == *value);
    if (!valid) {
        fail(key, describeRange(range, integer));
    }
    return value;
}

void ScenarioTable::read(const char *key, std::string &value)
{
    m_knownKeys.insert(key);
    if (const auto *node = m_table.get(key)) {
        const auto text = node->value_exact<std::string>();
        if (!text || text->empty()) {
            fail(key, "the value must be a non-empty string");
        }
        value = *text;
    }
}

void ScenarioTable::read(const char *key, bool &value)
{
    m_knownKeys.insert(key);
    if (const auto *node = m_table.get(key)) {
        const auto flag = node->value_exact<bool>();
        if (!flag) {
            fail(key, "the value must be true or false");
        }
        value = *flag;
    }
}

void ScenarioTable::read(const char *key, double &value, NumberRange range)
{
    value = readNumber(key, range, false).value_or(value);
}

void ScenarioTable::read(const char *key, unsigned &value, NumberRange range)
{
    range.max = std::min(range.max, 1e9);
    value = static_cast<unsigned>(readNumber(key, range, true).value_or(value));
}

void ScenarioTable::read(const char *key, Milliseconds &value, NumberRange range)
{
    range.max = std::min(range.max, 1e9);
    if (const auto ms = readNumber(key, range, true)) {
        value = Milliseconds(static_cast<std::int64_t>(*ms));
    }
}

void ScenarioTable::read(const char *key, std::optional<double> &value, NumberRange range)
{
    value = readNumber(key, range, false);
}

void ScenarioTable::read(const char *key, std::vector<std::string> &value)
{
    m_knownKeys.insert(key);
    const auto *node = m_table.get(key);
    if (!node) {
        return;
    }
    const auto *list = node->as_array();
    if (!list || list->empty() || !list->is_homogeneous<std::string>()) {
        fail(key, "the value must be a non-empty array of strings");
    }
    value.clear();
    for (const auto &each : *list) {
        value.push_back(*each.value<std::string>());
    }
}

void ScenarioTable::rejectUnknownKeys() const
{
    for (const auto &[key, node] : m_table) {
        if (!m_knownKeys.contains(key.str())) {
            std::string keys;
            for (const auto &known : m_knownKeys) {
                keys += (keys.empty() ? "" : ", ") + known;
            }
            fail(std::string(key.str()), "unknown key; known keys are " + keys);
        }
    }
}

} // namespace laburnumspar::tools
