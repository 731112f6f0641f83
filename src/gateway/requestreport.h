#pragma once

#include "laburnumspar/metrics.h"
#include "laburnumspar/routetable.h"
#include "laburnumspar/upstreampool.h"

#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// A request that was refused because no route matches or no routes are known yet.
struct UnroutedRequest {
    std::string_view id;
    std::string_view target;
    std::uint64_t routesVersion = 0; ///< of the route table; 0 if none is known
    unsigned status = 0;
    std::string_view reason;
};

/// A finished attempt at an upstream.
struct AttemptReport {
    std::string_view requestId;
    std::string_view service;
    std::string_view upstream;
    double faultProbability = 0; ///< of the upstream, when it was chosen
    AttemptOutcome outcome = AttemptOutcome::Success;
    unsigned status = 0; ///< of the upstream's answer; 0 if there was none
    std::string_view detail;
    Clock::duration took{};
};

/// An attempt whose connection the upstream closed before its answer was complete.
struct LostAttempt {
    std::string_view requestId;
    std::string_view upstream;
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view failure;
};

/// A finished request.
struct RequestReport {
    std::string_view requestId;
    std::string_view service;
    const Route *route = nullptr;
    std::uint64_t routesVersion = 0; ///< of the route table that contains the route
    Outcome outcome = Outcome::Answered;
    unsigned status = 0;
    std::string_view reason; ///< used as a metric label, so one of a few constants; empty if answered
    unsigned runs = 0; ///< number of attempts that may have run
    Clock::duration queued{}; ///< from arrival to the first attempt, or to the end if there was none
    Clock::duration took{}; ///< from arrival to the answer
};

/// Each overload writes a log line and updates the counters and histograms of the event.
void report(const UnroutedRequest &request, MetricsRegistry &metrics);
void report(const AttemptReport &attempt, MetricsRegistry &metrics);
void report(const LostAttempt &attempt, MetricsRegistry &metrics);
void report(const RequestReport &request, MetricsRegistry &metrics);
/// Logs what an upstream newly asks for.
void report(const std::string &upstream, const UpstreamNotice &notice);

} // namespace laburnumspar::detail
