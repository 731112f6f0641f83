#include "scenario.h"

#include "laburnumspar/errors.h"
#include "scenariotable.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace laburnumspar::tools {

namespace {

constexpr NumberRange ZeroToOne{0, 1};
constexpr NumberRange Positive{0.001};
constexpr NumberRange AtLeastOne{1};
constexpr NumberRange NotNegative{0};

constexpr std::array<std::string_view, 11> FaultKinds{
    "none", "slow", "blackhole", "failwork", "flap", "wrong", "truncate", "shed", "refuse", "drain", "cold"};

/// Tables of the array `key`; none if the key is missing. Throws SettingsError if the value is not an array of tables.
std::vector<const toml::table *> findTables(const toml::table &root, const char *key, const std::string &file)
{
    std::vector<const toml::table *> tables;
    const auto *node = root.get(key);
    if (!node) {
        return tables;
    }
    if (!node->is_array_of_tables()) {
        throw SettingsError(
            file, key, node->source().begin.line, std::string("the value must be an array of tables [[") + key + "]]");
    }
    for (const auto &each : *node->as_array()) {
        tables.push_back(each.as_table());
    }
    return tables;
}

/// The table `key`, or an empty one if the key is missing. Throws SettingsError if the value is not a table.
const toml::table &findTable(const toml::table &root, const char *key, const std::string &file)
{
    static const toml::table empty;
    const auto *node = root.get(key);
    if (node && !node->is_table()) {
        throw SettingsError(
            file, key, node->source().begin.line, std::string("the value must be a table [") + key + "]");
    }
    return node ? *node->as_table() : empty;
}

ScenarioPool readPool(const toml::table &source, const std::string &file)
{
    ScenarioPool pool;
    ScenarioTable table(source, file, "upstreams");
    for (const auto *key : {"count", "slots", "zones"}) {
        table.require(key);
    }
    table.read("count", pool.count, AtLeastOne);
    table.read("slots", pool.slots, AtLeastOne);
    table.read("connections", pool.connections, AtLeastOne);
    table.read("zones", pool.zones);
    table.rejectUnknownKeys();
    return pool;
}

ScenarioCallers readCallers(const toml::table &source, const std::string &file)
{
    ScenarioCallers callers;
    ScenarioTable table(source, file, "callers");
    table.read("count", callers.count, AtLeastOne);
    table.read("addresses", callers.addresses, AtLeastOne);
    table.rejectUnknownKeys();
    return callers;
}

ScenarioMixEntry readMixEntry(const toml::table &source, const std::string &file)
{
    ScenarioMixEntry entry;
    ScenarioTable table(source, file, "mix");
    table.require("service");
    table.require("team");
    table.read("service", entry.service);
    table.read("team", entry.team);
    table.read("weight", entry.weight, Positive);
    table.read("long_share", entry.longShare, ZeroToOne);
    table.read("run_ms", entry.runMs, Positive);
    table.read("long_run_ms", entry.longRunMs, Positive);
    table.read("non_idempotent_share", entry.nonIdempotentShare, ZeroToOne);
    table.read("deadline_ms", entry.deadline, AtLeastOne);
    table.read("long_deadline_ms", entry.longDeadline, AtLeastOne);
    table.read("answer_size", entry.answerSize, NotNegative);
    table.rejectUnknownKeys();
    return entry;
}

/// Reads a phase. A load, which is a share of the pool capacity, is converted to a rate.
ScenarioPhase readPhase(const toml::table &source, const std::string &file, const Scenario &scenario)
{
    ScenarioPhase phase;
    ScenarioTable table(source, file, "phase");
    std::optional<double> load;
    std::optional<double> loadEnd;
    std::optional<double> rate;
    std::optional<double> rateEnd;
    table.require("name");
    table.require("duration_ms");
    table.read("name", phase.name);
    table.read("duration_ms", phase.duration, AtLeastOne);
    table.read("rate", rate, NotNegative);
    table.read("rate_end", rateEnd, NotNegative);
    table.read("load", load, NotNegative);
    table.read("load_end", loadEnd, NotNegative);
    table.read("long_share", phase.longShare, ZeroToOne);
    table.read("measured", phase.measured);
    table.rejectUnknownKeys();
    if (rate.has_value() == load.has_value()) {
        table.fail("rate", "exactly one of 'rate' and 'load' must be present");
    }
    if ((rateEnd && !rate) || (loadEnd && !load)) {
        table.fail(rateEnd ? "rate_end" : "load_end", "requires the start value in the same unit ('rate' or 'load')");
    }
    const double unit = load ? poolCapacity(scenario, phase) : 1;
    phase.rateStart = load.value_or(rate.value_or(0)) * unit;
    phase.rateEnd = loadEnd ? *loadEnd * unit : rateEnd.value_or(phase.rateStart);
    return phase;
}

/// Throws SettingsError unless the fault names exactly one existing target.
void checkTarget(const ScenarioFault &fault, const ScenarioPool &pool, const ScenarioTable &table)
{
    if (fault.upstream.empty() == fault.zone.empty()) {
        table.fail("upstream", "exactly one of 'upstream' and 'zone' must be present");
    }
    if (!fault.zone.empty() && std::count(pool.zones.begin(), pool.zones.end(), fault.zone) == 0) {
        table.fail("zone", "the value must be one of upstreams.zones");
    }
    if (fault.zone.empty() && fault.upstream != "all") {
        const bool digits
            = fault.upstream.size() < 7 && fault.upstream.find_first_not_of("0123456789") == std::string::npos;
        if (!digits || std::stoul(fault.upstream) >= pool.count) {
            table.fail("upstream", "the value must be \"all\" or an index below upstreams.count, as a string");
        }
    }
}

ScenarioFault readFault(const toml::table &source, const std::string &file, const Scenario &scenario)
{
    ScenarioFault fault;
    ScenarioTable table(source, file, "fault");
    table.require("at_ms");
    table.require("kind");
    table.read("at_ms", fault.at, NotNegative);
    table.read("kind", fault.kind);
    table.read("upstream", fault.upstream);
    table.read("zone", fault.zone);
    table.read("factor", fault.factor, Positive);
    table.read("for_ms", fault.duration, NotNegative);
    // Refused connections are not counted as received requests, so their detection cannot be measured. A cold start is
    // not a fault.
    fault.measureDetection = fault.kind != "none" && fault.kind != "cold" && fault.kind != "refuse";
    table.read("detect", fault.measureDetection);
    table.rejectUnknownKeys();
    if (std::count(FaultKinds.begin(), FaultKinds.end(), fault.kind) == 0) {
        table.fail(
            "kind",
            "the value must be none, slow, blackhole, failwork, flap, wrong, truncate, shed, refuse, drain or cold");
    }
    if (fault.at >= scenario.duration()) {
        table.fail("at_ms", "the value must be before the end of the last phase");
    }
    checkTarget(fault, scenario.pool, table);
    return fault;
}

ScenarioBounds readBounds(const toml::table &source, const std::string &file)
{
    ScenarioBounds bounds;
    ScenarioTable table(source, file, "bounds");
    table.read("goodput_share_min", bounds.goodputShareMin, ZeroToOne);
    table.read("short_p99_ms_max", bounds.shortP99MsMax, NotNegative);
    table.read("short_p99_ratio_max", bounds.shortP99RatioMax, NotNegative);
    table.read("refusal_p99_ms_max", bounds.refusalP99MsMax, NotNegative);
    table.read("may_have_run_share_max", bounds.mayHaveRunShareMax, ZeroToOne);
    table.read("detection_ms_max", bounds.detectionMsMax, NotNegative);
    table.read("quiet_ms_max", bounds.quietMsMax, NotNegative);
    table.rejectUnknownKeys();
    return bounds;
}

Scenario readScenario(const toml::table &root, const std::string &file)
{
    constexpr std::array<std::string_view, 7> KnownKeys{
        "name", "upstreams", "callers", "mix", "phase", "fault", "bounds"};
    for (const auto &[key, node] : root) {
        if (std::count(KnownKeys.begin(), KnownKeys.end(), key.str()) == 0) {
            throw SettingsError(
                file,
                std::string(key.str()),
                node.source().begin.line,
                "unknown key; known are name and the tables upstreams, callers, mix, phase, fault and bounds");
        }
    }
    Scenario scenario;
    ScenarioTable table(root, file, "");
    table.require("name");
    table.read("name", scenario.name);
    scenario.pool = readPool(findTable(root, "upstreams", file), file);
    scenario.callers = readCallers(findTable(root, "callers", file), file);
    for (const auto *each : findTables(root, "mix", file)) {
        scenario.mix.push_back(readMixEntry(*each, file));
    }
    if (scenario.mix.empty()) {
        table.fail("mix", "at least one table [[mix]] must be present");
    }
    for (const auto *each : findTables(root, "phase", file)) {
        scenario.phases.push_back(readPhase(*each, file, scenario));
    }
    if (scenario.phases.empty()) {
        table.fail("phase", "at least one table [[phase]] must be present");
    }
    for (const auto *each : findTables(root, "fault", file)) {
        scenario.faults.push_back(readFault(*each, file, scenario));
    }
    scenario.bounds = readBounds(findTable(root, "bounds", file), file);
    return scenario;
}

} // namespace

Milliseconds Scenario::duration() const
{
    return std::accumulate(phases.begin(), phases.end(), Milliseconds{0}, [](Milliseconds sum, const auto &phase) {
        return sum + phase.duration;
    });
}

Scenario parseScenario(std::string_view text, const std::string &file)
{
    try {
        return readScenario(toml::parse(text, file), file);
    } catch (const toml::parse_error &error) {
        throw SettingsError(file, "", error.source().begin.line, std::string(error.description()));
    }
}

double poolCapacity(const Scenario &scenario, const ScenarioPhase &phase)
{
    double weights = 0;
    double seconds = 0;
    for (const auto &entry : scenario.mix) {
        const double longShare = phase.longShare.value_or(entry.longShare);
        weights += entry.weight;
        seconds += entry.weight * ((1 - longShare) * entry.runMs + longShare * entry.longRunMs) / 1000;
    }
    return scenario.pool.count * scenario.pool.slots * weights / seconds;
}

std::size_t phaseIndexAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart)
{
    std::chrono::nanoseconds end{0};
    for (std::size_t n = 0; n < scenario.phases.size(); ++n) {
        end += scenario.phases[n].duration;
        if (sinceStart < end) {
            return n;
        }
    }
    return scenario.phases.size() - 1;
}

double rateAt(const Scenario &scenario, std::chrono::nanoseconds sinceStart)
{
    std::chrono::nanoseconds begin{0};
    for (const auto &phase : scenario.phases) {
        if (sinceStart < begin + phase.duration) {
            const auto part = std::chrono::duration<double>(sinceStart - begin) / phase.duration;
            return phase.rateStart + (phase.rateEnd - phase.rateStart) * part;
        }
        begin += phase.duration;
    }
    return 0;
}

} // namespace laburnumspar::tools
