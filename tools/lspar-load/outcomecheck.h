#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace laburnumspar::tools {

/// Outcome of a request as seen by its caller.
enum class CallerOutcome : std::uint8_t {
    Answered, ///< complete answer to this request
    NotRun, ///< reported as not executed
    MayHaveRun, ///< reported as possibly executed
    Duplicate, ///< rejected because it was sent before
    Unreachable, ///< no address accepted a connection; nothing was sent
    NoAnswer, ///< sent, but the connection failed or the caller timed out
    Error, ///< answer that does not conform to the protocol
    OtherRequest, ///< answer to another request
    Partial, ///< incomplete or damaged answer
};

/// Answer as received by a caller.
struct CallerAnswer {
    unsigned status = 0;
    bool complete = true; ///< false if the connection ended before the end of the answer
    std::string body;
    std::string outcome; ///< value of Lspar-Outcome
    std::string requestId; ///< value of Lspar-Request-Id or X-Request-Id
    std::string digest; ///< value of X-Body-Digest
    std::string notRun; ///< value of X-Not-Run, set by an upstream that is called directly
};

/// Contents of the complete answer to a request.
struct ExpectedAnswer {
    std::string key; ///< request key, see requestKey()
    std::string requestId; ///< empty if the fleet chooses it
    std::string bodyHash; ///< digest of the request body
    std::size_t padding = 0; ///< length of the padding in bytes
};

/// Classifies an answer. Answered requires status 200 and a complete, undamaged answer to the expected request.
CallerOutcome classifyAnswer(const CallerAnswer &answer, const ExpectedAnswer &expected);

/// One request of a load run.
struct RequestRecord {
    std::uint64_t sequence = 0;
    std::chrono::nanoseconds scheduled{0}; ///< scheduled arrival, since the start of the run
    std::chrono::nanoseconds latency{0}; ///< from the scheduled arrival to the outcome
    std::chrono::nanoseconds lag{0}; ///< from the scheduled arrival until the load tool started to send it
    Milliseconds deadline{0};
    CallerOutcome outcome = CallerOutcome::NoAnswer;
    Reason reason = Reason::None; ///< reported by the fleet
    RequestClass requestClass = RequestClass::Short;
    bool idempotent = true;

    bool answeredInTime() const
    {
        return outcome == CallerOutcome::Answered && latency <= deadline;
    }
};

/// Number of violated guarantees, by kind; all zero for a correct fleet.
struct Violations {
    std::uint64_t ranDespiteNotRun = 0; ///< reported as not run or never sent, but executed
    std::uint64_t ranTwice = 0; ///< not idempotent, but executed more than once
    std::uint64_t answeredWithoutRun = 0; ///< answered without an execution
    std::uint64_t otherRequestAnswers = 0; ///< answers to another request
    std::uint64_t partialAnswers = 0; ///< incomplete or damaged answers
    /// A request that violates a guarantee.
    struct Example {
        RequestRecord record;
        unsigned executions = 0; ///< number of executions of the request
    };
    std::vector<Example> examples; ///< the first violations that were found

    /// Sum over all kinds.
    std::uint64_t total() const
    {
        return ranDespiteNotRun + ranTwice + answeredWithoutRun + otherRequestAnswers + partialAnswers;
    }
};

/// Compares the outcomes seen by callers with the executions counted by the upstreams. `executions` returns the number
/// of executions of a request.
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
