#include "valuefiles.h"

#include "detail/jsonfields.h"
#include "laburnumspar/errors.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace laburnumspar::tools {

namespace {

namespace fs = std::filesystem;

std::string readFile(const fs::path &file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        throw SettingsError(file.string(), "file", 0, "cannot read the file");
    }
    return std::move(text).str();
}

std::map<std::string, std::string> readDirectory(const fs::path &directory)
{
    std::map<std::string, std::string> values;
    for (auto it = fs::recursive_directory_iterator(directory); it != fs::recursive_directory_iterator(); ++it) {
        const auto &file = it->path();
        if (file.filename().string().starts_with('.')) {
            it.disable_recursion_pending();
        } else if (it->is_regular_file()) {
            auto name = fs::relative(file, directory);
            if (name.extension() == ".toml") {
                name.replace_extension();
            }
            values['/' + name.generic_string()] = readFile(file);
        }
    }
    return values;
}

std::map<std::string, std::string> readTomlTable(const fs::path &file)
{
    std::map<std::string, std::string> values;
    toml::table table;
    try {
        table = toml::parse(readFile(file), file.string());
    } catch (const toml::parse_error &e) {
        throw SettingsError(file.string(), "syntax", e.source().begin.line, std::string(e.description()));
    }
    for (const auto &[key, node] : table) {
        const auto *text = node.as_string();
        if (!text || !key.str().starts_with('/')) {
            throw SettingsError(file.string(),
                                std::string(key.str()),
                                node.source().begin.line,
                                "expected a path that begins with '/' as the key and a string as its value");
        }
        values[std::string(key.str())] = text->get();
    }
    return values;
}

} // namespace

std::map<std::string, std::string> readValues(const fs::path &source)
{
    return fs::is_directory(source) ? readDirectory(source) : readTomlTable(source);
}

boost::json::array readInstances(const fs::path &file)
{
    try {
        return parseInstances(readFile(file));
    } catch (const DecodeError &e) {
        throw SettingsError(file.string(), "instances", 0, e.what());
    }
}

boost::json::array parseInstances(std::string_view text)
{
    return detail::arrayIn(detail::parseObject(text), "instances");
}

} // namespace laburnumspar::tools
