#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// What a caller of the load tool got.
enum class CallerOutcome : std::uint8_t {
    Answered, ///< whole and its own
    NotRun,
    MayHaveRun,
    Duplicate, ///< told that the request was sent before
    Unreachable, ///< no address accepted a connection; nothing was sent
    NoAnswer, ///< sent, then the connection failed or the caller gave up
    Error, ///< an answer outside of the protocol
    OtherRequest, ///< another request's answer
    Partial, ///< an incomplete or damaged answer
};

/// One answer as it arrived.
struct CallerAnswer {
    unsigned status = 0;
    bool complete = true; ///< false: the connection ended within the answer
    std::string body;
    std::string outcome; ///< Lspar-Outcome
    std::string requestId; ///< Lspar-Request-Id or X-Request-Id
    std::string digest; ///< X-Body-Digest
    std::string notRun; ///< X-Not-Run, from an upstream asked directly
};

/// What the whole answer to a request says.
struct ExpectedAnswer {
    std::string key;
    std::string requestId; ///< empty: chosen by the fleet
    std::string bodyHash; ///< of the request's body
    std::size_t padding = 0;
};

/// Judges an answer. Anything but the caller's own, whole answer with status 200 is not Answered.
CallerOutcome classifyAnswer(const CallerAnswer &answer, const ExpectedAnswer &expected);

/// One request of a load run.
struct RequestRecord {
    std::uint64_t sequence = 0;
    std::chrono::nanoseconds scheduled{0}; ///< arrival, since the start of the run
    std::chrono::nanoseconds latency{0}; ///< from the scheduled arrival to the outcome
    std::chrono::nanoseconds lag{0}; ///< from the scheduled arrival until the load tool acted on it
    Milliseconds deadline{0};
    CallerOutcome outcome = CallerOutcome::NoAnswer;
    Reason reason = Reason::None; ///< stated by the fleet
    WorkClass workClass = WorkClass::Short;
    bool idempotent = true;

    bool answeredInTime() const
    {
        return outcome == CallerOutcome::Answered && latency <= deadline;
    }
};

/// Broken promises, by kind; all zero in a correct fleet.
struct Violations {
    std::uint64_t ranDespiteNotRun = 0; ///< told "not run" or never sent, but executed
    std::uint64_t ranTwice = 0; ///< non-idempotent, executed more than once
    std::uint64_t answeredWithoutRun = 0; ///< answered without an execution
    std::uint64_t otherRequestAnswers = 0;
    std::uint64_t partialAnswers = 0;
    /// A request and its executions.
    struct Example {
        RequestRecord record;
        unsigned executions = 0;
    };
    std::vector<Example> examples; ///< the first ones

    std::uint64_t total() const
    {
        return ranDespiteNotRun + ranTwice + answeredWithoutRun + otherRequestAnswers + partialAnswers;
    }
};

/// Compares what callers were told with the executions that the upstreams counted.
Violations checkOutcomes(const std::vector<RequestRecord> &records,
                         const std::function<unsigned(const RequestRecord &)> &executions);

} // namespace laburnumspar::tools

template <>
struct laburnumspar::EnumNames<laburnumspar::tools::CallerOutcome> {
    static constexpr std::array<std::string_view, 9> Names{
        "answered",
        "not-run",
        "may-have-run",
        "duplicate",
        "unreachable",
        "no-answer",
        "error",
        "foreign",
        "partial",
    };
};
