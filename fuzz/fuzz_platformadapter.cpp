#include "fuzz.h"

#include "laburnumspar/errors.h"
#include "platform/adapter.h"

#include <boost/json.hpp>

#include <string>

using namespace laburnumspar;

namespace {

const PlatformAdapter adapter = platform::makeAdapter();

const std::string configText
    = R"({"version":"r12","routes":{"columns":["name","host","prefix","kind","timeout_s","slo_s",
"priority","service","attempts"],"rows":[["pay","a.example","/pay/","unsafe",5,1.2,1,"s1",2]]},"services":{"columns":
["name","health_path","max_conns"],"rows":[["s1","/healthz",360]]},"limits":{"idle_timeout_s":1.5}})";
const std::string serverText
    = R"({"service":"s1","addr":"10.128.0.9:8080","zone":"palermo","version":"v1","slots":6,"state":"ready",
"warmup_left_s":1.5,"seq":4,"born":1791199727083})";
const std::string pageText
    = R"({"events":[{"key":"a","value":"bm9kZS0x","rev":4},{"key":"b","rev":5,"deleted":true}],"as_of":9})";

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

const std::vector<std::string> serverFields{
    "service", "addr", "zone", "version", "slots", "state", "warmup_left_s", "seq", "born"};

/// Values that no field of an entry may have.
const std::vector<boost::json::value> wrongValues{
    nullptr, true, -1, 1e300, "", boost::json::array{1, 2}, boost::json::object{{"a", 1}}};

/// Whether the entry names no upstream if one of its fields is missing, or has a value of another type or out of range.
bool rejectsWrongField(std::uint8_t field, std::uint8_t value)
{
    auto entry = boost::json::parse(serverText).as_object();
    const auto &name = serverFields[field % serverFields.size()];
    const auto choice = value % (wrongValues.size() + 1);
    if (choice == wrongValues.size()) {
        entry.erase(name);
    } else {
        entry[name] = wrongValues[choice];
    }
    try {
        adapter.decodeItem({"servers/i-1", boost::json::serialize(entry), {1, 1}, false});
        return false;
    } catch (const DecodeError &e) {
        return std::string_view(e.what()).find(name) != std::string_view::npos;
    }
}

// Only exceptions of the library are caught; any other ends the process.
template <typename Decode>
void decodeAny(Decode decode)
{
    try {
        decode();
    } catch (const Error &) {
    }
}

} // namespace

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    return {toBytes(configText), toBytes(serverText), toBytes(pageText), toBytes("/-/resolve?zone=palermo&name=x")};
}

bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    const std::string text(buf.begin(), buf.end());
    decodeAny([&] { adapter.decodeItem({"op/config", text, {1, 1}, false}); });
    decodeAny([&] { adapter.decodeItem({"servers/i-1", text, {1, 1}, false}); });
    decodeAny([&] { adapter.decodeChanges(text, 1); });
    decodeAny([&] { adapter.decodePage(text, 1); });
    decodeAny([&] { adapter.decodeEra(text); });
    decodeAny([&] { adapter.decodeAddressQuery(text); });
    return buf.size() < 2 || rejectsWrongField(buf[0], buf[1]);
}
