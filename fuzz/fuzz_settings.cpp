#include "fuzz.h"

#include "laburnumspar/errors.h"
#include "laburnumspar/settings.h"

#include <string>
#include <string_view>

using namespace laburnumspar;

namespace {

constexpr std::string_view ProcessText = R"([instance]
zone = "palermo"
seeds = ["10.0.0.2:7401"]
[listen]
callers = "10.0.0.1:7400"
peers = "[fd00::1]:7401"
[limits]
workers = 4
)";

constexpr std::string_view ServiceText = R"([service]
team = "shop"
name = "orders"
upstreams = 10
[limits]
floor_upstreams = 8
deadline_ms = 1500
[shares]
"web.front" = 0.5
[[route]]
prefix = "/pay/status"
class = "short"
idempotent = true
)";

// Returns whether the parser rejects the text with a SettingsError or its result survives a round trip through
// toToml().
template <typename Parse>
bool rejectedOrRoundTrips(Parse parse, const std::string &text)
{
    try {
        const auto settings = parse(text, "fuzz");
        return parse(toToml(settings), "printed") == settings;
    } catch (const SettingsError &e) {
        return e.file() == "fuzz";
    }
}

} // namespace

std::vector<std::vector<std::uint8_t>> fuzzCorpus()
{
    return {{ProcessText.begin(), ProcessText.end()}, {ServiceText.begin(), ServiceText.end()}};
}

bool fuzzOne(const std::vector<std::uint8_t> &buf)
{
    const std::string text(buf.begin(), buf.end());
    return rejectedOrRoundTrips(parseProcessSettings, text) && rejectedOrRoundTrips(parseServiceSettings, text);
}
