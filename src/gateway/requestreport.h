#pragma once

#include "laburnumspar/metrics.h"
#include "laburnumspar/routetable.h"
#include "laburnumspar/upstreampool.h"

#include <string>
#include <string_view>

namespace laburnumspar::detail {

/// A request that was answered without a route or before any routes were known.
struct UnroutedRequest {
    std::string_view id;
    std::string_view target;
    std::uint64_t routes = 0; ///< version; 0: none known
    unsigned status = 0;
    std::string_view reason;
};

struct AttemptReport {
    std::string_view request;
    std::string_view service;
    std::string_view upstream;
    double faultProbability = 0; ///< when it was chosen
    AttemptOutcome end = AttemptOutcome::Success;
    unsigned status = 0; ///< of the upstream; 0: no answer
    std::string_view detail;
    Clock::duration took{};
};

struct RequestReport {
    std::string_view request;
    std::string_view service;
    const Route *route = nullptr;
    std::uint64_t routes = 0; ///< version of the table with the route
    Outcome outcome = Outcome::Answered;
    unsigned status = 0;
    std::string_view reason; ///< one of a few constants; empty if answered
    unsigned runs = 0;
    Clock::duration queued{}; ///< until the first attempt or the end
    Clock::duration took{};
};

/// One log line each, and the counters and histograms that belong to it.
void report(const UnroutedRequest &request, MetricsRegistry &metrics);
void report(const AttemptReport &attempt, MetricsRegistry &metrics);
void report(const RequestReport &request, MetricsRegistry &metrics);

} // namespace laburnumspar::detail
