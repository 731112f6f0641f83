#include "report.h"

#include <iomanip>
#include <ostream>
#include <set>

namespace laburnumspar::tools {

namespace {

/// Seconds listed before and after the start of each phase.
constexpr int SecondsBefore = 2;
constexpr int SecondsAfter = 4;

constexpr int NameWidth = 14;
constexpr int Width = 10;

void printNames(std::ostream &out, std::initializer_list<const char *> names)
{
    bool first = true;
    for (const auto *name : names) {
        out << std::setw(first ? NameWidth : Width) << name;
        first = false;
    }
    out << '\n';
}

std::uint64_t wrong(const OutcomeCounts &counts)
{
    return counts.of(CallerOutcome::Foreign) + counts.of(CallerOutcome::Partial);
}

void printCounts(std::ostream &out, const OutcomeCounts &counts)
{
    out << std::setw(Width) << counts.offered << std::setw(Width) << counts.good << std::setw(Width) << counts.late
        << std::setw(Width) << counts.of(CallerOutcome::NotRun) << std::setw(Width)
        << counts.of(CallerOutcome::MayHaveRun) << std::setw(Width) << counts.of(CallerOutcome::NoAnswer)
        << std::setw(Width) << counts.of(CallerOutcome::Unreachable) << std::setw(Width)
        << counts.of(CallerOutcome::Error) + counts.of(CallerOutcome::Duplicate) << std::setw(Width) << wrong(counts);
}

void printPhases(std::ostream &out, const LoadReport &report)
{
    printNames(out,
               {"phase",
                "offered",
                "in time",
                "late",
                "not run",
                "may run",
                "no answer",
                "unreach.",
                "error",
                "wrong",
                "goodput"});
    for (const auto &phase : report.phases) {
        out << std::setw(NameWidth) << phase.name;
        printCounts(out, phase.counts);
        out << std::setw(Width - 1) << std::setprecision(1) << phase.goodputShare * 100 << "%\n";
    }
}

void printTimes(std::ostream &out, const std::string &phase, const char *what, const TimeQuantiles &times)
{
    if (times.count > 0) {
        out << std::setw(NameWidth) << phase << std::setw(Width) << what << std::setw(Width) << times.count
            << std::setprecision(2) << std::setw(Width) << times.p50 << std::setw(Width) << times.p99
            << std::setw(Width) << times.p999 << '\n';
    }
}

std::set<std::size_t> listedSeconds(const LoadReport &report)
{
    std::set<std::size_t> listed;
    double start = 0;
    for (const auto &phase : report.phases) {
        for (int n = -SecondsBefore; n < SecondsAfter; ++n) {
            const int second = static_cast<int>(start) + n;
            if (second >= 0 && second < static_cast<int>(report.seconds.size())) {
                listed.insert(static_cast<std::size_t>(second));
            }
        }
        start += phase.seconds;
    }
    return listed;
}

void printSeconds(std::ostream &out, const LoadReport &report)
{
    printNames(out,
               {"second",
                "offered",
                "in time",
                "late",
                "not run",
                "may run",
                "no answer",
                "unreach.",
                "error",
                "wrong",
                "p99 short"});
    for (const auto second : listedSeconds(report)) {
        const auto &result = report.seconds[second];
        out << std::setw(NameWidth) << second;
        printCounts(out, result.counts);
        out << std::setw(Width) << std::setprecision(1) << result.shortTimes.p99 << '\n';
    }
}

std::string textOf(const std::optional<Milliseconds> &time)
{
    return time ? std::to_string(time->count()) + " ms" : "(never)";
}

void printChecks(std::ostream &out, const LoadReport &report)
{
    for (const auto &[reason, count] : report.reasons) {
        out << "without answer: " << reason << ": " << count << '\n';
    }
    for (const auto &detection : report.detections) {
        out << "fault " << detection.kind << " of upstream " << detection.upstream
            << ": 99% of all work avoids it after " << textOf(detection.avoided) << ", 99% of its share after "
            << textOf(detection.quiet) << "; received " << detection.received << '\n';
    }
    const auto &violations = report.violations;
    out << "told not run but ran: " << violations.notRunRan << ", non-idempotent ran twice: " << violations.ranTwice
        << ", answered without running: " << violations.answeredNotRun << ", foreign answers: " << violations.foreign
        << ", partial answers: " << violations.partial << '\n';
    for (const auto &key : report.examples) {
        out << "  request " << key << '\n';
    }
    out << "upstreams:";
    for (const auto &[name, value] : report.upstreams) {
        out << ' ' << name << '=' << value;
    }
    out << '\n';
    for (const auto &missed : report.missedBounds) {
        out << "bound missed: " << missed << '\n';
    }
    out << (report.passed() ? "passed\n" : "failed\n");
}

} // namespace

void printReport(std::ostream &out, const LoadReport &report)
{
    out << std::fixed << "scenario " << report.scenario << ", seed " << report.seed
        << (report.direct ? ", straight to the upstreams\n" : ", through the fleet\n");
    printPhases(out, report);
    printNames(out, {"phase", "times of", "count", "p50 ms", "p99 ms", "p99.9 ms"});
    for (const auto &phase : report.phases) {
        printTimes(out, phase.name, "short", phase.shortTimes);
        printTimes(out, phase.name, "long", phase.longTimes);
        printTimes(out, phase.name, "not run", phase.refusalTimes);
        printTimes(out, phase.name, "own lag", phase.lag);
    }
    printSeconds(out, report);
    printChecks(out, report);
}

} // namespace laburnumspar::tools
