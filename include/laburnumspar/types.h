#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumspar {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// An IP address and a port. Host names are not supported.
struct Endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses `IP:PORT` or `[IPV6]:PORT`. Returns empty for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view text);
/// Formats the endpoint as parseEndpoint() reads it.
std::string toString(const Endpoint &endpoint);

/// Upstreams and instances are identified by their addresses.
using UpstreamId = Endpoint;
using InstanceId = Endpoint;

/// Result of a request as reported to the caller.
enum class Outcome : std::uint8_t {
    Answered, ///< an upstream executed the request, and its complete answer is returned
    NotRun, ///< no upstream has executed the request or will execute it
    MayHaveRun, ///< whether an upstream executed the request is unknown
};

/// Reason why a request was not answered or an attempt failed.
enum class Reason : std::uint8_t {
    None,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoUpstream,
    TeamShareExceeded,
    RetryBudgetSpent,
    Shed,
    ConnectFailed,
    Timeout,
    ConnectionLost,
    WrongAnswer,
    TruncatedAnswer,
    UpstreamError,
    Cancelled,
    DuplicateRequest,
    OwnerGone,
    IdentifierExpired,
    IdentifierInvalid,
    Leaving,
    NotReady,
    UnknownService,
    BadRequest,
    TableFull,
};

/// Expected execution time of a request.
enum class RequestClass : std::uint8_t {
    Short,
    Long,
};

/// Lifecycle phase of an upstream.
enum class UpstreamPhase : std::uint8_t {
    Starting,
    Serving,
    Draining,
};

/// Health of an upstream as seen by a dispatcher.
enum class HealthState : std::uint8_t {
    Unknown, ///< no recent evidence
    Healthy,
    Suspect, ///< worse than its peers; avoided but still in service
    Ejected, ///< out of service
    Returning, ///< back in service with limited traffic after an ejection
};

/// Result of a request or probe as evidence for the health of an upstream.
enum class EvidenceKind : std::uint8_t {
    Success,
    Timeout,
    Error,
    Truncated,
    Wrong,
    ConnectFailed,
    Shed,
    Overdue, ///< still running, and far longer than requests on other upstreams take
    ProbeOk,
    ProbeFailed,
};

/// Names of the enumerators of `E` in messages, logs and metrics. Specialised for each enumeration that has names.
template <typename E>
struct EnumNames;

template <>
struct EnumNames<Outcome> {
    static constexpr std::array<std::string_view, 3> Names{"answered", "not-run", "may-have-run"};
};

template <>
struct EnumNames<Reason> {
    static constexpr std::array<std::string_view, 24> Names{
        "none",
        "queue-full",
        "deadline-too-short",
        "deadline-passed",
        "no-upstream",
        "team-share",
        "retry-budget-spent",
        "shed",
        "connect-failed",
        "timeout",
        "connection-lost",
        "wrong-answer",
        "truncated-answer",
        "upstream-error",
        "cancelled",
        "duplicate",
        "owner-gone",
        "identifier-expired",
        "identifier-invalid",
        "leaving",
        "not-ready",
        "unknown-service",
        "bad-request",
        "table-full",
    };
};

template <>
struct EnumNames<RequestClass> {
    static constexpr std::array<std::string_view, 2> Names{"short", "long"};
};

template <>
struct EnumNames<UpstreamPhase> {
    static constexpr std::array<std::string_view, 3> Names{"starting", "serving", "draining"};
};

template <>
struct EnumNames<HealthState> {
    static constexpr std::array<std::string_view, 5> Names{"unknown", "healthy", "suspect", "ejected", "returning"};
};

template <>
struct EnumNames<EvidenceKind> {
    static constexpr std::array<std::string_view, 10> Names{
        "success",
        "timeout",
        "error",
        "truncated",
        "wrong",
        "connect-failed",
        "shed",
        "overdue",
        "probe-ok",
        "probe-failed",
    };
};

/// Returns the name of an enumerator, or "invalid" for a value outside of the enumeration.
template <typename E>
constexpr std::string_view name(E value)
{
    const auto n = static_cast<std::size_t>(value);
    return n < EnumNames<E>::Names.size() ? EnumNames<E>::Names[n] : std::string_view("invalid");
}

/// Returns the enumerator with this name, or empty if there is none.
template <typename E>
constexpr std::optional<E> fromName(std::string_view text)
{
    for (std::size_t n = 0; n < EnumNames<E>::Names.size(); ++n) {
        if (EnumNames<E>::Names[n] == text) {
            return static_cast<E>(n);
        }
    }
    return std::nullopt;
}

} // namespace laburnumspar

template <>
struct std::hash<laburnumspar::Endpoint> {
    std::size_t operator()(const laburnumspar::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::string>()(endpoint.ip) * 31 + endpoint.port;
    }
};
