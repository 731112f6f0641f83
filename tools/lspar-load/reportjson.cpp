#include "report.h"

#include <boost/json.hpp>

namespace laburnumspar::tools {

namespace {

namespace json = boost::json;

json::object toObject(const TimeQuantiles &times)
{
    return {{"count", times.count}, {"p50_ms", times.p50}, {"p99_ms", times.p99}, {"p999_ms", times.p999}};
}

json::object toObject(const OutcomeCounts &counts)
{
    json::object object{{"offered", counts.offered}, {"answered_in_deadline", counts.inTime}, {"late", counts.late}};
    for (std::size_t n = 0; n < counts.byOutcome.size(); ++n) {
        object[EnumNames<CallerOutcome>::Names[n]] = counts.byOutcome[n];
    }
    return object;
}

json::object toObject(const PhaseResult &phase)
{
    return {
        {"name", phase.name},
        {"measured", phase.measured},
        {"seconds", phase.seconds},
        {"servable_per_second", phase.capacity},
        {"goodput_share", phase.goodputShare},
        {"counts", toObject(phase.counts)},
        {"short", toObject(phase.shortLatency)},
        {"long", toObject(phase.longLatency)},
        {"refusals", toObject(phase.refusalLatency)},
        {"load_tool_lag", toObject(phase.lag)},
    };
}

json::object toObject(const PerSecondResult &second)
{
    return {{"counts", toObject(second.counts)}, {"short", toObject(second.shortLatency)}};
}

json::value toValue(const std::optional<Milliseconds> &time)
{
    return time ? json::value(time->count()) : json::value();
}

json::object toObject(const DetectionResult &detection)
{
    return {
        {"kind", detection.kind},
        {"upstream", detection.upstream},
        {"avoided_after_ms", toValue(detection.avoidedAfter)},
        {"quiet_after_ms", toValue(detection.quietAfter)},
        {"received", detection.received},
    };
}

json::object toObject(const Violations &violations)
{
    return {
        {"not_run_ran", violations.ranDespiteNotRun},
        {"non_idempotent_ran_twice", violations.ranTwice},
        {"answered_without_running", violations.answeredWithoutRun},
        {"foreign_answers", violations.otherRequestAnswers},
        {"partial_answers", violations.partialAnswers},
    };
}

template <typename T>
json::array toArray(const std::vector<T> &values)
{
    json::array array;
    for (const auto &value : values) {
        array.push_back(toObject(value));
    }
    return array;
}

} // namespace

std::string toJson(const LoadReport &report)
{
    const json::object object{
        {"scenario", report.scenario},
        {"seed", report.seed},
        {"direct", report.direct},
        {"phases", toArray(report.phases)},
        {"seconds", toArray(report.seconds)},
        {"detections", toArray(report.detections)},
        {"violations", toObject(report.violations)},
        {"violation_examples", json::value_from(report.examples)},
        {"upstreams", json::value_from(report.upstreams)},
        {"reasons", json::value_from(report.reasons)},
        {"missed_bounds", json::value_from(report.missedBounds)},
        {"passed", report.passed()},
    };
    return json::serialize(object) + "\n";
}

} // namespace laburnumspar::tools
