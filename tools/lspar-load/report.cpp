#include "report.h"

#include <iomanip>
#include <ostream>
#include <set>

namespace laburnumspar::tools {

namespace {

/// Seconds printed before the start of each phase.
constexpr int SecondsBefore = 2;
/// Seconds printed from the start of each phase on.
constexpr int SecondsAfter = 4;

constexpr int FirstColumnWidth = 14;
constexpr int ColumnWidth = 10;

void printHeader(std::ostream &out, std::initializer_list<const char *> names)
{
    bool first = true;
    for (const auto *name : names) {
        out << std::setw(first ? FirstColumnWidth : ColumnWidth) << name;
        first = false;
    }
    out << '\n';
}

/// Answers to other requests and partial answers.
std::uint64_t wrongAnswers(const OutcomeCounts &counts)
{
    return counts.count(CallerOutcome::OtherRequest) + counts.count(CallerOutcome::Partial);
}

void printCounts(std::ostream &out, const OutcomeCounts &counts)
{
    out << std::setw(ColumnWidth) << counts.offered << std::setw(ColumnWidth) << counts.inTime << std::setw(ColumnWidth)
        << counts.late << std::setw(ColumnWidth) << counts.count(CallerOutcome::NotRun) << std::setw(ColumnWidth)
        << counts.count(CallerOutcome::MayHaveRun) << std::setw(ColumnWidth) << counts.count(CallerOutcome::NoAnswer)
        << std::setw(ColumnWidth) << counts.count(CallerOutcome::Unreachable) << std::setw(ColumnWidth)
        << counts.count(CallerOutcome::Error) + counts.count(CallerOutcome::Duplicate) << std::setw(ColumnWidth)
        << wrongAnswers(counts);
}

void printPhases(std::ostream &out, const LoadReport &report)
{
    printHeader(out,
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
        out << std::setw(FirstColumnWidth) << phase.name;
        printCounts(out, phase.counts);
        out << std::setw(ColumnWidth - 1) << std::setprecision(1) << phase.goodputShare * 100 << "%\n";
    }
}

void printLatency(std::ostream &out, const std::string &phase, const char *kind, const TimeQuantiles &times)
{
    if (times.count > 0) {
        out << std::setw(FirstColumnWidth) << phase << std::setw(ColumnWidth) << kind << std::setw(ColumnWidth)
            << times.count << std::setprecision(2) << std::setw(ColumnWidth) << times.p50 << std::setw(ColumnWidth)
            << times.p99 << std::setw(ColumnWidth) << times.p999 << '\n';
    }
}

std::set<std::size_t> secondsToPrint(const LoadReport &report)
{
    std::set<std::size_t> seconds;
    double start = 0;
    for (const auto &phase : report.phases) {
        for (int n = -SecondsBefore; n < SecondsAfter; ++n) {
            const int second = static_cast<int>(start) + n;
            if (second >= 0 && second < static_cast<int>(report.seconds.size())) {
                seconds.insert(static_cast<std::size_t>(second));
            }
        }
        start += phase.seconds;
    }
    return seconds;
}

void printSeconds(std::ostream &out, const LoadReport &report)
{
    printHeader(out,
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
    for (const auto second : secondsToPrint(report)) {
        const auto &result = report.seconds[second];
        out << std::setw(FirstColumnWidth) << second;
        printCounts(out, result.counts);
        out << std::setw(ColumnWidth) << std::setprecision(1) << result.shortLatency.p99 << '\n';
    }
}

std::string formatTime(const std::optional<Milliseconds> &time)
{
    return time ? std::to_string(time->count()) + " ms" : "(never)";
}

void printFindings(std::ostream &out, const LoadReport &report)
{
    for (const auto &[reason, count] : report.reasons) {
        out << "not answered: " << reason << ": " << count << '\n';
    }
    for (const auto &detection : report.detections) {
        out << "fault " << detection.kind << " of upstream " << detection.upstream
            << ": receives at most 1% of all requests after " << formatTime(detection.avoidedAfter)
            << ", at most 1% of an equal share after " << formatTime(detection.quietAfter)
            << "; requests received: " << detection.received << '\n';
    }
    const auto &violations = report.violations;
    out << "told not run but ran: " << violations.ranDespiteNotRun
        << ", non-idempotent ran twice: " << violations.ranTwice
        << ", answered without running: " << violations.answeredWithoutRun
        << ", answers to other requests: " << violations.otherRequestAnswers
        << ", partial answers: " << violations.partialAnswers << '\n';
    for (const auto &example : report.examples) {
        out << "  request " << example << '\n';
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
        << (report.direct ? ", directly to the upstreams\n" : ", through the fleet\n");
    printPhases(out, report);
    printHeader(out, {"phase", "latency", "count", "p50 ms", "p99 ms", "p99.9 ms"});
    for (const auto &phase : report.phases) {
        printLatency(out, phase.name, "short", phase.shortLatency);
        printLatency(out, phase.name, "long", phase.longLatency);
        printLatency(out, phase.name, "not run", phase.refusalLatency);
        printLatency(out, phase.name, "own lag", phase.lag);
    }
    printSeconds(out, report);
    printFindings(out, report);
}

} // namespace laburnumspar::tools
