#include "loadrun.h"

#include "worker.h"

#include "laburnumspar/errors.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace laburnumspar::tools {

namespace {

/// Time before the first arrival, for the worker threads to start.
constexpr Milliseconds StartDelay{200};
/// Time for requests that are still running to end before their executions are counted.
constexpr Milliseconds SettleTime{1500};
/// Request keys per query of the control endpoint.
constexpr std::size_t KeysPerLookup = 20000;

/// File descriptors that are not used for connections to the fleet.
constexpr std::size_t ReservedDescriptors = 200;

/// A fault of the scenario, and when and where it took effect.
struct InjectedFault {
    ScenarioFault fault;
    UpstreamControl::PostedFault posted;
};

/// Connections that the process may open: its descriptor limit minus those for files, threads and the control endpoint.
std::size_t maxConnections()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        throw UsageError("cannot read the limit of open files (RLIMIT_NOFILE)");
    }
    return limit.rlim_cur > ReservedDescriptors ? limit.rlim_cur - ReservedDescriptors : 1;
}

std::string readScenarioFile(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        throw UsageError("cannot read scenario file " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

LoadPlan makePlan(const LoadOptions &options, const UpstreamControl &control)
{
    LoadPlan plan;
    plan.scenario = parseScenario(readScenarioFile(options.scenario), options.scenario);
    plan.seed = options.seed;
    plan.workers = options.threads;
    plan.maxConnections = maxConnections();
    plan.entries = options.entries;
    if (options.direct) {
        plan.directUpstreams = control.addresses();
    }
    // The prefix must differ between runs, because the upstreams keep the execution counts of earlier runs.
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::ostringstream prefix;
    prefix << std::hex << std::chrono::duration_cast<Microseconds>(now).count();
    plan.keyPrefix = prefix.str();
    plan.start = Clock::now() + StartDelay;
    return plan;
}

/// Posts each fault of the scenario at its scheduled time; returns after the last one.
std::vector<InjectedFault> injectFaults(const LoadPlan &plan, const UpstreamControl &control)
{
    std::vector<InjectedFault> injected;
    auto faults = plan.scenario.faults;
    std::stable_sort(faults.begin(), faults.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const auto &fault : faults) {
        std::this_thread::sleep_until(plan.start + fault.at);
        injected.push_back({fault, control.postFault(fault)});
    }
    return injected;
}

std::vector<RequestRecord> collectRecords(const std::vector<std::unique_ptr<Worker>> &workers)
{
    std::vector<RequestRecord> records;
    for (const auto &worker : workers) {
        records.insert(records.end(), worker->records().begin(), worker->records().end());
    }
    return records;
}

std::vector<DetectionResult>
measureDetections(const std::vector<InjectedFault> &injected, const RequestSeries &series, const Scenario &scenario)
{
    std::vector<DetectionResult> results;
    for (const auto &[fault, posted] : injected) {
        if (!fault.measureDetection) {
            continue;
        }
        auto end = posted.at + scenario.duration() - fault.at;
        if (fault.duration.count() > 0) {
            end = std::min(end, posted.at + fault.duration);
        }
        for (const auto upstream : posted.upstreams) {
            results.push_back({fault.kind,
                               upstream,
                               detectionTime(series, upstream, posted.at, end),
                               quietTime(series, upstream, posted.at, end),
                               requestsReceived(series, upstream, posted.at, end)});
        }
    }
    return results;
}

/// Number of executions by request key.
std::map<std::string, unsigned>
fetchExecutions(const LoadPlan &plan, const UpstreamControl &control, const std::vector<RequestRecord> &records)
{
    std::map<std::string, unsigned> executions;
    for (std::size_t begin = 0; begin < records.size(); begin += KeysPerLookup) {
        std::vector<std::string> keys;
        for (auto n = begin; n < std::min(begin + KeysPerLookup, records.size()); ++n) {
            keys.push_back(requestKey(plan, records[n].sequence));
        }
        executions.merge(control.executions(keys));
    }
    return executions;
}

Violations
findViolations(const LoadPlan &plan, const UpstreamControl &control, const std::vector<RequestRecord> &records)
{
    const auto executions = fetchExecutions(plan, control, records);
    return checkOutcomes(records, [&](const RequestRecord &record) {
        const auto it = executions.find(requestKey(plan, record.sequence));
        return it == executions.end() ? 0U : it->second;
    });
}

/// Counters of this run alone: differences of sums, maxima unchanged, without gauges.
UpstreamTotals subtractTotals(const UpstreamTotals &before, UpstreamTotals after)
{
    for (const auto *gauge : {"running", "connections", "received_last_second"}) {
        after.erase(gauge);
    }
    for (auto &[name, value] : after) {
        const auto it = before.find(name);
        if (it != before.end() && !name.starts_with("max")) {
            value -= it->second;
        }
    }
    return after;
}

/// Class, outcome and reason of a request, as text for the report.
std::string describe(const RequestRecord &record)
{
    std::ostringstream out;
    out << name(record.requestClass) << (record.idempotent ? " " : " non-idempotent ") << name(record.outcome) << ' '
        << name(record.reason);
    return out.str();
}

void fillReport(LoadReport &report, const LoadPlan &plan, const std::vector<RequestRecord> &records)
{
    report.phases = phaseResults(plan.scenario, records);
    report.seconds = perSecondResults(plan.scenario, records);
    report.missedBounds = missedBounds(plan.scenario.bounds, report.phases, report.detections);
    for (const auto &record : records) {
        if (record.outcome != CallerOutcome::Answered) {
            ++report.reasons[describe(record)];
        }
    }
    for (const auto &[record, executions] : report.violations.examples) {
        report.examples.push_back(requestKey(plan, record.sequence) + ": " + describe(record) + ", "
                                  + std::to_string(executions) + " executions");
    }
}

} // namespace

LoadReport runLoad(const LoadOptions &options)
{
    const UpstreamControl control(options.control);
    const auto before = control.totals();
    const auto plan = makePlan(options, control);
    std::vector<std::unique_ptr<Worker>> workers;
    for (unsigned n = 0; n < plan.workers; ++n) {
        workers.push_back(std::make_unique<Worker>(plan, n));
    }
    std::vector<std::jthread> threads;
    for (auto &worker : workers) {
        threads.emplace_back([&worker] { worker->run(); });
    }
    const auto injected = injectFaults(plan, control);
    threads.clear();
    const auto records = collectRecords(workers);
    std::this_thread::sleep_for(SettleTime);
    LoadReport report;
    report.scenario = plan.scenario.name;
    report.seed = plan.seed;
    report.direct = options.direct;
    report.detections = measureDetections(injected, control.requestSeries(), plan.scenario);
    report.violations = findViolations(plan, control, records);
    report.upstreams = subtractTotals(before, control.totals());
    if (!injected.empty()) {
        control.clearFaults();
    }
    fillReport(report, plan, records);
    return report;
}

} // namespace laburnumspar::tools
