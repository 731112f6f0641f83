#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumspar {

/// What an upstream asks of the instances with an answer.
struct UpstreamNotice {
    bool leaving = false; ///< it takes no new requests
    Milliseconds pause{0}; ///< it has refused the request and wants none from this instance for this time
    double requestRate = Unlimited; ///< requests per second that it takes from all instances together

    static constexpr double Unlimited = std::numeric_limits<double>::infinity();
};

/// Parses the seconds of a Retry-After header. 0 if they are missing or invalid; at most one hour.
Milliseconds parsePause(std::string_view text);
/// Parses a request rate. UpstreamNotice::Unlimited if it is missing or invalid.
double parseRequestRate(std::string_view text);

/// Keeps what the upstreams of a service have asked for with their answers, and decides whether a request may be sent
/// to one of them. Outlives the entries of the upstreams, so that what an upstream has asked for holds although
/// its entry is removed and added again.
class UpstreamConstraints
{
public:
    /// `startedAtMs` identifies the process of the upstream; a notice of an earlier process is ignored, and one of a
    /// later process replaces everything known. Returns whether the upstream asks for something else than before.
    bool apply(const std::string &id, std::int64_t startedAtMs, const UpstreamNotice &notice, TimePoint now);
    /// Forgets what an earlier process of the upstream has asked for.
    void setProcess(const std::string &id, std::int64_t startedAtMs);
    /// Whether a request may be sent to the upstream now. `rateShare`: share of its request rate that this instance may
    /// use, 0 to 1.
    bool allows(const std::string &id, double rateShare, TimePoint now) const
    {
        const auto from = allowedFrom(id, rateShare, now);
        return from && *from <= now;
    }
    /// Earliest time at which a request may be sent to the upstream; nothing if that will never be.
    std::optional<TimePoint> allowedFrom(const std::string &id, double rateShare, TimePoint now) const;
    /// Whether the upstream wants no requests from this instance now, whatever its request rate.
    bool isPaused(const std::string &id, TimePoint now) const;
    /// Number of requests that may be sent to the upstream now; infinite if it has named no rate.
    double requestsAllowed(const std::string &id, double rateShare, TimePoint now) const;
    /// Counts a request that is sent to the upstream.
    void recordRequest(const std::string &id, double rateShare, TimePoint now);
    /// Request rate that the upstream has named last; UpstreamNotice::Unlimited if none.
    double requestRate(const std::string &id) const;
    /// Forgets what no longer matters. To be called periodically.
    void prune(TimePoint now);

private:
    struct Constraint {
        std::int64_t startedAtMs = 0;
        TimePoint noticedAt; ///< arrival of the last notice
        bool leaving = false;
        TimePoint pausedUntil;
        double requestRate = UpstreamNotice::Unlimited;
        double allowance = 0; ///< number of requests that may be sent at `allowanceAt`
        TimePoint allowanceAt;
    };

    static double allowance(const Constraint &constraint, double rateShare, TimePoint now);

    std::map<std::string, Constraint> m_constraints; ///< by identity of the upstream
};

} // namespace laburnumspar
