#pragma once

#include "laburnumspar/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumspar::soak {

/// Records what callers and upstreams observe, and detects violations of the guarantees that the fleet gives to
/// callers.
class GuaranteeChecker
{
public:
    void recordSent(const std::string &request, bool idempotent);
    void recordExecution(const std::string &request, const std::string &upstream, TimePoint now);
    /// The caller received a response which states that the request was not executed and will not be.
    void recordNotRun(const std::string &request);
    /// The caller received a success response; `intact` is true if it is complete and belongs to the request.
    void recordAnswer(const std::string &request, bool intact);
    /// The request failed; it may have been executed.
    void recordFailure(const std::string &request);
    bool wasExecuted(const std::string &request) const;
    /// The store has accepted the state draining of the upstream.
    void recordDraining(const std::string &upstream, TimePoint now);
    /// A request used a route that this version added.
    void recordVersion(const std::string &process, std::uint64_t version);
    /// A request did not find the route that this version added. `activeBefore` is the version that was active on the
    /// process before the request was sent, `required` the oldest one that may still be active.
    void recordMissingVersion(const std::string &process,
                              std::uint64_t version,
                              std::uint64_t activeBefore,
                              std::uint64_t required);
    /// Newest version recorded as active on the process, or 0.
    std::uint64_t newestVersion(const std::string &process) const;
    void recordViolation(const std::string &description);

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /// Share of the requests ended since the last call that succeeded, from 0 to 1; 0 if none ended.
    double takeSuccessRate();
    std::string summary() const;

private:
    struct Request {
        bool idempotent = false;
        bool reportedNotRun = false;
        unsigned executions = 0;
    };

    std::map<std::string, Request> m_requests; ///< by request identifier
    std::map<std::string, TimePoint> m_drainingSince; ///< by upstream
    std::map<std::string, std::uint64_t> m_newestVersions; ///< by process
    std::vector<std::string> m_violations;
    std::uint64_t m_answered = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_answeredInWindow = 0;
    std::uint64_t m_endedInWindow = 0;
    std::uint64_t m_notRun = 0;
};

} // namespace laburnumspar::soak
