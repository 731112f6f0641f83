#include "fuzz.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/instancelist.h"

#include <string>

using namespace laburnumspar;

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    const auto instances = formatInstanceList({{{"10.0.0.1", 7401}, "a", false}, {{"fd00::1", 7401}, "b", true}});
    const auto upstreams = formatUpstreamList({{{"10.0.0.1", 80}, "orders", "a", UpstreamPhase::Draining}});
    return {{instances.begin(), instances.end()}, {upstreams.begin(), upstreams.end()}};
}

// Any text is either rejected with a DecodeError or parses to entries that its canonical form preserves.
bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    const std::string text(buf.begin(), buf.end());
    try {
        const auto instances = parseInstanceList(text);
        return parseInstanceList(formatInstanceList(instances)) == instances;
    } catch (const DecodeError &) {
    }
    try {
        const auto upstreams = parseUpstreamList(text, "orders");
        return parseUpstreamList(formatUpstreamList(upstreams), "orders") == upstreams;
    } catch (const DecodeError &) {
        return true;
    }
}
